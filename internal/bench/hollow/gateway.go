package hollow

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/bench/wire"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/gateway"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// firstExchangeInterval is the time between exchanges until a control machine
	// names another.
	firstExchangeInterval = 2 * time.Second
	// batchConcurrency is that of a real gateway.
	batchConcurrency = 256
)

// GatewayReport is what one hollow gateway says.
type GatewayReport struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Number is the configuration in force, InForceUnixNs since when.
	Number        uint64 `json:"number"`
	InForceUnixNs int64  `json:"in_force_unix_ns"`
	// Reverts counts moves to a lower number, restarts included.
	Reverts int `json:"reverts"`
	// Control is the traffic with the control machines, BackEnds that with the
	// back ends, both on the wire.
	Control  wire.Traffic `json:"control"`
	BackEnds wire.Traffic `json:"back_ends"`
	Running  bool         `json:"running"`
	// Failure is why the gateway ended, empty for a planned end.
	Failure string `json:"failure,omitempty"`
}

// hollowGateway is one gateway in this process. Its counters and its report
// outlive restarts.
type hollowGateway struct {
	settings *rockwindpb.GatewaySettings
	control  wire.Counter
	backEnds wire.Counter

	mutex   sync.Mutex
	report  GatewayReport
	cancel  context.CancelFunc
	stopped chan struct{}
	// opened is closed when the gateway has read its configuration from disk.
	opened chan struct{}
}

// start runs the gateway until stop. It returns once the gateway has the
// configuration from its disk in force, or has failed.
func (h *hollowGateway) start() {
	ctx, cancel := context.WithCancel(context.Background())
	stopped, opened := make(chan struct{}), make(chan struct{})
	h.mutex.Lock()
	h.cancel, h.stopped, h.opened, h.report.Running = cancel, stopped, opened, true
	h.mutex.Unlock()
	go func() {
		defer close(stopped)
		err := gateway.Run(ctx, h.settings,
			gateway.WithControlClient(h.control.Client(controlclient.NewTransport())),
			gateway.WithBackEndDial(h.backEnds.Dial),
			gateway.WithConfigurationObserver(h.observe))
		h.ended(err)
	}()
	select {
	case <-opened:
	case <-stopped:
	}
}

func (h *hollowGateway) ended(err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.report.Running = false
	if err != nil {
		h.report.Failure = err.Error()
		fmt.Printf("%s ended: %v\n", h.report.Name, err)
	}
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
	if h.opened != nil {
		close(h.opened)
		h.opened = nil
	}
}

// stop ends the gateway as planned and waits for the end.
func (h *hollowGateway) stop() {
	h.mutex.Lock()
	cancel, stopped := h.cancel, h.stopped
	h.mutex.Unlock()
	cancel()
	<-stopped
}

// restart stops the gateway as planned and starts it again.
func (h *hollowGateway) restart() {
	h.stop()
	h.start()
}

// lose breaks all connections of the gateway without warning, ends it, and
// starts it again, as a machine that is lost and replaced.
func (h *hollowGateway) lose() {
	h.control.Cut()
	h.backEnds.Cut()
	h.stop()
	h.control.Mend()
	h.backEnds.Mend()
	h.start()
}

func (h *hollowGateway) snapshot() GatewayReport {
	control, backEnds := h.control.Traffic(), h.backEnds.Traffic()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	report := h.report
	report.Control, report.BackEnds = control, backEnds
	return report
}
