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
	// maxForwardAttempts bounds the members that a call is forwarded to in sequence: all of the root group.
	maxForwardAttempts = maxRootMembers
	// memberAvoidTime is how long a failed member is ordered behind the others.
	memberAvoidTime = 10 * time.Second
	// forwardTimeout bounds one attempt of a read. It is longer than an election and short
	// enough for another attempt before the caller gives up.
	forwardTimeout = time.Second
	// untilCommitted is the timeout of an attempt that changes state: it lasts until the caller
	// gives up or the member becomes unresponsive. Commits may exceed forwardTimeout on slow
	// disks, and a retry would delay them further.
	untilCommitted time.Duration = 0
	// unresponsiveCheckInterval is the interval and timeout of checks of a member that has not
	// yet answered a change. An unresponsive member is abandoned after forwardTimeout.
	unresponsiveCheckInterval = forwardTimeout / 2
	// watchGracePeriod is how much longer than its wait a watch at a member may take. It is
	// below the 0.5 s that watchers allow.
	watchGracePeriod = 300 * time.Millisecond
	// noLeaderRetryInterval is the time between rounds of calls while members know no leader.
	// An election takes at least 0.3 s.
	noLeaderRetryInterval = 100 * time.Millisecond
	// forwardedHeader marks a call that a coordinator forwarded. A non-member does not forward
	// it again.
	forwardedHeader = "Rockwind-Passed-On"
)

// isNonMember reports whether this coordinator belongs to a cluster but holds no replica of the
// root group, as the group already has enough members.
func (c *Coordinator) isNonMember() bool {
	select {
	case <-c.host.InCluster():
	default:
		return false
	}
	_, running := c.host.Group(sharding.RootGroup)
	return !running
}

// memberAddresses lists the machines that may be members of the root group: those named in the
// last answer to a join request, and the seeds.
func (c *Coordinator) memberAddresses() []string {
	self := site.AdvertisedAddress(c.settings)
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

// memberSelector orders the members that calls are forwarded to. The zero value is ready to use,
// and its methods are safe for concurrent use.
type memberSelector struct {
	mutex sync.Mutex
	// lastFailed holds the time of the last failure of each failed member.
	lastFailed map[string]time.Time
}

// order returns at most maxForwardAttempts addresses. Each coordinator, named self, has its own
// pseudo-random order. Recently failed members come last, the earliest failure first.
func (s *memberSelector) order(self string, addresses []string, now time.Time) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	failedAt := func(address string) int64 {
		if at, known := s.lastFailed[address]; known && now.Sub(at) < memberAvoidTime {
			return at.UnixNano()
		}
		return 0
	}
	rank := func(address string) uint64 { return xxhash.Sum64String(self + " " + address) }
	ordered := slices.Clone(addresses)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(failedAt(a), failedAt(b)), cmp.Compare(rank(a), rank(b)))
	})
	return ordered[:min(len(ordered), maxForwardAttempts)]
}

// recordResult records whether a member has answered.
func (s *memberSelector) recordResult(address string, answered bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if answered {
		delete(s.lastFailed, address)
		return
	}
	if s.lastFailed == nil {
		s.lastFailed = make(map[string]time.Time)
	}
	s.lastFailed[address] = now
}

// forward makes a call at the members of the root group in turn until one accepts it, and follows
// their hints to the leader. The call must be idempotent. Calls that were already forwarded fail,
// to avoid loops between non-members. timeout bounds one attempt or is untilCommitted; then the
// error is fault.OutcomeUnknown if any member may have carried out the change.
func forward[Response any](ctx context.Context, c *Coordinator, timeout time.Duration, call func(ctx context.Context, base string) (Response, error)) (Response, error) {
	var none Response
	var lastErr error = fault.New(fault.Unavailable, "this coordinator is not a member of the root group and cannot reach one",
		"ask another coordinator").WithRan(fault.NotRun)
	if isForwarded(ctx) {
		return none, lastErr
	}
	ctx, err := withForwardedHeader(ctx)
	if err != nil {
		return none, err
	}
	var outcomeErr error
	remaining := c.memberSelector.order(c.settings.GetName(), c.memberAddresses(), time.Now())
	for tries := 0; tries < maxForwardAttempts && len(remaining) > 0 && ctx.Err() == nil; tries++ {
		address := remaining[0]
		response, connected, err := forwardOnce(ctx, c, address, timeout, call)
		if err == nil {
			c.memberSelector.recordResult(address, true, time.Now())
			return response, nil
		}
		failure := fault.From(err)
		if !isTransient(failure) {
			return none, failure
		}
		if timeout == untilCommitted && (failure.Kind == fault.OutcomeUnknown || (connected && !fault.IsFault(err))) {
			outcomeErr = outcomeUnknown(address)
		}
		remaining = remaining[1:]
		if !fault.Is(lastErr, fault.NotLeader) {
			// A member that knows no leader is more informative than one that is down.
			lastErr = failure
		}
		switch {
		case ctx.Err() != nil:
			// The caller's context ended, which says nothing about the member.
		case failure.Kind != fault.NotLeader:
			c.memberSelector.recordResult(address, false, time.Now())
		case failure.Leader != "" && failure.Leader != site.AdvertisedAddress(c.settings):
			remaining = slices.Insert(remaining, 0, failure.Leader)
		}
	}
	return none, cmp.Or(outcomeErr, lastErr)
}

