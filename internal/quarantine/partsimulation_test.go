package quarantine_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// promptSeeds is how many seeds TestCrashingPromptPartIsHeldInTime runs of each scenario.
var promptSeeds = flag.Int("prompt.seeds", 3, "seeds of simulated sites with crashing prompt parts")

// promptScenario is a day of a site whose prompts have parts in common.
type promptScenario struct {
	name string
	// routers and servers are the size of the site, soundRate its sound requests a second.
	routers, servers int
	soundRate        float64
	// listLag is the longest time that a change takes to reach a router.
	listLag time.Duration
	// causes is the number of crashing parts, and first is set if they stand first in their prompts.
	causes int
	first  bool
	// burst is how many requests with each crashing part come at a time, and every how long.
	burst int
	every time.Duration
	// otherCrashes is how many servers a second crash for other reasons.
	otherCrashes float64
	// leaderless is set if no coordinator takes reports for the first seconds of the crashes.
	leaderless time.Duration
	// wasSound is set if the crashing parts were answered until the crashes began.
	wasSound bool
	// slowAnswers makes answers take several seconds.
	slowAnswers bool
}

const (
	// crashesBegin is when the first request with a crashing part comes, and dayEnds when the day ends.
	crashesBegin = 10 * time.Second
	dayEnds      = 60 * time.Second
	// contact is how long after the fifth crash the processes may take to hold a part.
	contact = 3 * time.Second
	// maxLateRequests is how many requests with a crashing part may reach servers later than that.
	maxLateRequests = 3
)

// promptSite simulates the routers, servers and the leading coordinator of a site in virtual time.
type promptSite struct {
	promptScenario
	random    *rand.Rand
	now       time.Time
	origin    time.Time
	events    eventQueue
	order     int
	registry  *quarantine.Registry
	revision  uint64
	fronts    []*promptRouter
	backends  []*promptServer
	nextID    int
	culprits  []*crashCause
	refused   map[string]int
	sent      map[string]int
	sharedOut int
	// checking is set while the leader has a check scheduled.
	checking bool
	wrong    []string
}

type promptRouter struct {
	list    *quarantine.List
	answers *quarantine.PartAnswers
	// unreported holds what no coordinator has accepted.
	unreported *quarantine.Unreported
}

type promptServer struct {
	id      string
	up      bool
	running map[*promptRequest]bool
}

type promptRequest struct {
	router *promptRouter
	names  []string
	parts  []fingerprint.Fingerprint
	sentAt time.Time
}

// crashCause is a part that crashes servers.
type crashCause struct {
	name    string
	crashes []time.Time
	// reached counts its requests that reached a server later than contact after the fifth crash.
	late int
}

type simulatedEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *promptSite) after(delay time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simulatedEvent{at: s.now.Add(delay), order: s.order, run: run})
}

