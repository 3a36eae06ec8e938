package hollow

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/bench/wire"
	"rockwind.example/rockwind/internal/control"
	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// ControlCommand is `rockwind-bench hollow control`: a real control daemon in a
// process of its own, with its connections counted.
type ControlCommand struct {
	Machine string        `help:"Name of the machine." required:""`
	Zone    string        `help:"Zone in which it stands." required:""`
	Listen  string        `help:"Address to serve on." required:""`
	Control []string      `help:"Control machines as machine=ip:port@zone." required:""`
	Folder  string        `help:"Folder for the daemon's files." required:"" type:"path"`
	Tick    time.Duration `help:"Unit of the consensus protocol's time." default:"100ms"`
	Report  string        `help:"Address of the report page." default:"127.0.0.1:0"`
}

// ControlReport is what the report page of a control daemon says.
type ControlReport struct {
	Machine string `json:"machine"`
	// Served is the traffic of calls to this machine, Calls that of its calls to
	// others, both on the wire.
	Served wire.Traffic `json:"served"`
	Calls  wire.Traffic `json:"calls"`
}

// Run implements the command. It ends with the daemon.
func (c *ControlCommand) Run() error {
	machines, err := parseControl(c.Control)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer release()
	ring := logring.New(logring.DefaultCapacity, os.Stderr)
	log.SetHandler(ring)
	var served, calls wire.Counter
	ended := make(chan error, 1)
	go func() {
		ended <- control.Run(ctx, c.settings(machines), control.WithLogs(ring),
			control.WithListener(served.Listener(listener)),
			control.WithClient(calls.Client(controlclient.NewTransport())))
	}()
	page := func() any {
		return ControlReport{Machine: c.Machine, Served: served.Traffic(), Calls: calls.Traffic()}
	}
	go func() {
		ended <- serveReport(c.Report, page, map[string]http.HandlerFunc{
			BlockPage: blockPage([]*wire.Counter{&calls}),
		})
	}()
	return <-ended
}

func (c *ControlCommand) settings(machines []*rockwindpb.ControlMachine) *rockwindpb.ControlSettings {
	return &rockwindpb.ControlSettings{
		Machine: c.Machine, Zone: c.Zone, Listen: c.Listen, DataFolder: c.Folder,
		Control: machines, Tick: durationpb.New(c.Tick),
	}
}
