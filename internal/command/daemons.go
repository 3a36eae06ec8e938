package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/control"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/gateway"
	"rockwind.example/rockwind/internal/linkfault"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/settings"
)

// daemonFlags are the flags common to all daemons.
type daemonFlags struct {
	Settings string   `type:"path" env:"ROCKWIND_SETTINGS" placeholder:"FILE" help:"Settings file. Without it the environment and --set must give all settings."`
	Set      []string `placeholder:"FIELD=VALUE" sep:"none" help:"Replace a field of the settings; may be repeated."`
}

// gatewayCommand is 'rockwind gateway'.
type gatewayCommand struct {
	daemonFlags
	AllowFaultInjection bool `help:"Let experiments cut this process's links to control machines over HTTP. Never set it in production."`
}

// Help implements kong.HelpProvider.
func (*gatewayCommand) Help() string {
	return `Runs a gateway until SIGTERM or SIGINT. It then takes no new requests, lets those in progress run to
their end, and exits. SIGUSR1 writes the last log entries to standard error. SIGHUP reads the
certificates again.`
}

// Run runs the daemon.
func (g *gatewayCommand) Run(s *session) error {
	loaded, err := settings.LoadGateway(g.Settings, g.Set)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGHUP)
	tuneCollector()
	ring := logring.New(logring.DefaultCapacity, s.stderr)
	stop := dumpOnSignal(s.context, ring, s.stderr)
	defer stop()
	options := []gateway.Option{gateway.WithLogs(ring)}
	if g.AllowFaultInjection {
		options = append(options, gateway.WithLinkFaults(&linkfault.Links{}))
	}
	return dumpOnFailure(gateway.Run(s.context, loaded, options...), ring, s.stderr)
}

// controlCommand is 'rockwind control'.
type controlCommand struct {
	daemonFlags
	AllowFaultInjection bool `help:"Let experiments cut this process's links over HTTP. Never set it in production."`
}

// Help implements kong.HelpProvider.
func (*controlCommand) Help() string {
	return `Runs a control daemon until SIGTERM or SIGINT. It then hands over leadership, finishes the calls in
progress, and exits. SIGUSR1 writes the last log entries to standard error. SIGHUP reads the
certificates again.`
}

// Run runs the daemon.
func (c *controlCommand) Run(s *session) error {
	loaded, err := settings.LoadControl(c.Settings, c.Set)
	if err != nil {
		return err
	}
	return s.runWithLogRing(func(ring *logring.Ring) error {
		options := []control.Option{control.WithLogs(ring)}
		if c.AllowFaultInjection {
			options = append(options, control.WithLinkFaults(&linkfault.Links{}))
		}
		return control.Run(s.context, loaded, options...)
	})
}

// runWithLogRing runs a daemon that logs to a ring buffer in memory. The buffer is
// written out on SIGUSR1 and if the daemon fails.
func (s *session) runWithLogRing(run func(*logring.Ring) error) error {
	signal.Ignore(syscall.SIGHUP)
	ring := logring.New(logring.DefaultCapacity, s.stderr)
	log.SetHandler(ring)
	stop := dumpOnSignal(s.context, ring, s.stderr)
	defer stop()
	return dumpOnFailure(run(ring), ring, s.stderr)
}

// dumpOnFailure writes out the ring if a daemon failed, except by invalid settings.
func dumpOnFailure(err error, ring *logring.Ring, output io.Writer) error {
	if err != nil && !fault.Is(err, fault.InvalidArgument) {
		_ = ring.Dump(output)
	}
	return err
}

// dumpOnSignal writes the ring to the output on SIGUSR1, until the context ends or the
// returned function is called.
func dumpOnSignal(ctx context.Context, ring *logring.Ring, output io.Writer) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				if err := ring.Dump(output); err != nil {
					log.WithError(err).Warn("failed to write the log ring")
				}
			}
		}
	}()
	return func() { signal.Stop(signals) }
}
