package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/bench/loopback"
	"rockwind.example/rockwind/internal/bench/soak/backend"
	"rockwind.example/rockwind/internal/bench/soak/faultproxy"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
)

const (
	// servers is how many back ends there are, slots how many requests each takes.
	servers = 4
	slots   = 8
	// service is the one service of the routes.
	service = "app"
	// reportTimeout bounds one report at one coordinator.
	reportTimeout = time.Second
	// leaveNotice is how long after its acknowledged leave a back end must get no new
	// request, and leaveStay how long it still serves after that.
	leaveNotice = 2 * time.Second
	leaveStay   = 2 * time.Second
	// reviveAfter is how long a killed back end is down.
	reviveAfter = 500 * time.Millisecond
)

// place is where one back end stands: an address that its incarnations share.
type place struct {
	number  int
	address string
	proxy   *faultproxy.Proxy

	mutex    sync.Mutex
	server   *backend.Server
	state    rockwindpb.ServerState
	sequence uint64
	lives    int
	// restedSince is when the place was last harmed, or its back end last started.
	restedSince time.Duration
	// busy keeps two faults from handling the place at once.
	busy sync.Mutex
}

func newPlace(ctx context.Context, number int) (*place, error) {
	address, err := loopback.Next()
	if err != nil {
		return nil, err
	}
	front, err := loopback.Next()
	if err != nil {
		return nil, err
	}
	proxy, err := faultproxy.Open(front, address)
	if err != nil {
		return nil, err
	}
	go proxy.Run(ctx)
	return &place{number: number, address: address, proxy: proxy}, nil
}

// revive starts the next incarnation.
func (p *place) revive(run *run) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lives++
	id := fmt.Sprintf("server-%d-%d", p.number, p.lives)
	server, err := backend.Start(id, p.address, run.witness, run.since, run.seed+uint64(p.lives), func(content string) { p.endBy(run, id, content) })
	if err != nil {
		return err
	}
	p.server, p.state, p.sequence = server, rockwindpb.ServerState_SERVER_STATE_READY, 0
	p.restedSince = run.since()
	return nil
}

// endBy ends an incarnation by a request, and has the next one come.
func (p *place) endBy(run *run, id, content string) {
	now := run.since()
	run.witness.BackendCrashed(content, id, now, run.calm.since(now))
	go func() {
		p.busy.Lock()
		defer p.busy.Unlock()
		if current := p.current(); current == nil || current.ID() != id {
			return
		}
		p.kill()
		time.Sleep(reviveAfter)
		if err := p.revive(run); err != nil {
			log.WithError(err).Error("a back end was not started again")
		}
	}()
}

// kill ends the current incarnation.
func (p *place) kill() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.server != nil {
		p.server.Kill()
		p.server = nil
	}
}

func (p *place) current() *backend.Server {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.server
}

// description is the next report of the incarnation, nil while there is none.
func (p *place) description() *rockwindpb.Server {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.server == nil {
		return nil
	}
	p.sequence++
	return p.reportOf(p.server.ID(), p.state, p.sequence)
}

// reportOf is a report of an incarnation at the place.
func (p *place) reportOf(id string, state rockwindpb.ServerState, sequence uint64) *rockwindpb.Server {
	return &rockwindpb.Server{
		Id: id, Service: service, Address: p.proxy.Address(), Zone: fmt.Sprintf("zone-%d", p.number%replicas),
		Version: "v1", Slots: slots, State: state, Sequence: sequence,
	}
}

// harmed notes that a fault of the place is over.
func (p *place) harmed(run *run) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.restedSince = run.since()
}

func (p *place) setState(state rockwindpb.ServerState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state = state
}

// report tells of the incarnation.
func (p *place) report(ctx context.Context, run *run) bool {
	described := p.description()
	return described != nil && tell(ctx, run, described)
}

// tell hands a report to coordinators in turn until one acknowledges.
func tell(ctx context.Context, run *run, described *rockwindpb.Server) bool {
	client := newClient(reportTimeout)
	all := run.site.coordinators()
	first := rand.IntN(len(all))
	for offset := range all {
		at := all[(first+offset)%len(all)]
		directory := rockwindpb.NewDirectoryServiceProtobufClient("http://"+at.settings.GetAdvertise(), twirphttp.Client{HTTPClient: client})
		calling, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := directory.Report(calling, &rockwindpb.ReportServerRequest{Server: described})
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// beat reports until the context ends.
func (p *place) beat(ctx context.Context, run *run) {
	for retry.Pause(ctx, heartbeat) {
		p.report(ctx, run)
	}
}

// leave drains the back end and replaces it by another incarnation. Where all was
// calm it must get no request after its notice.
func (p *place) leave(ctx context.Context, run *run) {
	leaving := p.current()
	p.setState(rockwindpb.ServerState_SERVER_STATE_DRAINING)
	for !p.report(ctx, run) {
		if !retry.Pause(ctx, heartbeat) {
			return
		}
	}
	acknowledged := run.since()
	retry.Pause(ctx, leaveNotice)
	if run.calm.since(acknowledged) {
		run.witness.Count("leaves judged")
		leaving.ForbidRequests()
	}
	retry.Pause(ctx, leaveStay)
	p.kill()
	retry.Pause(ctx, reviveAfter)
	if err := p.revive(run); err != nil {
		log.WithError(err).Error("a back end was not started again")
	}
}
