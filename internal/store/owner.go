package store

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/quota"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sitemetrics"
)

// ownedCount is the count of a route in one term of its owner.
type ownedCount struct {
	term   uint64
	shards int
	count  *quota.Counter
	// limit is the limit used by the latest request.
	limit uint64
}

// gauges returns the counts that this store owns.
func (l *limiter) gauges() []sitemetrics.Limit {
	shards := l.store.shards()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []sitemetrics.Limit
	for route, owned := range l.counts {
		group, running := l.store.host.Group(quota.OwnerOf(route, shards))
		if !running {
			continue
		}
		if term, leading := group.Leading(); leading && term == owned.term {
			found = append(found, sitemetrics.NewLimit(route, owned.limit, owned.count.Waiting()))
		}
	}
	return found
}

// grant decides on a request as the owner of the route's count, and returns the owner's term.
func (l *limiter) grant(ctx context.Context, request *rockwindpb.ReserveTokensRequest) (uint64, error) {
	shards := l.store.shards()
	if shards == 0 {
		return 0, clusterUnknown()
	}
	owner, err := l.store.shard(quota.OwnerOf(accountOf(request), shards))
	if err != nil {
		return 0, err
	}
	index, err := l.configuration(request.GetConfiguration())
	if err != nil {
		return 0, err
	}
	term, _ := owner.group.Leading()
	if err := owner.group.Read(ctx, func() {}); err != nil {
		return 0, notRunUnlessUnknown(err)
	}
	if err := sameTerm(owner.group, term); err != nil {
		return 0, err
	}
	limit := limitOf(index, request.GetRoute())
	if limit == 0 {
		return term, nil
	}
	// Jobs wait in the regional shards as well.
	all := l.store.watcher.Directory().AllShards()
	return term, l.decide(l.countOf(accountOf(request), term, all), request, limit, index.Number())
}

// accountOf returns the name of the count that a request refers to.
func accountOf(request interface {
	GetRoute() string
	GetTenant() string
}) string {
	return quota.AccountKey(request.GetRoute(), request.GetTenant())
}

// limitOf returns the limit of a route, or zero.
func limitOf(index *configuration.Index, name string) uint64 {
	for _, route := range index.Routes() {
		if route.GetName() == name {
			return route.GetMaximumWaitingTokens()
		}
	}
	return 0
}

// countOf returns the count of an account over a number of shards in a term. It replaces the count of an earlier term.
func (l *limiter) countOf(account string, term uint64, shards int) *ownedCount {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	current := l.counts[account]
	if current == nil || current.term < term {
		current = &ownedCount{term: term, shards: shards, count: quota.NewCounter(shards)}
		l.counts[account] = current
	}
	return current
}

// decide grants or refuses the tokens. Unless recent reports allow a grant, it polls the shards
// first.
func (l *limiter) decide(owned *ownedCount, request *rockwindpb.ReserveTokensRequest, limit, number uint64) error {
	reservation := quota.NewRequest(request.GetJob(), request.GetShard(), request.GetTokens())
	decided := l.tryReserve(owned, reservation, limit, maxReportAge)
	if decided != quota.Granted {
		l.pollShards(&rockwindpb.ReportTokensRequest{
			Route: request.GetRoute(), Term: owned.term, Configuration: number, Tenant: request.GetTenant(),
		}, owned, decided)
		decided = l.tryReserve(owned, reservation, limit, anyAge)
	}
	switch decided {
	case quota.Granted:
		return nil
	case quota.Full:
		return l.refuse(owned, request, reservation, limit)
	}
	return fault.New(fault.Unavailable, "not all shards have reported their waiting tokens", "send the job again").WithRetryAfter(countUnknownRetryAfter)
}

// tryReserve decides by reports that are not older than the given age.
func (l *limiter) tryReserve(owned *ownedCount, reservation quota.Request, limit uint64, age time.Duration) quota.Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	owned.limit = limit
	if owned.count.PollAge(l.now()) > age {
		return quota.Unknown
	}
	return owned.count.Reserve(reservation, limit)
}

// refuse logs the refusal of a request and returns its error.
func (l *limiter) refuse(owned *ownedCount, request *rockwindpb.ReserveTokensRequest, reservation quota.Request, limit uint64) error {
	l.mutex.Lock()
	now := l.now()
	waiting, age := owned.count.Waiting(), owned.count.PollAge(now)
	retryAfter, rate := owned.count.RetryAfter(reservation, limit, now), owned.count.DrainRate(now)
	l.mutex.Unlock()
	decision.Default.Record(decision.TokensRefused, request.GetJob(), log.Fields{
		"route": request.GetRoute(), "tenant": request.GetTenant(), "limit": limit, "waiting": waiting, "tokens": request.GetTokens(), "reports_age_ms": age.Milliseconds(),
		"drain_per_s": int64(rate), "come_back_ms": retryAfter.Milliseconds(), "term": owned.term,
	})
	return fault.Newf(fault.LimitReached, "retry after the given time",
		"%d tokens are waiting on route %s; %d more exceed its limit of %d", waiting, request.GetRoute(), request.GetTokens(), limit).
		WithRan(fault.NotRun).WithRetryAfter(retryAfter)
}

// pollShards requests reports from all shards. Concurrent calls share one poll, and a refusal
// by recent reports needs none.
func (l *limiter) pollShards(query *rockwindpb.ReportTokensRequest, owned *ownedCount, decided quota.Decision) {
	_, _, _ = l.polls.Do(accountOf(query), func() (any, error) {
		l.mutex.Lock()
		now := l.now()
		if decided == quota.Full && owned.count.PollAge(now) < time.Duration(owned.shards)*refusalReportAgePerShard {
			l.mutex.Unlock()
			return nil, nil
		}
		poll := owned.count.BeginPoll(now)
		l.mutex.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		group, ctx := errgroup.WithContext(ctx)
		for shard := range owned.shards {
			group.Go(func() error {
				request := proto.CloneOf(query)
				request.Shard = uint32(shard)
				l.pollShard(ctx, owned, poll, request)
				return nil
			})
		}
		return nil, group.Wait()
	})
}

// regionIsGone reports whether a shard is that of a region of which the directory lists no store. No
// item of such a shard can run.
func (l *limiter) regionIsGone(shard uint32) bool {
	region := l.store.watcher.Directory().ShardRegion(shard)
	return region != "" && !slices.ContainsFunc(l.store.watcher.Stores(), func(store *rockwindpb.Machine) bool {
		return l.store.regions.Region(store.GetZone()) == region
	})
}

// pollShard requests the report of one shard. On failure the previous report stays in use.
func (l *limiter) pollShard(ctx context.Context, owned *ownedCount, poll quota.Poll, query *rockwindpb.ReportTokensRequest) {
	response, err := l.client.Report(ctx, query)
	if err != nil && l.regionIsGone(query.GetShard()) {
		// Otherwise the loss of a region would block the limited routes of all others.
		response, err = &rockwindpb.ReportTokensResponse{}, nil
	}
	if err != nil {
		log.WithError(err).WithField("route", query.GetRoute()).WithField("shard", query.GetShard()).Debug("shard did not report its waiting tokens")
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	owned.count.RecordReport(poll, query.GetShard(), quota.NewReport(response.GetWaiting(), response.GetAsking()), l.now())
}
