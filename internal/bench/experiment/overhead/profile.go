package overhead

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
)

// startProfile starts a CPU profile of the gateway for the duration of a phase. The
// returned function waits for it.
func startProfile(ctx context.Context, environment Environment, options Options) func() error {
	if options.Profile == "" {
		return func() error { return nil }
	}
	url := fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", environment.GatewayInternal, int(options.Duration.Seconds()))
	done := make(chan error, 1)
	go func() { done <- download(ctx, url, options.Profile) }()
	return func() error { return <-done }
}

func download(ctx context.Context, url, file string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "request a CPU profile")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "request a CPU profile")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the gateway answered the CPU profile request with status %d", response.StatusCode)
	}
	output, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "write the CPU profile")
	}
	_, err = io.Copy(output, response.Body)
	return errors.Wrap(errors.CombineErrors(err, output.Close()), "write the CPU profile")
}
