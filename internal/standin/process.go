// Package standin implements HTTP stand-ins for the systems around rockwind:
// inference engines based on package engine, plain services, the platform's
// machine list, and the weight store. Their protocol is described in
// docs/ENGINE_PROTOCOL.md. They are for benchmarks and tests only.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// shutdownTimeout is how long a stopping stand-in waits for requests in progress.
const shutdownTimeout = 5 * time.Second

// ServerFlags holds the flags common to all stand-ins.
type ServerFlags struct {
	Listen      string `help:"Address to listen on, ip:port; port 0 picks a free one." default:"127.0.0.1:0"`
	AddressFile string `help:"File to write the address to once it is listening." type:"path"`
}

// serve announces its address and serves until the process receives a signal.
func (p ServerFlags) serve(handler http.Handler) error {
	listener, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if err := p.announce(listener.Addr().String()); err != nil {
		return err
	}
	stop, release := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer release()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-stop.Done():
	}
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdown); err != nil {
		return errors.Wrap(server.Close(), "close")
	}
	return nil
}

// injectAll injects faults given as flags, each in the JSON format of POST /fault.
func injectAll(faults []string, inject func(FaultRequest)) error {
	for _, text := range faults {
		var fault FaultRequest
		if err := json.Unmarshal([]byte(text), &fault); err != nil {
			return errors.Wrapf(err, "fault %q", text)
		}
		inject(fault)
	}
	return nil
}

// announce prints the address as the first line and writes the address file
// atomically.
func (p ServerFlags) announce(address string) error {
	fmt.Printf("listening %s\n", address)
	if p.AddressFile == "" {
		return nil
	}
	temporary := filepath.Join(filepath.Dir(p.AddressFile), "."+filepath.Base(p.AddressFile))
	if err := os.WriteFile(temporary, []byte(address), 0o644); err != nil {
		return errors.Wrap(err, "write the address file")
	}
	return errors.Wrap(os.Rename(temporary, p.AddressFile), "rename the address file")
}