// outcomeUnknown returns the fault for a change that a member may have carried out.
func outcomeUnknown(address string) error {
	return fault.Newf(fault.OutcomeUnknown, "retry, or check whether the change is in effect",
		"the member of the root group at %s accepted the change, but its outcome is unknown", address).WithRan(fault.RanUnknown)
}

// forwardToLeader is forward for a call that only the leader accepts. It retries while members know
// no leader or the outcome of a change is unknown, until the context ends.
func forwardToLeader[Response any](ctx context.Context, c *Coordinator, timeout time.Duration, call func(ctx context.Context, base string) (Response, error)) (Response, error) {
	var outcomeErr error
	for {
		response, err := forward(ctx, c, timeout, call)
		if err == nil || !isTransient(err) {
			return response, err
		}
		if fault.Is(err, fault.OutcomeUnknown) {
			outcomeErr = err
		}
		if fault.Is(err, fault.Unavailable) || !retry.Pause(ctx, noLeaderRetryInterval) {
			return response, cmp.Or(outcomeErr, err)
		}
	}
}

// watchTimeout returns the timeout of a forwarded watch with the given wait.
func watchTimeout(waitMs uint32) time.Duration {
	return min(time.Duration(waitMs)*time.Millisecond, maxWatchWait) + watchGracePeriod
}

// forwardOnce makes a call at one address. It fails without a prompt connection or without an answer
// within the timeout. It also reports whether there was a connection.
func forwardOnce[Response any](ctx context.Context, c *Coordinator, address string, timeout time.Duration, call func(ctx context.Context, base string) (Response, error)) (Response, bool, error) {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	base := "http://" + address
	if timeout == untilCommitted {
		go c.cancelIfUnresponsive(attemptCtx, base, cancel)
	} else {
		defer time.AfterFunc(timeout, cancel).Stop()
	}
	var connected atomic.Bool
	tracedCtx, release := site.WithConnectTimeout(attemptCtx, site.ConnectTimeout)
	defer release()
	tracedCtx = httptrace.WithClientTrace(tracedCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := call(tracedCtx, base)
	return response, connected.Load(), err
}

// cancelIfUnresponsive aborts an attempt at a member that stops answering other calls too.
func (c *Coordinator) cancelIfUnresponsive(ctx context.Context, base string, abort func()) {
	for retry.Pause(ctx, unresponsiveCheckInterval) {
		checkCtx, cancel := context.WithTimeout(ctx, unresponsiveCheckInterval)
		// A note without servers has no effect and is answered immediately.
		_, err := c.directoryAt(base).Note(checkCtx, &rockwindpb.NoteServersRequest{})
		cancel()
		if err != nil && !fault.IsFault(err) && ctx.Err() == nil {
			log.WithError(err).WithField("address", base).Warn("a member of the root group does not answer a change and is unresponsive")
			abort()
			return
		}
	}
}

// forwardedKey is the context key of calls that a coordinator forwarded.
type forwardedKey struct{}

// withForwardedHeader returns a context whose calls carry the forwarded header.
func withForwardedHeader(ctx context.Context) (context.Context, error) {
	return twirp.WithHTTPRequestHeaders(ctx, http.Header{forwardedHeader: {"1"}})
}

// markForwarded sets forwardedKey in the contexts of calls with the forwarded header.
func markForwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get(forwardedHeader) != "" {
			request = request.WithContext(context.WithValue(request.Context(), forwardedKey{}, true))
		}
		next.ServeHTTP(writer, request)
	})
}

// configurationAt returns a client of the configuration service at a base address.
func (c *Coordinator) configurationAt(base string) rockwindpb.ConfigurationService {
	return rockwindpb.NewConfigurationServiceProtobufClient(base, c.twirpClient())
}

// directoryAt returns a client of the directory service at a base address.
func (c *Coordinator) directoryAt(base string) rockwindpb.DirectoryService {
	return rockwindpb.NewDirectoryServiceProtobufClient(base, c.twirpClient())
}

// quarantineAt returns a client of the quarantine service at a base address.
func (c *Coordinator) quarantineAt(base string) rockwindpb.QuarantineService {
	return rockwindpb.NewQuarantineServiceProtobufClient(base, c.twirpClient())
}
