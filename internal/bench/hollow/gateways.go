package hollow

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"

	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/bench/wire"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// GatewaysCommand is `rockwind-bench hollow gateways`.
type GatewaysCommand struct {
	Names   []string `help:"Names of the hollow gateways of this process." required:""`
	Zone    string   `help:"Zone in which they stand." required:""`
	Control []string `help:"Control machines as machine=ip:port@zone." required:""`
	Folder  string   `help:"Folder for the gateways' files." required:"" type:"path"`
	Report  string   `help:"Address of the report page." default:"127.0.0.1:0"`
}

// ControlFlag writes a control machine as the commands of this package read it.
func ControlFlag(machine *rockwindpb.ControlMachine) string {
	return machine.GetMachine() + "=" + machine.GetAddress() + "@" + machine.GetZone()
}

func parseControl(texts []string) ([]*rockwindpb.ControlMachine, error) {
	var machines []*rockwindpb.ControlMachine
	for _, text := range texts {
		name, rest, named := strings.Cut(text, "=")
		address, zone, zoned := strings.Cut(rest, "@")
		if _, _, err := net.SplitHostPort(address); err != nil || !named || !zoned {
			return nil, fault.Newf(fault.InvalidArgument, "write machine=ip:port@zone", "%q is no control machine", text)
		}
		machines = append(machines, &rockwindpb.ControlMachine{Machine: name, Address: address, Zone: zone})
	}
	return machines, nil
}

// Run implements the command. It ends with the process.
func (c *GatewaysCommand) Run() error {
	control, err := parseControl(c.Control)
	if err != nil {
		return err
	}
	host := &gatewayHost{}
	for _, name := range c.Names {
		host.gateways = append(host.gateways, &hollowGateway{
			settings: c.settings(name, control),
			report:   GatewayReport{Name: name, Zone: c.Zone},
		})
	}
	var starting sync.WaitGroup
	for _, each := range host.gateways {
		starting.Go(each.start)
	}
	starting.Wait()
	return serveReport(c.Report, host.report, map[string]http.HandlerFunc{
		RestartPage: host.each((*hollowGateway).restart),
		LosePage:    host.each((*hollowGateway).lose),
		BlockPage:   blockPage(host.counters()),
	})
}

func (c *GatewaysCommand) settings(name string, control []*rockwindpb.ControlMachine) *rockwindpb.GatewaySettings {
	return &rockwindpb.GatewaySettings{
		Name: name, Zone: c.Zone, Control: control,
		Listen: "127.0.0.1:0", InternalListen: "127.0.0.1:0",
		DataFolder: filepath.Join(c.Folder, name),
		// The control machines ask for their own period after the first exchange.
		ExchangeInterval: durationpb.New(firstExchangeInterval),
		BatchConcurrency: batchConcurrency,
	}
}

// gatewayHost serves the pages of a process of hollow gateways.
type gatewayHost struct {
	gateways []*hollowGateway
}

func (g *gatewayHost) report() any {
	reports := make([]GatewayReport, 0, len(g.gateways))
	for _, each := range g.gateways {
		reports = append(reports, each.snapshot())
	}
	return reports
}

// counters are those of all gateways, with control machines and back ends.
func (g *gatewayHost) counters() []*wire.Counter {
	var counters []*wire.Counter
	for _, each := range g.gateways {
		counters = append(counters, &each.control, &each.backEnds)
	}
	return counters
}

// nameParameter is the query parameter that names a gateway.
const nameParameter = "name"

// each returns a page that does something with the gateway that the query names.
func (g *gatewayHost) each(act func(*hollowGateway)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		name := request.URL.Query().Get(nameParameter)
		for _, candidate := range g.gateways {
			if candidate.settings.GetName() == name {
				act(candidate)
				return
			}
		}
		http.Error(writer, fmt.Sprintf("no gateway is named %q", name), http.StatusNotFound)
	}
}
