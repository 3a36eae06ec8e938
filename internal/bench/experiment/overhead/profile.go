package overhead

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
)

// startProfile takes a processor profile of the gateway while a phase runs. The
// returned function waits for it.
func startProfile(ctx context.Context, environment Environment, options Options) func() error {
	if options.Profile == "" {
		return func() error { return nil }
	}
	url := fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", environment.GatewayInternal, int(options.Duration.Seconds()))
	ended := make(chan error, 1)
	go func() { ended <- fetch(ctx, url, options.Profile) }()
	return func() error { return <-ended }
}

func fetch(ctx context.Context, url, file string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "ask for a profile")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask for a profile")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the gateway answered the request for a profile with status %d", response.StatusCode)
	}
	output, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "write the profile")
	}
	_, err = io.Copy(output, response.Body)
	return errors.Wrap(errors.CombineErrors(err, output.Close()), "write the profile")
}
