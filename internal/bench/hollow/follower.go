package hollow

import (
	"context"
	"net/http"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/bench/wire"
	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/follower"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// FollowerReport is what one follower says.
type FollowerReport struct {
	Name    string `json:"name"`
	Running bool   `json:"running"`
	// InForce lists the configurations that were put in force since the process
	// started, in that order.
	InForce []InForce `json:"in_force"`
	// Reverts counts moves to a lower number, restarts included.
	Reverts int `json:"reverts"`
	// Changes and Fulls count the changes and the whole configurations that
	// control sent.
	Changes            int `json:"changes"`
	FullConfigurations int `json:"fulls"`
	// Control is the traffic with the control machines on the wire.
	Control wire.Traffic `json:"control"`
}

// InForce is a configuration that was put in force.
type InForce struct {
	Number uint64 `json:"number"`
	UnixNs int64  `json:"unix_ns"`
	// FromDisk marks the one that a start found on the disk.
	FromDisk bool `json:"from_disk,omitempty"`
}

// hollowFollower is one follower in this process. Its counter and its report
// outlive restarts.
type hollowFollower struct {
	name    string
	folder  string
	control []*rockwindpb.ControlMachine
	counter wire.Counter
	// carrier holds the connections of the present run.
	carrier *http.Client

	mutex  sync.Mutex
	report FollowerReport

	// lifecycle is held while the follower starts or stops.
	lifecycle sync.Mutex
	cancel    context.CancelFunc
	stopped   chan struct{}
}

func newHollowFollower(name, folder string, control []*rockwindpb.ControlMachine) *hollowFollower {
	return &hollowFollower{name: name, folder: folder, control: control, report: FollowerReport{Name: name}}
}

// start loads what the disk holds and follows until stop.
func (h *hollowFollower) start() error {
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	if h.cancel != nil {
		return nil
	}
	following, err := follower.New(follower.Options{Sources: h.sources(), Folder: h.folder})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.stopped = cancel, make(chan struct{})
	h.setRunning(true)
	h.note(following.Current().Number(), true)
	go h.observe(ctx, following)
	go func(stopped chan struct{}) {
		defer close(stopped)
		// It ends with the context only.
		_ = following.Run(ctx)
	}(h.stopped)
	return nil
}

// stop ends the follower as planned and waits for the end.
func (h *hollowFollower) stop() error {
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	if h.cancel == nil {
		return nil
	}
	h.cancel()
	<-h.stopped
	h.cancel = nil
	h.carrier.CloseIdleConnections()
	h.setRunning(false)
	return nil
}

func (h *hollowFollower) restart() error {
	if err := h.stop(); err != nil {
		return err
	}
	return h.start()
}

// observe notes each configuration that is put in force.
func (h *hollowFollower) observe(ctx context.Context, following *follower.Follower) {
	for ctx.Err() == nil {
		changed := following.Changed()
		h.note(following.Current().Number(), false)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (h *hollowFollower) note(number uint64, fromDisk bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	last := uint64(0)
	if count := len(h.report.InForce); count > 0 {
		last = h.report.InForce[count-1].Number
	}
	if number < last {
		h.report.Reverts++
	}
	if number != last || fromDisk {
		h.report.InForce = append(h.report.InForce, InForce{Number: number, UnixNs: time.Now().UnixNano(), FromDisk: fromDisk})
	}
}

func (h *hollowFollower) setRunning(running bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.report.Running = running
}

func (h *hollowFollower) snapshot() FollowerReport {
	traffic := h.counter.Traffic()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	report := h.report
	report.InForce = append([]InForce(nil), h.report.InForce...)
	report.Control = traffic
	return report
}

// sources are the control machines, as a gateway asks them, over new connections.
func (h *hollowFollower) sources() []rockwindpb.ConfigurationService {
	h.carrier = h.counter.Client(controlclient.NewTransport())
	client := controlclient.New(controlclient.Options{Machines: h.control, HTTPClient: h.carrier})
	var sources []rockwindpb.ConfigurationService
	for _, source := range client.ConfigurationSources() {
		sources = append(sources, &countedSource{ConfigurationService: source, follower: h})
	}
	return sources
}

// countedSource counts the changes that a control machine sends.
type countedSource struct {
	rockwindpb.ConfigurationService
	follower *hollowFollower
}

// Watch implements rockwindpb.ConfigurationService.
func (c *countedSource) Watch(ctx context.Context, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	response, err := c.ConfigurationService.Watch(ctx, request)
	change := response.GetChange()
	c.follower.mutex.Lock()
	defer c.follower.mutex.Unlock()
	switch {
	case change == nil:
	case change.GetFull():
		c.follower.report.FullConfigurations++
	default:
		c.follower.report.Changes++
	}
	return response, err
}
