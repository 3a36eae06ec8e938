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
	// startSpread is how far apart processes start that come back together.
	startSpread = 200 * time.Millisecond
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
		p.disk.Kill()
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
	machine := &rockwindpb.Machine{Name: "store", Role: rockwindpb.SiteRole_SITE_ROLE_STORE, Address: "store"}
	command := &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Announce{Announce: machine}}
	if err := c.change(s.t.Context(), command); err != nil {
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

// slowest is the longest time that a watcher took from the start of the last coordinator, or
// its own if that was later, until it was ready.
func slowest(among []*process) time.Duration {
	var last time.Time
	for _, p := range among {
		if p.coordinator != nil && p.started.After(last) {
			last = p.started
		}
	}
	longest := time.Duration(0)
	for _, p := range among {
		if p.watcher == nil {
			continue
		}
		began := p.started
		if last.After(began) {
			began = last
		}
		longest = max(longest, p.started.Add(p.ready).Sub(began))
	}
	return longest
}

// sizes are how many processes the sites of the tests have. Short tests, which run with the race
// detector, have fewer: on the events of a hundred processes within one bubble the detector
// itself fails ("ThreadSanitizer: CHECK failed", in its count of epochs).
func sizes() []int {
	if testing.Short() {
		return []int{24}
	}
	return []int{96, 300, 1000}
}

// TestSiteIsBackSoonAfterEverythingStopped ends all processes of a site at once. From the
// start of the last coordinator on, each process knows the configuration and the directory
// within 0.15 s, however many there are, and what was known is in the answers.
func TestSiteIsBackSoonAfterEverythingStopped(t *testing.T) {
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inVirtualSite(t, size, func(s *virtualSite) {
				s.restart(s.processes, startSpread)
				s.awaitReady(s.processes)
				took := slowest(s.processes)
				s.t.Logf("%d processes: ready %v after the last coordinator's start, %d calls", size, took, s.links.takeCalls())
				if took > 150*time.Millisecond {
					s.t.Errorf("the last process is ready after %v", took)
				}
				for _, p := range s.processes {
					if p.watcher != nil && (p.watcher.Configuration().Number() != 1 || len(p.watcher.Stores()) != 1) {
						s.t.Fatalf("%s knows configuration %d and %d stores", p.name, p.watcher.Configuration().Number(), len(p.watcher.Stores()))
					}
				}
			})
		})
	}
}

// TestSiteIsBackAfterAPartStopped ends half of all processes with three of the five
// coordinators, a zone with two of them, or the coordinators alone. Where some live on, promises to a leader that may
// still lead are waited for. Afterwards all coordinators are current, and all watchers that
// had ended know what they need.
func TestSiteIsBackAfterAPartStopped(t *testing.T) {
	for name, part := range map[string]func(s *virtualSite) []*process{
		"half": func(s *virtualSite) []*process { return s.processes[2 : len(s.processes)/2] },
		"zone": func(s *virtualSite) (zone []*process) {
			for position := 0; position < len(s.processes); position += 3 {
				zone = append(zone, s.processes[position])
			}
			return zone
		},
		"coordinators": func(s *virtualSite) []*process { return s.processes[:coordinators] },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualSite(t, sizes()[0], func(s *virtualSite) {
				s.restart(part(s), 0)
				began := time.Now()
				s.awaitCoordinators()
				s.awaitReady(s.processes)
				took := time.Since(began)
				s.t.Logf("back %v after the last start", took)
				if took > time.Second {
					s.t.Errorf("the site is back after %v", took)
				}
			})
		})
	}
}