func (s *promptSite) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *promptSite) exponential(rate float64) time.Duration {
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

func newPromptSite(scenario promptScenario, seed uint64) *promptSite {
	s := &promptSite{
		promptScenario: scenario, random: rand.New(rand.NewPCG(seed, 56)), now: time.UnixMilli(1_000_000_000), registry: quarantine.New(),
		refused: make(map[string]int), sent: make(map[string]int),
	}
	s.origin = s.now
	for range scenario.routers {
		s.fronts = append(s.fronts, &promptRouter{answers: quarantine.NewPartAnswers(s.now), unreported: quarantine.NewUnreported()})
	}
	for number := range scenario.servers {
		s.backends = append(s.backends, &promptServer{id: fmt.Sprint("server-", number), up: true, running: make(map[*promptRequest]bool)})
	}
	for number := range scenario.causes {
		s.culprits = append(s.culprits, &crashCause{name: fmt.Sprint("crashing-", number)})
	}
	return s
}

func (s *promptSite) elapsed() time.Duration { return s.now.Sub(s.origin) }

func (s *promptSite) run() {
	s.scheduleSound()
	for _, cause := range s.culprits {
		s.after(crashesBegin+s.between(0, 500*time.Millisecond), func() { s.sendCrashing(cause) })
	}
	if s.otherCrashes > 0 {
		s.after(s.exponential(s.otherCrashes), s.crashOther)
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(simulatedEvent)
		if s.now = next.at; s.elapsed() > dayEnds {
			return
		}
		next.run()
	}
}

// subject returns a part that is the more frequent the smaller its number.
func (s *promptSite) subject() string {
	return fmt.Sprint("subject-", int(40*s.random.Float64()*s.random.Float64()))
}

func (s *promptSite) scheduleSound() {
	s.after(s.exponential(s.soundRate), func() {
		s.scheduleSound()
		names := []string{"shared", fmt.Sprint("document-", s.random.IntN(4)), s.subject()}
		if s.wasSound && s.elapsed() < crashesBegin-time.Second && s.random.IntN(8) == 0 {
			names = s.crashingPrompt(s.culprits[s.random.IntN(len(s.culprits))])
		}
		s.arrive(names)
	})
}

func (s *promptSite) crashingPrompt(cause *crashCause) []string {
	if s.first {
		return []string{cause.name, fmt.Sprint("document-", s.random.IntN(4)), s.subject()}
	}
	return []string{"shared", cause.name, s.subject()}
}

func (s *promptSite) sendCrashing(cause *crashCause) {
	for range s.burst {
		s.after(s.between(0, 800*time.Millisecond), func() { s.arrive(s.crashingPrompt(cause)) })
	}
	s.after(s.every, func() { s.sendCrashing(cause) })
}

// arrive handles a request at a random router.
func (s *promptSite) arrive(names []string) {
	router := s.fronts[s.random.IntN(len(s.fronts))]
	request := &promptRequest{router: router, names: names, parts: fingerprint.OfParts("models", append(slices.Clone(names), "own"))}
	answeredSince := func(part fingerprint.Fingerprint, since time.Time) bool {
		return router.answers.LastSent(part, s.now).After(since)
	}
	held := router.list.HeldParts(request.parts, answeredSince, s.now)
	if held.For == 0 {
		held = router.unreported.List(s.now).HeldParts(request.parts, answeredSince, s.now)
		held.TrialIn, held.TrialDue = held.For, false
	}
	switch {
	case held.For == 0:
		s.send(request)
	case held.TrialDue && s.hasLeader():
		claim := fmt.Sprint("claim-", s.order)
		s.after(s.between(5*time.Millisecond, 40*time.Millisecond), func() { s.claimTrial(request, held, claim) })
	default:
		s.refuse(request, held)
	}
}

func (s *promptSite) claimTrial(request *promptRequest, held quarantine.HeldParts, claim string) {
	parts := fingerprint.BytesOf(held.Parts)
	if !s.registry.View().TrialDue(parts, s.now) {
		s.refuse(request, held)
		return
	}
	s.apply(&rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Trial{Trial: &rockwindpb.ClaimTrialRequest{Parts: parts, Claim: claim}}})
	if s.registry.View().Claimed(parts, claim) {
		s.send(request)
	}
}

func (s *promptSite) causeOf(names []string) *crashCause {
	for _, cause := range s.culprits {
		if slices.Contains(names, cause.name) {
			return cause
		}
	}
	return nil
}

func (s *promptSite) refuse(request *promptRequest, held quarantine.HeldParts) {
	if s.causeOf(request.names) != nil {
		return
	}
	for _, part := range held.Parts {
		name := request.names[slices.Index(request.parts, part)]
		s.refused[name]++
		if name == "shared" {
			s.wrong = append(s.wrong, fmt.Sprint(s.elapsed()))
		}
	}
	s.sharedOut++
}

func (s *promptSite) send(request *promptRequest) {
	var up []*promptServer
	for _, server := range s.backends {
		if server.up {
			up = append(up, server)
		}
	}
	if len(up) == 0 {
		return
	}
	server := up[s.random.IntN(len(up))]
	request.sentAt = s.now
	server.running[request] = true
	s.sent[request.names[0]]++
	if cause := s.causeOf(request.names); cause != nil && s.elapsed() >= crashesBegin {
		if len(cause.crashes) >= 5 && s.now.Sub(cause.crashes[4]) > contact {
			cause.late++
		}
		s.after(s.between(10*time.Millisecond, 150*time.Millisecond), func() {
			if server.up && server.running[request] {
				cause.crashes = append(cause.crashes, s.now)
				s.crash(server)
			}
		})
		return
	}
	took := s.between(100*time.Millisecond, 900*time.Millisecond)
	if s.slowAnswers {
		took = s.between(2*time.Second, 5*time.Second)
	}
	s.after(took, func() {
		if !server.running[request] {
			return
		}
		delete(server.running, request)
		request.router.answers.Add(request.parts, request.sentAt, s.now)
		s.reportAnswers(request.router, request.parts)
	})
}

