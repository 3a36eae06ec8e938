package coordinator

import (
	"context"
	"fmt"
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
	// linkDelay is the time of a message between zones, and syncTime that of a disk.
	linkDelay = 900 * time.Microsecond
	syncTime  = 2 * time.Millisecond
)

// links carries the calls of a site in memory. A process that does not run refuses, and one
// that ends breaks the calls off that it has.
type links struct {
	mutex   sync.Mutex
	serving map[string]listening
	calls   int
	// methods counts calls by method, with those of the replicas.
	methods map[string]int
	// unanswered counts calls to addresses where no process runs. They hang where silent is
	// set, as those to a machine without power, and are refused otherwise.
	unanswered int
	silent     bool
}

// listening is a process that takes calls, until its context ends.
type listening struct {
	ctx     context.Context
	handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (l *links) RoundTrip(request *http.Request) (*http.Response, error) {
	time.Sleep(linkDelay)
	l.mutex.Lock()
	l.calls++
	l.methods[path.Base(request.URL.Path)]++
	called, runs := l.serving[request.URL.Host]
	runs = runs && called.ctx.Err() == nil
	if !runs {
		l.unanswered++
	}
	l.mutex.Unlock()
	if !runs {
		if l.silent {
			<-request.Context().Done()
		}
		return nil, errors.Newf("no process at %s", request.URL.Host)
	}
	if trace := httptrace.ContextClientTrace(request.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	// Nothing of the caller's context comes over but its end.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer context.AfterFunc(called.ctx, cancel)()
	defer context.AfterFunc(request.Context(), cancel)()
	recorder := httptest.NewRecorder()
	called.handler.ServeHTTP(recorder, request.WithContext(ctx))
	time.Sleep(linkDelay)
	if ctx.Err() != nil {
		return nil, errors.Newf("the call to %s broke off", request.URL.Host)
	}
	return recorder.Result(), nil
}

// takeCalls returns how many calls there were, and begins to count anew.
func (l *links) takeCalls() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	calls := l.calls
	l.calls = 0
	return calls
}

// callsOf returns how many calls of a method there were.
func (l *links) callsOf(method string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.methods[method]
}

// takeUnanswered returns how many calls nobody answered, and begins to count anew.
func (l *links) takeUnanswered() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	unanswered := l.unanswered
	l.unanswered = 0
	return unanswered
}

// alias has the process at an address take the calls to another one, too.
func (l *links) alias(added, address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.serving[added] = l.serving[address]
}

// serve has a process take calls until the context ends.
func (l *links) serve(ctx context.Context, address string, handler http.Handler) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.serving[address] = listening{ctx: ctx, handler: handler}
}

// process is a coordinator or a watcher of a site in virtual time.
type process struct {
	name        string
	disk        *faultfs.Disk // nil at watchers
	coordinator *Coordinator
	watcher     *site.Watcher
	stop        func()
	// started is when it started last, and ready how long after that it had a
	// configuration and a directory.
	started time.Time
	ready   time.Duration
}

// virtualSite is the coordinators and watchers of a site.
type virtualSite struct {
	t         *testing.T
	links     *links
	client    *http.Client
	random    *rand.Rand
	seeds     []string
	processes []*process
	// admits tells that machines with new names may take places in the root group.
	admits bool
}

// inVirtualSite runs a test with a site of the given size that knows a configuration.
func inVirtualSite(t *testing.T, size int, run func(s *virtualSite)) {
	inSite(t, size, false, run)
}

// inSiteThatAdmits is inVirtualSite where machines with new names may take places.
func inSiteThatAdmits(t *testing.T, size int, run func(s *virtualSite)) { inSite(t, size, true, run) }