// TestLivingProcessesHearAtOnceThatCoordinatorsAreBack ends the coordinators alone. The others
// have nothing to learn, and know soon after the start that a coordinator hears them: what
// they deny or let in rests on when one was heard last.
func TestLivingProcessesHearAtOnceThatCoordinatorsAreBack(t *testing.T) {
	inVirtualSite(t, sizes()[0], func(s *virtualSite) {
		s.restart(s.processes[:coordinators], 0)
		s.awaitCoordinators()
		began := time.Now()
		time.Sleep(300 * time.Millisecond)
		for _, p := range s.processes {
			if p.watcher != nil && p.watcher.LastHeard().Before(began.Add(-100*time.Millisecond)) {
				s.t.Fatalf("%s heard a coordinator %v before they were back", p.name, began.Sub(p.watcher.LastHeard()))
			}
		}
	})
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

// TestCoordinatorThatWasAwayDoesNotAnswerItsOldState restarts one coordinator alone. Leader
// and term stay, and what was committed meanwhile it must hold before it answers.
func TestCoordinatorThatWasAwayDoesNotAnswerItsOldState(t *testing.T) {
	inVirtualSite(t, coordinators, func(s *virtualSite) {
		s.awaitCoordinators()
		away := s.processes[1]
		if _, leads := s.rootOf(away).Leading(); leads {
			away = s.processes[2]
		}
		term := s.rootOf(away).Status().GetTerm()
		away.stop()
		machine := &rockwindpb.Machine{Name: "late", Role: rockwindpb.SiteRole_SITE_ROLE_STORE, Address: "late"}
		command := &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Announce{Announce: machine}}
		if err := s.processes[0].coordinator.change(s.t.Context(), command); err != nil {
			s.t.Fatal(err)
		}
		// Longer than any call to the coordinator that is away is under way.
		time.Sleep(5 * time.Second)
		s.start(away)
		for deadline := time.Now().Add(time.Minute); ; time.Sleep(100 * time.Microsecond) {
			if _, view, err := away.coordinator.current(); err == nil {
				if !view.directory.KnowsMachine(machine) {
					s.t.Errorf("%v after its start it answers the state from before it was away", time.Since(away.started))
				}
				break
			} else if time.Now().After(deadline) {
				s.t.Fatalf("not current a minute after its start: %v", err)
			}
		}
		if now := s.rootOf(away).Status().GetTerm(); now != term {
			s.t.Fatalf("term %d became %d: the test shows nothing", term, now)
		}
	})
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

// TestHoldAfterAStartCountsWithinTheWait: whoever asks for news sets how long it waits for an
// answer, which a coordinator that has just started and hears no leader must not exceed.
func TestHoldAfterAStartCountsWithinTheWait(t *testing.T) {
	const wait, until = time.Second, 300 * time.Millisecond
	for name, watch := range map[string]func(ctx context.Context, c *Coordinator, held *rootView) error{
		"directory": func(ctx context.Context, c *Coordinator, held *rootView) error {
			_, err := directoryService{c}.Watch(ctx, &rockwindpb.WatchDirectoryRequest{
				HaveRevision: held.directory.Revision(), HaveConfiguration: held.catalog.Index().Number(), WaitMs: uint32(wait.Milliseconds()),
			})
			return err
		},
		"configuration": func(ctx context.Context, c *Coordinator, held *rootView) error {
			index := held.catalog.Index()
			_, err := configurationService{c}.Watch(ctx, &rockwindpb.WatchConfigurationRequest{
				HaveNumber: index.Number(), HaveChecksum: index.Checksum(), WaitMs: uint32(wait.Milliseconds()),
			})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualSite(t, coordinators, func(s *virtualSite) {
				s.awaitCoordinators()
				first, others := s.processes[0], s.processes[1:]
				_, held, err := first.coordinator.current()
				if err != nil {
					s.t.Fatal(err)
				}
				for _, p := range s.processes {
					p.stop()
				}
				s.start(first)
				time.Sleep(20 * time.Millisecond)
				began, ended := time.Now(), make(chan error, 1)
				go func() { ended <- watch(s.t.Context(), first.coordinator, held) }()
				time.Sleep(until)
				for _, p := range others {
					s.start(p)
				}
				if err := <-ended; err != nil {
					s.t.Fatal(err)
				}
				if took := time.Since(began); took < until || took > wait+freshnessInterval/5 {
					s.t.Errorf("a call that waits for %v is answered after %v", wait, took)
				}
			})
		})
	}
}