// crash ends a server with all of its requests. Another incarnation starts some seconds later.
func (s *promptSite) crash(server *promptServer) {
	server.up = false
	ended := make([]*promptRequest, 0, len(server.running))
	for request := range server.running {
		ended = append(ended, request)
	}
	slices.SortFunc(ended, func(a, b *promptRequest) int { return a.sentAt.Compare(b.sentAt) })
	crashed := server.id
	for _, request := range ended {
		s.after(s.between(5*time.Millisecond, 25*time.Millisecond), func() { s.observeCrash(request, crashed) })
	}
	s.after(s.between(2*time.Second, 4*time.Second), func() {
		s.nextID++
		server.id, server.up, server.running = fmt.Sprint("restarted-", s.nextID), true, make(map[*promptRequest]bool)
	})
}

func (s *promptSite) crashOther() {
	s.after(s.exponential(s.otherCrashes), s.crashOther)
	if server := s.backends[s.random.IntN(len(s.backends))]; server.up {
		s.crash(server)
	}
}

func (s *promptSite) hasLeader() bool {
	return s.leaderless == 0 || s.elapsed() < crashesBegin || s.elapsed() > crashesBegin+s.leaderless
}

// observeCrash reports the crash of a server at the router of one of its requests.
func (s *promptSite) observeCrash(request *promptRequest, server string) {
	observed := s.now
	var answeredAt []time.Time
	for _, part := range request.parts {
		answeredAt = append(answeredAt, request.router.answers.LastSent(part, s.now))
	}
	end := func() *rockwindpb.ServerEnd {
		end := &rockwindpb.ServerEnd{
			Content: fingerprint.Of(fingerprint.Content{Target: fmt.Sprintf("%p", request)}).Bytes(), Server: server,
			Parts: fingerprint.BytesOf(request.parts), BeganMsAgo: uint64(s.now.Sub(request.sentAt).Milliseconds()),
		}
		for _, at := range answeredAt {
			age := uint64(0)
			if !at.IsZero() {
				age = uint64(max(1, s.now.Sub(at).Milliseconds()))
			}
			end.PartAnsweredMsAgo = append(end.PartAnsweredMsAgo, age)
		}
		return end
	}
	request.router.unreported.RecordCrash(end(), observed.Sub(request.sentAt), observed)
	s.deliver(request.router, 1, func() *rockwindpb.ReportQuarantineRequest {
		return &rockwindpb.ReportQuarantineRequest{Ends: []*rockwindpb.ServerEnd{end()}}
	})
}

// deliver sends a report to the leader, again until there is one.
func (s *promptSite) deliver(router *promptRouter, observations int, report func() *rockwindpb.ReportQuarantineRequest) {
	s.after(s.between(6*time.Millisecond, 30*time.Millisecond), func() {
		if !s.hasLeader() {
			s.after(100*time.Millisecond, func() { s.deliver(router, observations, report) })
			return
		}
		router.unreported.MarkReported(observations)
		s.apply(&rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Report{Report: report()}})
	})
}

// reportAnswers reports the answers to suspected parts that are due.
func (s *promptSite) reportAnswers(router *promptRouter, parts []fingerprint.Fingerprint) {
	suspected := func(part fingerprint.Fingerprint) (time.Time, bool) {
		if since, found := router.list.SuspectedPart(part); found {
			return since, true
		}
		return router.unreported.List(s.now).SuspectedPart(part)
	}
	answers := router.answers.TakeReport(parts, suspected, quarantine.PartReportInterval(len(s.fronts)), s.now)
	if len(answers) == 0 {
		return
	}
	encode := func() []*rockwindpb.PartAnswer {
		var encoded []*rockwindpb.PartAnswer
		for _, each := range answers {
			encoded = append(encoded, &rockwindpb.PartAnswer{Part: each.Part.Bytes(), SentMsAgo: uint64(s.now.Sub(each.SentAt).Milliseconds())})
		}
		return encoded
	}
	router.unreported.RecordPartAnswers(encode(), s.now)
	s.deliver(router, 1, func() *rockwindpb.ReportQuarantineRequest {
		return &rockwindpb.ReportQuarantineRequest{AnsweredParts: encode()}
	})
}

// apply applies a command at the leader and sends the list to all routers if it has changed.
func (s *promptSite) apply(command *rockwindpb.QuarantineCommand) {
	command.NowUnixMs = s.now.UnixMilli()
	s.registry.Apply(command)
	view := s.registry.View()
	s.holdWhenDue()
	if view.Revision() == s.revision {
		return
	}
	s.revision = view.Revision()
	notices := view.Notices(s.now)
	for _, router := range s.fronts {
		s.after(s.between(s.listLag/8, s.listLag), func() {
			if view.Revision() <= router.list.Revision() {
				return
			}
			router.list = quarantine.NewList(view.Revision(), notices, s.now)
			if router.list.SuspectsParts() {
				s.after(s.between(0, quarantine.PartReportInterval(len(s.fronts))), func() { s.reportAnswers(router, router.list.SuspectedParts()) })
			}
		})
	}
}

