package store

import (
	"context"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/requestrate"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// requestRates counts the requests of the tenants whose shards this store leads. It implements
// rockwindpb.RequestRateService and is safe for concurrent use.
type requestRates struct {
	store     *Store
	tolerance requestrate.Tolerance
	origin    time.Time

	mutex sync.Mutex
	terms map[uint32]*ratesOfTerm
}

// ratesOfTerm holds the request limiter of one term of a shard.
type ratesOfTerm struct {
	term    uint64
	limiter *requestrate.Limiter
}

func newRequestRates(s *Store) *requestRates {
	tolerance := s.settings.GetRateTolerance()
	window := time.Duration(tolerance.GetWindowS() * float64(time.Second))
	return &requestRates{
		store: s, tolerance: requestrate.NewTolerance(window, tolerance.GetPart(), tolerance.GetRequests()),
		origin: time.Now(), terms: make(map[uint32]*ratesOfTerm),
	}
}

// Take implements rockwindpb.RequestRateService. Only a leader with a valid lease grants
// requests, so that a tenant is never counted by two stores at once.
func (r *requestRates) Take(_ context.Context, request *rockwindpb.TakeRequestsRequest) (*rockwindpb.TakeRequestsResponse, error) {
	shards := r.store.shards()
	if shards == 0 {
		return nil, fault.ToTwirp(clusterUnknown())
	}
	owner, err := r.store.shard(requestrate.OwnerOf(request.GetTenant(), shards))
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	term, leading := owner.group.Leading()
	if !leading {
		return nil, fault.ToTwirp(r.notLeading(owner))
	}
	decided := r.decide(owner.number, term, request)
	if err := sameTerm(owner.group, term); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.TakeRequestsResponse{
		Granted: decided.Granted(), RetryAfterMs: uint32(decided.RetryAfter().Milliseconds()), Remaining: decided.Remaining(),
		WaitMs: uint32((decided.Wait() + time.Millisecond - 1).Milliseconds()),
	}, nil
}

// notLeading returns an error that names the known leader.
func (r *requestRates) notLeading(owner shard) error {
	return fault.Newf(fault.NotLeader, "ask the leader", "this store does not lead shard %d", owner.number).
		WithRan(fault.NotRun).WithLeader(owner.group.Status().GetLeaderAddress())
}

func (r *requestRates) decide(shard uint32, term uint64, request *rockwindpb.TakeRequestsRequest) requestrate.Decision {
	limit := requestrate.NewLimit(request.GetRequestsPerSecond(), request.GetRequestBurst())
	take := requestrate.NewRequest(request.GetTenant(), limit, request.GetConfiguration()).
		FromRouter(request.GetRouter(), request.GetRouterStartedUnixMs(), request.GetQuestion()).
		WithReturned(request.GetReturned()).WithUnanswered(request.GetPassed(), request.GetWithheld()).WithRefused(request.GetRefused())
	if request.Remaining != nil {
		take = take.WithRemaining(request.GetRemaining(), time.Duration(request.GetRemainingAgeMs())*time.Millisecond)
	}
	take = take.WithMaxWait(time.Duration(request.GetWaitMs()) * time.Millisecond)
	if request.GetLate() {
		take = take.Late()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Since(r.origin)
	current := r.terms[shard]
	if current == nil || current.term != term {
		current = &ratesOfTerm{term: term, limiter: requestrate.NewLimiter(r.tolerance, now)}
		r.terms[shard] = current
	}
	return current.limiter.Take(take, now)
}
