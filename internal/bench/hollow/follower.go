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

// FollowerReport is the report of one follower.
type FollowerReport struct {
	Name    string `json:"name"`
	Running bool   `json:"running"`
	// InForce lists the configurations in the order in which they took effect since the
	// process started.
	InForce []InForce `json:"in_force"`
	// Reverts counts changes to a lower number, including those by restarts.
	Reverts int `json:"reverts"`
	// Changes counts the incremental changes and FullConfigurations the full configurations
	// received from control machines.
	Changes            int `json:"changes"`
	FullConfigurations int `json:"fulls"`
	// Control is the network traffic with the control machines.
	Control wire.Traffic `json:"control"`
}

// InForce is a configuration that took effect.
type InForce struct {
	Number uint64 `json:"number"`
	UnixNs int64  `json:"unix_ns"`
	// FromDisk marks a configuration that was loaded from disk at a start.
	FromDisk bool `json:"from_disk,omitempty"`
}

// followerInstance is one of the followers of this process. Its traffic counter and report
// are kept across restarts.
type followerInstance struct {
	name    string
	folder  string
	control []*rockwindpb.ControlMachine
	counter wire.Counter
	// httpClient holds the connections of the current run.
	httpClient *http.Client

	mutex  sync.Mutex
	report FollowerReport

	// lifecycle is held during start and stop.
	lifecycle sync.Mutex
	cancel    context.CancelFunc
	stopped   chan struct{}
}

func newFollowerInstance(name, folder string, control []*rockwindpb.ControlMachine) *followerInstance {
	return &followerInstance{name: name, folder: folder, control: control, report: FollowerReport{Name: name}}
}

// start loads the configuration on disk and follows changes until stop.
func (h *followerInstance) start() error {
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	if h.cancel != nil {
		return nil
	}
	configFollower, err := follower.New(follower.Options{Sources: h.sources(), Folder: h.folder})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.stopped = cancel, make(chan struct{})
	h.setRunning(true)
	h.recordInForce(configFollower.Current().Number(), true)
	go h.observe(ctx, configFollower)
	go func(stopped chan struct{}) {
		defer close(stopped)
		// Run returns only when the context ends.
		_ = configFollower.Run(ctx)
	}(h.stopped)
	return nil
}

// stop stops the follower and waits until it has stopped.
func (h *followerInstance) stop() error {
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	if h.cancel == nil {
		return nil
	}
	h.cancel()
	<-h.stopped
	h.cancel = nil
	h.httpClient.CloseIdleConnections()
	h.setRunning(false)
	return nil
}

func (h *followerInstance) restart() error {
	if err := h.stop(); err != nil {
		return err
	}
	return h.start()
}

// observe records each configuration that takes effect.
func (h *followerInstance) observe(ctx context.Context, configFollower *follower.Follower) {
	for ctx.Err() == nil {
		changed := configFollower.Changed()
		h.recordInForce(configFollower.Current().Number(), false)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (h *followerInstance) recordInForce(number uint64, fromDisk bool) {
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

func (h *followerInstance) setRunning(running bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.report.Running = running
}

func (h *followerInstance) snapshot() FollowerReport {
	traffic := h.counter.Traffic()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	report := h.report
	report.InForce = append([]InForce(nil), h.report.InForce...)
	report.Control = traffic
	return report
}

// sources returns clients for the control machines that count traffic, over new connections.
func (h *followerInstance) sources() []rockwindpb.ConfigurationService {
	h.httpClient = h.counter.Client(controlclient.NewTransport())
	client := controlclient.New(controlclient.Options{Machines: h.control, HTTPClient: h.httpClient})
	var sources []rockwindpb.ConfigurationService
	for _, source := range client.ConfigurationSources() {
		sources = append(sources, &countedSource{ConfigurationService: source, follower: h})
	}
	return sources
}

// countedSource counts the changes received from a control machine.
type countedSource struct {
	rockwindpb.ConfigurationService
	follower *followerInstance
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