func inSite(t *testing.T, size int, admits bool, run func(s *virtualSite)) {
	synctest.Test(t, func(t *testing.T) {
		s := &virtualSite{t: t, admits: admits, links: &links{serving: map[string]listening{}, methods: map[string]int{}}, random: rand.New(rand.NewPCG(3, 3))}
		s.client = &http.Client{Transport: s.links}
		for position := range size {
			added := &process{name: fmt.Sprintf("p%d", position)}
			if position < coordinators {
				added.disk = faultfs.New()
				added.disk.DelaySync(func() { time.Sleep(syncTime) })
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
		s.apply()
		s.awaitReady(s.processes)
		run(s)
	})
}

// start runs a process anew; its disk stays.
func (s *virtualSite) start(p *process) {
	ctx, cancel := context.WithCancel(context.Background())
	p.started, p.ready = time.Now(), 0
	if p.disk == nil {
		s.watch(ctx, cancel, p)
		return
	}
	c := &Coordinator{settings: &rockwindpb.SiteSettings{Name: p.name, Seeds: s.seeds, InternalListen: p.name}, client: s.client, live: newLiveness()}
	options := replica.Options{
		Machine: p.name, Address: p.name, Folder: "data", FileSystem: p.disk, Client: s.client,
		Tick: 30 * time.Millisecond, HeartbeatTicks: 2, Random: s.random.Uint64(),
		StateMachines: func(uint32) replica.StateMachine {
			created := newRootMachine()
			c.root.Store(created)
			return created
		},
	}
	if s.admits {
		options.Discover, options.AdmitNew, options.Places = c.peers, true, rootPlaces
	}
	host, err := replica.NewHost(options)
	if err != nil {
		s.t.Fatal(err)
	}
	c.host, p.coordinator = host, c
	s.links.serve(ctx, p.name, c.internalHandler(nil))
	ended := make(chan error, 1)
	go func() { ended <- host.Run(ctx) }()
	p.stop = func() {
		p.disk.KillProcess()
		cancel()
		<-ended
		p.stop = func() {}
	}
}

// watch runs a watcher, and notes when it is ready.
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
		if watcher.AwaitKnown(ctx) {
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

// apply has a configuration and an entry of the directory accepted.
func (s *virtualSite) apply() {
	s.t.Helper()
	c := s.processes[0].coordinator
	request := &rockwindpb.ApplyConfigurationRequest{Configuration: &rockwindpb.Configuration{Number: 1}}
	if _, err := c.Apply(s.t.Context(), request); err != nil {
		s.t.Fatalf("the configuration is not accepted: %v", err)
	}
	if err := c.change(s.t.Context(), announcing(storeNamed("store"))); err != nil {
		s.t.Fatalf("the directory is not changed: %v", err)
	}
}

// awaitReady waits until all watchers among the processes are ready.
func (s *virtualSite) awaitReady(among []*process) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Minute)
	defer cancel()
	for _, p := range among {
		if p.watcher != nil && !p.watcher.AwaitKnown(ctx) {
			s.t.Fatalf("%s knows nothing a minute after its start", p.name)
		}
	}
	synctest.Wait()
}

// restart ends processes at once and starts them after a while, in any order, over the given
// time.
func (s *virtualSite) restart(among []*process, over time.Duration) {
	for _, p := range among {
		p.stop()
	}
	time.Sleep(600 * time.Millisecond)
	s.links.takeCalls()
	for _, place := range s.random.Perm(len(among)) {
		s.start(among[place])
		time.Sleep(over / time.Duration(len(among)))
	}
}

// awaitCoordinators waits until all coordinators hear their leader and are up to date.
func (s *virtualSite) awaitCoordinators() {
	s.t.Helper()
	for _, p := range s.processes[:coordinators] {
		for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
			if _, _, err := p.coordinator.current(); err == nil {
				break
			} else if time.Now().After(deadline) {
				s.t.Fatalf("%s is not current a minute after its start: %v", p.name, err)
			}
		}
	}
}

// rootOf returns the root group at a coordinator.
func (s *virtualSite) rootOf(p *process) replica.Group {
	s.t.Helper()
	group, _, err := p.coordinator.group()
	if err != nil {
		s.t.Fatal(err)
	}
	return group
}

// storeNamed is a store whose address is its name.
func storeNamed(name string) *rockwindpb.Machine {
	return &rockwindpb.Machine{Name: name, Role: rockwindpb.SiteRole_SITE_ROLE_STORE, Address: name}
}

// announcing is the command that enters a machine in the directory.
func announcing(machine *rockwindpb.Machine) *rockwindpb.DirectoryCommand {
	return &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Announce{Announce: machine}}
}
