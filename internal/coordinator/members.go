package coordinator

import (
	"cmp"
	"context"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharding"
	"rockwind.example/rockwind/internal/site"
)

const (
	// passTries bounds how many members a call is passed on to, one after the other: as many
	// as the root group has.
	passTries = rootPlaces
	// memberAvoidance is how long a member that failed to answer comes after the others.
	memberAvoidance = 10 * time.Second
	// passTimeout bounds one try of a call that changes nothing, and is longer than an election: a member that hangs is left for
	// another one while the caller, with its some seconds, still waits.
	passTimeout = time.Second
	// toCommit stands for the time of a try that changes something: it lasts as long as its caller
	// waits, while the member shows that it lives. A commit may take longer than passTimeout where
	// disks are slow; cut and made again it would take longer still.
	toCommit time.Duration = 0
	// aliveLook is the time between looks at a member that has a change and does not answer, and the
	// longest that a look may take: one that hangs is left after passTimeout.
	aliveLook = passTimeout / 2
	// holdGrace is how much longer than its hold a member's answer to a call that waits for news may
	// take. Callers give 0.5 s themselves.
	holdGrace = 300 * time.Millisecond
	// leaderlessPause is the time between rounds of calls for the leader while members name none:
	// elections take 0.3 s and more, and a round costs a call at each member.
	leaderlessPause = 100 * time.Millisecond
	// passedOnHeader marks a call that a coordinator passed on, or that a member took to the leader.
	// A coordinator outside never passes it on.
	passedOnHeader = "Rockwind-Passed-On"
)

// outside tells whether this coordinator belongs to a cluster whose root group has no replica
// here: there are more coordinators than the group has places. It passes calls on to members.
func (c *Coordinator) outside() bool {
	select {
	case <-c.host.InCluster():
	default:
		return false
	}
	_, running := c.host.Group(sharding.RootGroup)
	return !running
}

// rootMembers are the addresses of the machines that may hold the root group, as the last
// answer to an offer to join named them, and the seeds.
func (c *Coordinator) rootMembers() []string {
	self := site.Advertised(c.settings)
	var addresses []string
	add := func(address string) {
		if address != "" && address != self && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, machine := range c.host.JoinResponseMembers() {
		add(machine.GetAddress())
	}
	for _, seed := range c.settings.GetSeeds() {
		add(seed)
	}
	return addresses
}

// memberOrder decides which member a call is passed on to. The zero value is ready for use; its
// methods may be called by any goroutine.
type memberOrder struct {
	mutex sync.Mutex
	// failed holds when members failed to answer.
	failed map[string]time.Time
}

// order lists at most passTries of the addresses. Each coordinator, named self, has them in an
// order of its own; those that failed lately come last, the one that failed first before the
// others.
func (o *memberOrder) order(self string, addresses []string, now time.Time) []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	failedAt := func(address string) int64 {
		if at, known := o.failed[address]; known && now.Sub(at) < memberAvoidance {
			return at.UnixNano()
		}
		return 0
	}
	rank := func(address string) uint64 { return xxhash.Sum64String(self + " " + address) }
	ordered := slices.Clone(addresses)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(failedAt(a), failedAt(b)), cmp.Compare(rank(a), rank(b)))
	})
	return ordered[:min(len(ordered), passTries)]
}

// note notes whether a member has answered.
func (o *memberOrder) note(address string, answered bool, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if answered {
		delete(o.failed, address)
		return
	}
	if o.failed == nil {
		o.failed = make(map[string]time.Time)
	}
	o.failed[address] = now
}

// passOn makes a call at one member of the root group after the other until one takes it, for
// a coordinator that is outside. The call must have the same effect when it is performed
// twice. It goes to a leader that a member names, and is never passed on twice, so that
// coordinators that take each other for members do not pass calls round. One try takes no longer
// than the given time, or is toCommit. Such a call fails with fault.OutcomeUnknown once a member
// that may have carried it out did not say so, whatever others say.
func passOn[Response any](ctx context.Context, c *Coordinator, within time.Duration, call func(ctx context.Context, base string) (Response, error)) (Response, error) {
	var none Response
	var last error = fault.New(fault.Unavailable, "this coordinator holds no replica of the root group, and reaches no member of it",
		"ask another coordinator").WithRan(fault.NotRun)
	if ctx.Value(passedOn{}) != nil {
		return none, last
	}
	ctx, err := withPassedOn(ctx)
	if err != nil {
		return none, err
	}
	var unknown error
	asked := c.members.order(c.settings.GetName(), c.rootMembers(), time.Now())
	for tries := 0; tries < passTries && len(asked) > 0 && ctx.Err() == nil; tries++ {
		address := asked[0]
		response, connected, err := passOnce(ctx, c, address, within, call)
		if err == nil {
			c.members.note(address, true, time.Now())
			return response, nil
		}
		failure := fault.From(err)
		if !passing(failure) {
			return none, failure
		}
		if within == toCommit && (failure.Kind == fault.OutcomeUnknown || (connected && !fault.Told(err))) {
			unknown = outcomeUnknown(address)
		}
		asked = asked[1:]
		if !fault.Is(last, fault.NotLeader) {
			// That a member answers, and knows no leader, tells more than that another is gone.
			last = failure
		}
		switch {
		case ctx.Err() != nil:
			// The caller's time is over, which tells nothing of the member.
		case failure.Kind != fault.NotLeader:
			c.members.note(address, false, time.Now())
		case failure.Leader != "" && failure.Leader != site.Advertised(c.settings):
			asked = slices.Insert(asked, 0, failure.Leader)
		}
	}
	return none, cmp.Or(unknown, last)
}