// holdWhenDue has the leader commit a command once a part was not answered in time.
func (s *promptSite) holdWhenDue() {
	const leaderCheck = 50 * time.Millisecond
	if s.checking {
		return
	}
	s.checking = true
	s.after(leaderCheck, func() {
		s.checking = false
		switch {
		case s.registry.View().HoldDue(s.now) && s.hasLeader():
			s.apply(&rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Report{Report: &rockwindpb.ReportQuarantineRequest{}}})
		case s.registry.View().HoldDue(s.now.Add(10 * time.Second)):
			s.holdWhenDue()
		}
	})
}

// promptSizes are the sizes of the simulated sites.
func promptSizes() []promptScenario {
	return []promptScenario{
		{name: "7", routers: 7, servers: 18, soundRate: 60, listLag: 60 * time.Millisecond},
		{name: "60", routers: 60, servers: 60, soundRate: 200, listLag: 200 * time.Millisecond},
		{name: "300", routers: 300, servers: 200, soundRate: 500, listLag: 500 * time.Millisecond},
	}
}

// check compares the day with what must hold.
func (s *promptSite) check(t *testing.T, seed uint64) (late, crashes int) {
	for _, cause := range s.culprits {
		late, crashes = max(late, cause.late), max(crashes, len(cause.crashes))
		if cause.late > maxLateRequests {
			t.Errorf("seed %d: %d requests with %s reached servers later than %v after the fifth crash of %d", seed, cause.late, cause.name, contact, len(cause.crashes))
		}
	}
	if len(s.wrong) > 0 {
		t.Errorf("seed %d: requests were refused for the part that all share, at %v", seed, s.wrong[:min(5, len(s.wrong))])
	}
	total := s.sharedOut + s.sent["shared"]
	if s.sharedOut*50 > total {
		t.Errorf("seed %d: %d of %d sound requests were refused: %v", seed, s.sharedOut, total, s.refused)
	}
	return late, crashes
}

// Guards against a crashing prompt part that is held too late or never, and against sound requests that are refused
// for what they have in common with crashing ones.
func TestCrashingPromptPartIsHeldInTime(t *testing.T) {
	seeds := uint64(*promptSeeds)
	if testing.Short() {
		seeds = 1
	}
	vary := map[string]func(s *promptScenario){
		"one a second":        func(s *promptScenario) { s.burst, s.every = 1, time.Second },
		"bursts":              func(s *promptScenario) { s.burst, s.every = 20, 6*time.Second },
		"first, one a second": func(s *promptScenario) { s.first, s.burst, s.every = true, 1, time.Second },
		"first, bursts":       func(s *promptScenario) { s.first, s.burst, s.every = true, 20, 6*time.Second },
		"was sound":           func(s *promptScenario) { s.wasSound, s.burst, s.every = true, 1, time.Second },
		"was sound, bursts":   func(s *promptScenario) { s.wasSound, s.burst, s.every = true, 20, 6*time.Second },
		"other crashes":       func(s *promptScenario) { s.otherCrashes, s.burst, s.every = 0.7, 1, time.Second },
		"four causes":         func(s *promptScenario) { s.causes, s.burst, s.every = 4, 1, time.Second },
		"four, first":         func(s *promptScenario) { s.causes, s.first, s.burst, s.every = 4, true, 1, time.Second },
		"slow answers":        func(s *promptScenario) { s.slowAnswers, s.burst, s.every = true, 1, time.Second },
		"slow, four causes":   func(s *promptScenario) { s.slowAnswers, s.causes, s.burst, s.every = true, 4, 1, time.Second },
	}
	for _, size := range promptSizes() {
		for name, change := range vary {
			t.Run(size.name+" "+name, func(t *testing.T) {
				t.Parallel()
				scenario := size
				scenario.causes = 1
				change(&scenario)
				for seed := uint64(1); seed <= seeds; seed++ {
					site := newPromptSite(scenario, seed)
					site.run()
					late, crashes := site.check(t, seed)
					t.Logf("seed %d: %d crashes, %d late, %d of %d sound requests refused", seed, crashes, late, site.sharedOut, site.sharedOut+site.sent["shared"])
				}
			})
		}
	}
}
