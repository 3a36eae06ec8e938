package hollow

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/bench/wire"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/gateway"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// GatewaysCommand is `rockwind-bench hollow gateways`.
type GatewaysCommand struct {
	Count    int           `help:"How many hollow gateways run in this process." default:"50"`
	First    int           `help:"Number of the first; names and zones follow from it."`
	Zones    int           `help:"Number of zones; gateway N stands in zone N modulo zones." default:"32"`
	Control  []string      `help:"Control machines as machine=ip:port@zone." required:""`
	Folder   string        `help:"Folder for the gateways' files." required:"" type:"path"`
	Report   string        `help:"Address of the report page." default:"127.0.0.1:0"`
	Interval time.Duration `help:"Time between two exchanges." default:"2s"`
}

// ZoneName names the zone of the given number.
func ZoneName(number int) string { return fmt.Sprintf("zone-%02d", number) }

// GatewayName names the hollow gateway of the given number.
func GatewayName(number int) string { return fmt.Sprintf("hollow-%03d", number) }

// GatewayReport is what one hollow gateway says.
type GatewayReport struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Number is the configuration in force, InForceUnixNs since when.
	Number        uint64 `json:"number"`
	InForceUnixNs int64  `json:"in_force_unix_ns"`
	// Reverts counts moves to a lower number, restarts included.
	Reverts int `json:"reverts"`
	// SentBytes and ReceivedBytes are control traffic on the wire.
	SentBytes     int64 `json:"sent_bytes"`
	ReceivedBytes int64 `json:"received_bytes"`
	Running       bool  `json:"running"`
}

// hollowGateway is one gateway in this process.
type hollowGateway struct {
	settings *rockwindpb.GatewaySettings
	counter  wire.Counter

	mutex   sync.Mutex
	report  GatewayReport
	cancel  context.CancelFunc
	stopped chan struct{}
}

// Run implements the command. It ends with the process.
func (c *GatewaysCommand) Run() error {
	control, err := parseControl(c.Control)
	if err != nil {
		return err
	}
	var gateways []*hollowGateway
	for number := c.First; number < c.First+c.Count; number++ {
		gateways = append(gateways, c.newGateway(number, control))
	}
	for _, each := range gateways {
		each.start()
	}
	host := &gatewayHost{gateways: gateways}
	return serveReport(c.Report, host.report, map[string]http.HandlerFunc{
		RestartPage: host.restart, StopPage: host.stop,
	})
}

func (c *GatewaysCommand) newGateway(number int, control []*rockwindpb.ControlMachine) *hollowGateway {
	name, zone := GatewayName(number), ZoneName(number%c.Zones)
	return &hollowGateway{
		settings: &rockwindpb.GatewaySettings{
			Name: name, Zone: zone, Control: control,
			Listen: "127.0.0.1:0", InternalListen: "127.0.0.1:0",
			DataFolder:       filepath.Join(c.Folder, name),
			ExchangeInterval: durationpb.New(c.Interval),
			BatchConcurrency: 1,
		},
		report: GatewayReport{Name: name, Zone: zone},
	}
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

// start runs the gateway until stop.
func (h *hollowGateway) start() {
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	h.mutex.Lock()
	h.cancel, h.stopped, h.report.Running = cancel, stopped, true
	h.mutex.Unlock()
	go func() {
		defer close(stopped)
		err := gateway.Run(ctx, h.settings, gateway.WithControlClient(h.counter.Client()),
			gateway.WithConfigurationObserver(h.observe))
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.report.Running = false
		if err != nil {
			fmt.Printf("%s ended: %v\n", h.report.Name, err)
		}
	}()
}

// observe notes which configuration was put in force.
func (h *hollowGateway) observe(index *configuration.Index) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	number := index.Number()
	if number < h.report.Number {
		h.report.Reverts++
	}
	if number != h.report.Number {
		h.report.InForceUnixNs = time.Now().UnixNano()
	}
	h.report.Number = number
}

func (h *hollowGateway) stop() {
	h.mutex.Lock()
	cancel, stopped := h.cancel, h.stopped
	h.mutex.Unlock()
	cancel()
	<-stopped
}

func (h *hollowGateway) snapshot() GatewayReport {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	report := h.report
	report.SentBytes = h.counter.Sent()
	report.ReceivedBytes = h.counter.Received()
	return report
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

// nameParameter is the query parameter that names a gateway.
const nameParameter = "name"

func (g *gatewayHost) find(request *http.Request) *hollowGateway {
	name := request.URL.Query().Get(nameParameter)
	for _, each := range g.gateways {
		if each.settings.GetName() == name {
			return each
		}
	}
	return nil
}

func (g *gatewayHost) restart(writer http.ResponseWriter, request *http.Request) {
	found := g.find(request)
	if found == nil {
		http.NotFound(writer, request)
		return
	}
	found.stop()
	found.start()
}

func (g *gatewayHost) stop(writer http.ResponseWriter, request *http.Request) {
	found := g.find(request)
	if found == nil {
		http.NotFound(writer, request)
		return
	}
	found.stop()
}
