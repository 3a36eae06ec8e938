package store

import (
	"context"
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
	count  *quota.Count
	// limit is the one that the last request was decided by.
	limit uint64
}

// gauges lists the counts that this store owns now.
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

// grant decides on a request as the owner of the route's count, and returns the term of
// its ownership.
func (l *limiter) grant(ctx context.Context, request *rockwindpb.ReserveTokensRequest) (uint64, error) {
	shards := l.store.shards()
	if shards == 0 {
		return 0, notFounded()
	}
	owner, err := l.store.shard(quota.OwnerOf(account(request), shards))
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
	return term, l.decide(l.owned(account(request), term, shards), request, limit, index.Number())
}

// account names the count that a request is about.
func account(request interface {
	GetRoute() string
	GetTenant() string
}) string {
	return quota.Account(request.GetRoute(), request.GetTenant())
}

// limitOf is the limit of a route, zero where it has none.
func limitOf(index *configuration.Index, name string) uint64 {
	for _, route := range index.Routes() {
		if route.GetName() == name {
			return route.GetMaximumWaitingTokens()
		}
	}
	return 0
}

// owned returns the count of an account in a term. A count of an earlier term is dropped.
func (l *limiter) owned(route string, term uint64, shards int) *ownedCount {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := l.counts[route]
	if held == nil || held.term < term {
		held = &ownedCount{term: term, shards: shards, count: quota.NewCount(shards)}
		l.counts[route] = held
	}
	return held
}

// decide grants the tokens or refuses them. It asks the shards for reports first where
// those it has are old.
func (l *limiter) decide(owned *ownedCount, request *rockwindpb.ReserveTokensRequest, limit, number uint64) error {
	asked := quota.NewRequest(request.GetJob(), request.GetShard(), request.GetTokens())
	decided := l.try(owned, asked, limit, reportsFor)
	if decided != quota.Granted {
		l.round(&rockwindpb.ReportTokensRequest{
			Route: request.GetRoute(), Term: owned.term, Configuration: number, Tenant: request.GetTenant(),
		}, owned, decided)
		decided = l.try(owned, asked, limit, anyAge)
	}
	switch decided {
	case quota.Granted:
		return nil
	case quota.Full:
		return l.full(owned, request, asked, limit)
	}
	return fault.New(fault.Unavailable, "not all shards have told what waits there", "send the job again").WithRetryAfter(unknownReturn)
}

// try decides by the reports at hand; they may not be older than the given age.
func (l *limiter) try(owned *ownedCount, asked quota.Request, limit uint64, age time.Duration) quota.Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	owned.limit = limit
	if owned.count.Age(l.now()) > age {
		return quota.Unknown
	}
	return owned.count.Reserve(asked, limit)
}

// full is the refusal of a request, and its line in the log.
func (l *limiter) full(owned *ownedCount, request *rockwindpb.ReserveTokensRequest, asked quota.Request, limit uint64) error {
	l.mutex.Lock()
	now := l.now()
	waiting, age := owned.count.Waiting(), owned.count.Age(now)
	comeBack, rate := owned.count.ComeBack(asked, limit, now), owned.count.DrainRate(now)
	l.mutex.Unlock()
	decision.Default.Record(decision.TokensRefused, request.GetJob(), log.Fields{
		"route": request.GetRoute(), "tenant": request.GetTenant(), "limit": limit, "waiting": waiting, "tokens": request.GetTokens(), "reports_age_ms": age.Milliseconds(),
		"drain_per_s": int64(rate), "come_back_ms": comeBack.Milliseconds(), "term": owned.term,
	})
	return fault.Newf(fault.LimitReached, "come back after the time given, when some of it is done",
		"%d tokens wait on route %s, and %d more exceed its limit of %d", waiting, request.GetRoute(), request.GetTokens(), limit).
		WithRan(fault.NotRun).WithRetryAfter(comeBack)
}

// round asks all shards for reports. Requests that come meanwhile share it, and one that
// would refuse again by reports that are new enough does without.
func (l *limiter) round(question *rockwindpb.ReportTokensRequest, owned *ownedCount, decided quota.Decision) {
	_, _, _ = l.rounds.Do(account(question), func() (any, error) {
		l.mutex.Lock()
		now := l.now()
		if decided == quota.Full && owned.count.Age(now) < time.Duration(owned.shards)*refusalReports {
			l.mutex.Unlock()
			return nil, nil
		}
		poll := owned.count.Begin(now)
		l.mutex.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
		defer cancel()
		asking, ctx := errgroup.WithContext(ctx)
		for shard := range owned.shards {
			asking.Go(func() error {
				own := proto.CloneOf(question)
				own.Shard = uint32(shard)
				l.ask(ctx, owned, poll, own)
				return nil
			})
		}
		return nil, asking.Wait()
	})
}

// ask takes the report of one shard. Without an answer the one before holds.
func (l *limiter) ask(ctx context.Context, owned *ownedCount, poll quota.Poll, question *rockwindpb.ReportTokensRequest) {
	response, err := l.client.Report(ctx, question)
	if err != nil {
		log.WithError(err).WithField("route", question.GetRoute()).WithField("shard", question.GetShard()).Debug("a shard did not tell what waits there")
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	owned.count.Take(poll, question.GetShard(), quota.NewReport(response.GetWaiting(), response.GetAsking()), l.now())
}
