package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"path"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/wal/faultfs"
)

const (
	coordinators = 5
	// lateCallTimeout is how long a call that arrives late is processed before its connection is seen to have ended.
	lateCallTimeout = 500 * time.Millisecond
	// linkDelay is the one-way network delay between zones, diskSyncTime that of a disk sync.
	linkDelay    = 900 * time.Microsecond
	diskSyncTime = 2 * time.Millisecond
)

// network carries the calls of a site in memory. Calls to a stopped process are refused, and calls
// in progress fail when the process stops.
type network struct {
	mutex   sync.Mutex
	serving map[string]listener
	calls   int
	// methods counts calls by method, including those between replicas.
	methods map[string]int
	// unanswered counts calls to addresses without a process. They hang if dropUnanswered is set,
	// like those to a machine without power, and are refused otherwise.
	unanswered     int
	dropUnanswered bool
	// delayed holds, by method, the channel whose closing delivers the next call.
	delayed map[string]chan struct{}
}

// listener is a process that accepts calls until its context ends.
type listener struct {
	ctx     context.Context
	handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (l *network) RoundTrip(request *http.Request) (*http.Response, error) {
	time.Sleep(linkDelay)
	l.mutex.Lock()
	l.calls++
	l.methods[path.Base(request.URL.Path)]++
	called, runs := l.serving[request.URL.Host]
	runs = runs && called.ctx.Err() == nil
	if !runs {
		l.unanswered++
	}
	delivered := l.delayed[path.Base(request.URL.Path)]
	delete(l.delayed, path.Base(request.URL.Path))
	l.mutex.Unlock()
	if delivered != nil {
		return deliverLate(request, called.handler, delivered)
	}
	if !runs {
		if l.dropUnanswered {
			<-request.Context().Done()
		}
		return nil, errors.Newf("no process at %s", request.URL.Host)
	}
	if trace := httptrace.ContextClientTrace(request.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	// Only the cancellation of the caller's context carries over.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer context.AfterFunc(called.ctx, cancel)()
	defer context.AfterFunc(request.Context(), cancel)()
	recorder := httptest.NewRecorder()
	called.handler.ServeHTTP(recorder, request.WithContext(ctx))
	time.Sleep(linkDelay)
	if ctx.Err() != nil {
		return nil, errors.Newf("the call to %s was interrupted", request.URL.Host)
	}
	return recorder.Result(), nil
}

// delay has the network deliver the next call of a method when the returned function is called, and not before.
func (l *network) delay(method string) (deliver func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delivered := make(chan struct{})
	l.delayed[method] = delivered
	return sync.OnceFunc(func() { close(delivered) })
}

// deliverLate delivers a call whose caller has given it up. The response is lost.
func deliverLate(request *http.Request, handler http.Handler, delivered chan struct{}) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	go func() {
		<-delivered
		ctx, cancel := context.WithTimeout(context.Background(), lateCallTimeout)
		defer cancel()
		late := request.Clone(ctx)
		late.Body = io.NopCloser(bytes.NewReader(body))
		handler.ServeHTTP(httptest.NewRecorder(), late)
	}()
	<-request.Context().Done()
	return nil, request.Context().Err()
}

// takeCalls returns and resets the number of calls.
func (l *network) takeCalls() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	calls := l.calls
	l.calls = 0
	return calls
}

// callsOf returns the number of calls of a method.
func (l *network) callsOf(method string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.methods[method]
}

// takeUnanswered returns and resets the number of unanswered calls.
func (l *network) takeUnanswered() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	unanswered := l.unanswered
	l.unanswered = 0
	return unanswered
}

// alias has the process at address also accept calls to another address.
func (l *network) alias(added, address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.serving[added] = l.serving[address]
}

// serve accepts calls to an address until the context ends.
func (l *network) serve(ctx context.Context, address string, handler http.Handler) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.serving[address] = listener{ctx: ctx, handler: handler}
}

// process is a coordinator or a watcher of a site in virtual time.
type process struct {
	name        string
	disk        *faultfs.Disk // nil at watchers
	coordinator *Coordinator
	watcher     *site.Watcher
	stop        func()
	// started is the time of the last start; ready is how long after it the process had a
	// configuration and a directory.
	started time.Time
	ready   time.Duration
}

// virtualSite is a site of coordinators and watchers in virtual time.
type virtualSite struct {
	t         *testing.T
	network   *network
	client    *http.Client
	random    *rand.Rand
	seeds     []string
	processes []*process
	// admitsNew is set if machines with new names may join the root group.
	admitsNew bool
	// keyLifeMs is the site setting of this name.
	keyLifeMs uint32
}

// inVirtualSite runs a test with a site of size processes and an initial configuration.
func inVirtualSite(t *testing.T, size int, run func(s *virtualSite)) {
	inSite(t, size, false, run)
}

// inOpenVirtualSite is inVirtualSite for a site that machines with new names may join.
func inOpenVirtualSite(t *testing.T, size int, run func(s *virtualSite)) { inSite(t, size, true, run) }