// outcomeUnknown is the fault of a change that the member at an address may have made.
func outcomeUnknown(address string) error {
	return fault.Newf(fault.OutcomeUnknown, "send it again, or look whether it is in force",
		"the member of the root group at %s took the change and did not tell what came of it", address).WithRan(fault.RanUnknown)
}

// passOnToLeader is passOn for a call that only the leader takes. Where members answer that there is
// none, or do not tell what came of a change, it is repeated until the context ends, as at members.
func passOnToLeader[Response any](ctx context.Context, c *Coordinator, within time.Duration, call func(ctx context.Context, base string) (Response, error)) (Response, error) {
	var unknown error
	for {
		response, err := passOn(ctx, c, within, call)
		if err == nil || !passing(err) {
			return response, err
		}
		if fault.Is(err, fault.OutcomeUnknown) {
			unknown = err
		}
		if fault.Is(err, fault.Unavailable) || !retry.Pause(ctx, leaderlessPause) {
			return response, cmp.Or(unknown, err)
		}
	}
}

// holdOf is how long a member may take for a call that waits for news for the given time.
func holdOf(waitMs uint32) time.Duration {
	return min(time.Duration(waitMs)*time.Millisecond, maximumWait) + holdGrace
}

// passOnce makes a call at one address, and gives up where there is no connection soon, or no
// answer within the given time. It tells whether there was a connection.
func passOnce[Response any](ctx context.Context, c *Coordinator, address string, within time.Duration, call func(ctx context.Context, base string) (Response, error)) (Response, bool, error) {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	base := "http://" + address
	if within == toCommit {
		go c.leaveHanging(limited, base, cancel)
	} else {
		defer time.AfterFunc(within, cancel).Stop()
	}
	var connected atomic.Bool
	traced, release := site.WithConnectLimit(limited, site.ConnectPatience)
	defer release()
	traced = httptrace.WithClientTrace(traced, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := call(traced, base)
	return response, connected.Load(), err
}

// leaveHanging has a try at a member end once the member does not answer anything else either.
func (c *Coordinator) leaveHanging(ctx context.Context, base string, leave func()) {
	for retry.Pause(ctx, aliveLook) {
		looking, cancel := context.WithTimeout(ctx, aliveLook)
		// A note of no servers is answered at once, and changes nothing.
		_, err := c.directoryAt(base).Note(looking, &rockwindpb.NoteServersRequest{})
		cancel()
		if err != nil && !fault.Told(err) && ctx.Err() == nil {
			log.WithError(err).WithField("address", base).Warn("a member has a change, and hangs")
			leave()
			return
		}
	}
}

// passedOn is the key under which a call's context tells that a coordinator passed it on.
type passedOn struct{}

// withPassedOn returns a context whose calls are marked as passed on.
func withPassedOn(ctx context.Context) (context.Context, error) {
	return twirp.WithHTTPRequestHeaders(ctx, http.Header{passedOnHeader: {"1"}})
}

// markPassedOn has the contexts of calls that were passed on tell so.
func markPassedOn(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get(passedOnHeader) != "" {
			request = request.WithContext(context.WithValue(request.Context(), passedOn{}, true))
		}
		next.ServeHTTP(writer, request)
	})
}

// configurationAt is the configuration as the coordinator at a base address serves it.
func (c *Coordinator) configurationAt(base string) rockwindpb.ConfigurationService {
	return rockwindpb.NewConfigurationServiceProtobufClient(base, c.carrier())
}

// directoryAt is the directory as the coordinator at a base address serves it.
func (c *Coordinator) directoryAt(base string) rockwindpb.DirectoryService {
	return rockwindpb.NewDirectoryServiceProtobufClient(base, c.carrier())
}

// quarantineAt is the quarantine as the coordinator at a base address serves it.
func (c *Coordinator) quarantineAt(base string) rockwindpb.QuarantineService {
	return rockwindpb.NewQuarantineServiceProtobufClient(base, c.carrier())
}
