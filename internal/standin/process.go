// Package standin holds HTTP stand-ins for what surrounds rockwind: model
// engines over the model of package engine, plain services, the platform's list
// of machines, and the weight store. docs/ENGINE_PROTOCOL.md describes what they
// speak. They are for measurements and tests only.
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

// shutdownGrace is how long a stand-in waits for requests in progress when it
// is asked to stop.
const shutdownGrace = 5 * time.Second

// ServerFlags holds the flags that every stand-in has.
type ServerFlags struct {
	Listen      string `help:"Address to listen on, ip:port; port 0 picks a free one." default:"127.0.0.1:0"`
	AddressFile string `help:"File to write the address to once it is listening." type:"path"`
}

// serve listens, announces the address and serves until a signal ends it.
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
	grace, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	if err := server.Shutdown(grace); err != nil {
		return errors.Wrap(server.Close(), "close")
	}
	return nil
}

// injectAll injects the faults that flags give, each as the JSON of POST /fault.
func injectAll(faults []string, inject func(FaultRequest)) error {
	for _, text := range faults {
		var order FaultRequest
		if err := json.Unmarshal([]byte(text), &order); err != nil {
			return errors.Wrapf(err, "fault %q", text)
		}
		inject(order)
	}
	return nil
}

// announce prints the address as the first line and writes the address file in
// one rename, so that a reader never sees half of it.
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