func inSite(t *testing.T, size int, admits bool, run func(s *virtualSite)) {
	synctest.Test(t, func(t *testing.T) {
		s := &virtualSite{t: t, admitsNew: admits, network: &network{serving: map[string]listener{}, methods: map[string]int{}, delayed: map[string]chan struct{}{}}, random: rand.New(rand.NewPCG(3, 3))}
		s.client = &http.Client{Transport: s.network}
		for position := range size {
			added := &process{name: fmt.Sprintf("p%d", position)}
			if position < coordinators {
				added.disk = faultfs.New()
				added.disk.DelaySync(func() { time.Sleep(diskSyncTime) })
				s.seeds = append(s.seeds, added.name)
			}
			s.processes = append(s.processes, added)
		}
		defer func() {
			for _, p := range s.processes {
				p.stop()
			}
		}()
		for _, p := range s.processes {
			s.start(p)
		}
		if err := replica.Found(t.Context(), s.client, s.seeds, 0); err != nil {
			t.Fatal(err)
		}
		s.commitInitialState()
		s.awaitReady(s.processes)
		run(s)
	})
}

// start starts a process, with its previous disk if it has one.
func (s *virtualSite) start(p *process) {
	ctx, cancel := context.WithCancel(context.Background())
	p.started, p.ready = time.Now(), 0
	if p.disk == nil {
		s.watch(ctx, cancel, p)
		return
	}
	c := &Coordinator{settings: &rockwindpb.SiteSettings{Name: p.name, Seeds: s.seeds, InternalListen: p.name, KeyLifeMs: s.keyLifeMs}, client: s.client, liveness: newLiveness()}
	options := replica.Options{
		Machine: p.name, Address: p.name, Folder: "data", FileSystem: p.disk, Client: s.client,
		Tick: 30 * time.Millisecond, HeartbeatTicks: 2, RandomSeed: s.random.Uint64(),
		StateMachines: func(uint32) replica.StateMachine {
			created := newRootStateMachine()
			c.rootState.Store(created)
			return created
		},
	}
	if s.admitsNew {
		options.Discover, options.AdmitNew, options.TargetVoters = c.peers, true, maxRootMembers
	}
	host, err := replica.NewHost(options)
	if err != nil {
		s.t.Fatal(err)
	}
	c.host, p.coordinator = host, c
	s.network.serve(ctx, p.name, c.internalHandler(nil))
	ended := make(chan error, 1)
	go func() { ended <- host.Run(ctx) }()
	p.stop = func() {
		p.disk.KillProcess()
		cancel()
		<-ended
		p.stop = func() {}
	}
}

// watch runs a watcher and records when it is ready.
func (s *virtualSite) watch(ctx context.Context, cancel func(), p *process) {
	watcher, err := site.NewWatcher(&rockwindpb.SiteSettings{Name: p.name, Seeds: s.seeds[:3]}, s.client, "")
	if err != nil {
		s.t.Fatal(err)
	}
	p.watcher = watcher
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = watcher.Run(ctx)
	}()
	noted := make(chan struct{})
	go func() {
		defer close(noted)
		if watcher.AwaitInitialized(ctx) {
			p.ready = time.Since(p.started)
		}
	}()
	p.stop = func() {
		cancel()
		<-ended
		<-noted
		p.stop = func() {}
	}
}

// commitInitialState commits a configuration and a directory entry.
func (s *virtualSite) commitInitialState() {
	s.t.Helper()
	c := s.processes[0].coordinator
	request := &rockwindpb.ApplyConfigurationRequest{Configuration: &rockwindpb.Configuration{Number: 1}}
	if _, err := c.Apply(s.t.Context(), request); err != nil {
		s.t.Fatalf("the configuration is not accepted: %v", err)
	}
	if err := c.commitOnLeader(s.t.Context(), announceCommand(newStore("store"))); err != nil {
		s.t.Fatalf("the directory is not changed: %v", err)
	}
}

// awaitReady waits until all watchers among the processes are ready.
func (s *virtualSite) awaitReady(among []*process) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Minute)
	defer cancel()
	for _, p := range among {
		if p.watcher != nil && !p.watcher.AwaitInitialized(ctx) {
			s.t.Fatalf("%s has no state a minute after its start", p.name)
		}
	}
	synctest.Wait()
}

// restart stops processes simultaneously and restarts them after a pause, in random order and spread
// over the given time.
func (s *virtualSite) restart(among []*process, over time.Duration) {
	for _, p := range among {
		p.stop()
	}
	time.Sleep(600 * time.Millisecond)
	s.network.takeCalls()
	for _, place := range s.random.Perm(len(among)) {
		s.start(among[place])
		time.Sleep(over / time.Duration(len(among)))
	}
}

// awaitCoordinators waits until all coordinators are up to date with their leader.
func (s *virtualSite) awaitCoordinators() {
	s.t.Helper()
	for _, p := range s.processes[:coordinators] {
		for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
			if _, _, err := p.coordinator.currentState(); err == nil {
				break
			} else if time.Now().After(deadline) {
				s.t.Fatalf("%s is not up to date a minute after its start: %v", p.name, err)
			}
		}
	}
}

// rootGroupOf returns the root group at a coordinator.
func (s *virtualSite) rootGroupOf(p *process) replica.Group {
	s.t.Helper()
	group, _, err := p.coordinator.rootGroup()
	if err != nil {
		s.t.Fatal(err)
	}
	return group
}

// newStore returns a store whose address is its name.
func newStore(name string) *rockwindpb.Machine {
	return &rockwindpb.Machine{Name: name, Role: rockwindpb.SiteRole_SITE_ROLE_STORE, Address: name}
}

// announceCommand returns the command that adds a machine to the directory.
func announceCommand(machine *rockwindpb.Machine) *rockwindpb.DirectoryCommand {
	return &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Announce{Announce: machine}}
}
