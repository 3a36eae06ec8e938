package store

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobclient"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/quota"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sitemetrics"
)

const (
	// reportsFor is how long an owner decides by the reports of one round. They are an
	// upper bound for longer; what has drained since is not seen.
	reportsFor = time.Second
	// refusalReports times the number of shards is how old the reports may be by which a
	// request is refused, so that a second of refusals costs a bounded number of reports.
	refusalReports = 20 * time.Millisecond
	// roundTimeout bounds a round of reports.
	roundTimeout = 400 * time.Millisecond
	// reserveTries is how often the tokens of a job are asked for where owners change.
	reserveTries = 3
	// anyAge lets reports decide however old they are.
	anyAge = time.Duration(math.MaxInt64)
	// unknownReturn is the time to come back that is told while an owner does not know
	// the count.
	unknownReturn = 300 * time.Millisecond
)

// limiter keeps the limits of routes on waiting tokens: as the leader of shards it asks
// for the tokens of jobs, and as the owner of counts it grants them. Its methods may be
// called by any goroutine.
type limiter struct {
	store  *Store
	client *jobclient.Client
	origin time.Time
	rounds singleflight.Group

	mutex   sync.Mutex
	intakes map[uint32]*quota.Intake
	counts  map[string]*ownedCount
}

// ownedCount is the count of a route in one term of its owner.
type ownedCount struct {
	term   uint64
	shards int
	count  *quota.Count
	// limit is the one that the last request was decided by.
	limit uint64
}

func newLimiter(s *Store) *limiter {
	return &limiter{
		store:   s,
		client:  jobclient.New(s.watcher, s.client),
		origin:  time.Now(),
		intakes: make(map[uint32]*quota.Intake),
		counts:  make(map[string]*ownedCount),
	}
}

func (l *limiter) now() time.Duration { return time.Since(l.origin) }

// intake returns the intake of a shard. The mutex is held.
func (l *limiter) intake(shard uint32) *quota.Intake {
	found, known := l.intakes[shard]
	if !known {
		found = quota.NewIntake()
		l.intakes[shard] = found
	}
	return found
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

// admission is a job between the owner's grant and its place in the log.
type admission struct {
	limiter *limiter
	shard   uint32
	term    uint64
	ticket  quota.Ticket
}

// end tells what became of the job's proposal. A nil admission has nothing to end.
func (a *admission) end(err error) {
	if a == nil {
		return
	}
	a.limiter.mutex.Lock()
	defer a.limiter.mutex.Unlock()
	intake := a.limiter.intake(a.shard)
	if err != nil && fault.From(err).Ran == fault.RanUnknown {
		intake.Doubt(a.ticket, a.term)
		return
	}
	intake.End(a.ticket)
}

// admit gets room for a job below the limit of its route. It returns nil where the route
// has none, or where the job was taken before. It fails with fault.LimitReached where the
// job does not fit.
func (l *limiter) admit(ctx context.Context, keeper shard, submitted *rockwindpb.SubmitStoredJobRequest) (*admission, error) {
	job := submitted.GetJob()
	index, err := l.configuration(submitted.GetConfiguration())
	if err != nil {
		return nil, err
	}
	route, found := index.Route(job.GetHost(), job.GetPath())
	if !found || route.GetMaximumWaitingTokens() == 0 {
		return nil, nil
	}
	term, _ := keeper.group.Leading()
	taken := false
	if err := keeper.group.Read(ctx, func() { taken = keeper.machine.Has(job.GetId()) }); err != nil {
		return nil, notRunUnlessUnknown(err)
	}
	if taken {
		return nil, nil
	}
	admitted := &admission{limiter: l, shard: keeper.number, term: term}
	request := &rockwindpb.ReserveTokensRequest{
		Route: route.GetName(), Job: job.GetId(), Shard: keeper.number, Tokens: jobstore.TokensOf(job), Configuration: index.Number(),
	}
	l.mutex.Lock()
	admitted.ticket = l.intake(keeper.number).Begin(request.GetRoute(), request.GetJob(), request.GetTokens())
	l.mutex.Unlock()
	err = l.reserve(ctx, admitted, request)
	if err == nil {
		err = sameTerm(keeper.group, term)
	}
	if err != nil {
		failure := fault.From(err).WithRan(fault.NotRun)
		admitted.end(failure)
		return nil, failure
	}
	return admitted, nil
}

// configuration returns the one in force here. It fails where the caller decided by a
// newer one, which is on its way.
func (l *limiter) configuration(wanted uint64) (*configuration.Index, error) {
	index := l.store.watcher.Configuration()
	if index.Number() < wanted {
		return nil, fault.Newf(fault.Unavailable, "send the call again", "configuration %d is not in force at this store yet", wanted).WithRan(fault.NotRun)
	}
	return index, nil
}

// sameTerm fails where the shard is not led in a term any more.
func sameTerm(group replica.Group, term uint64) error {
	if now, leading := group.Leading(); !leading || now != term {
		return fault.New(fault.Unavailable, "the leader of the job's shard has changed", "send the job again")
	}
	return nil
}

// reserve asks the owner for the tokens until its grant is taken.
func (l *limiter) reserve(ctx context.Context, admitted *admission, request *rockwindpb.ReserveTokensRequest) error {
	for range reserveTries {
		response, err := l.client.Reserve(ctx, request)
		if err != nil {
			return unlessFull(err)
		}
		l.mutex.Lock()
		accepted := l.intake(admitted.shard).Accept(admitted.ticket, response.GetTerm())
		l.mutex.Unlock()
		if accepted {
			return nil
		}
	}
	return fault.New(fault.Unavailable, "the owner of the route's limit changes", "send the job again").WithRetryAfter(unknownReturn)
}

// unlessFull makes a failure to learn the count an unavailability: nothing of the job
// was proposed.
func unlessFull(err error) error {
	failure := fault.From(err)
	if failure.Kind == fault.LimitReached {
		return failure
	}
	return fault.Newf(fault.Unavailable, "send the job again", "the count of waiting tokens is not known: %s", failure.Message).WithRetryAfter(unknownReturn)
}

// tokenLimitService answers for the counts that this store owns and for the shards that
// it leads.
type tokenLimitService struct{ limiter *limiter }

// Reserve implements rockwindpb.TokenLimitService.
func (s tokenLimitService) Reserve(ctx context.Context, request *rockwindpb.ReserveTokensRequest) (*rockwindpb.ReserveTokensResponse, error) {
	term, err := s.limiter.grant(ctx, request)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.ReserveTokensResponse{Term: term}, nil
}

// Report implements rockwindpb.TokenLimitService.
func (s tokenLimitService) Report(ctx context.Context, request *rockwindpb.ReportTokensRequest) (*rockwindpb.ReportTokensResponse, error) {
	report, err := s.limiter.report(ctx, request)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.ReportTokensResponse{Waiting: report.Waiting(), Asking: report.Asking()}, nil
}

// report tells the tokens of a route that wait on a shard. From then on the shard takes
// no grant of an earlier owner.
func (l *limiter) report(ctx context.Context, request *rockwindpb.ReportTokensRequest) (quota.Report, error) {
	asked, err := l.store.shard(request.GetShard())
	if err != nil {
		return quota.Report{}, err
	}
	index, err := l.configuration(request.GetConfiguration())
	if err != nil {
		return quota.Report{}, err
	}
	term, _ := asked.group.Leading()
	l.mutex.Lock()
	intake := l.intake(request.GetShard())
	heeded := intake.Fence(request.GetRoute(), request.GetTerm())
	pending := intake.Pending(request.GetRoute(), term)
	l.mutex.Unlock()
	if !heeded {
		return quota.Report{}, fault.New(fault.Stale, "the shard has reported to a later owner of the count", "ask that one").WithRan(fault.NotRun)
	}
	var report quota.Report
	err = asked.group.Read(ctx, func() {
		accepted := asked.machine.WaitingTokens(func(host, path string) bool {
			route, found := index.Route(host, path)
			return found && route.GetName() == request.GetRoute()
		})
		report = pending.Report(accepted, asked.machine.Has)
	})
	if err == nil {
		err = sameTerm(asked.group, term)
	}
	return report, err
}

// grant decides on a request as the owner of the route's count, and returns the term of
// its ownership.
func (l *limiter) grant(ctx context.Context, request *rockwindpb.ReserveTokensRequest) (uint64, error) {
	shards := l.store.shards()
	if shards == 0 {
		return 0, notFounded()
	}
	owner, err := l.store.shard(quota.OwnerOf(request.GetRoute(), shards))
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
	return term, l.decide(l.owned(request.GetRoute(), term, shards), request, limit, index.Number())
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

// owned returns the count of a route in a term. A count of an earlier term is dropped.
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
		l.round(&rockwindpb.ReportTokensRequest{Route: request.GetRoute(), Term: owned.term, Configuration: number}, owned, decided)
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
		"route": request.GetRoute(), "limit": limit, "waiting": waiting, "tokens": request.GetTokens(), "reports_age_ms": age.Milliseconds(),
		"drain_per_s": int64(rate), "come_back_ms": comeBack.Milliseconds(), "term": owned.term,
	})
	return fault.Newf(fault.LimitReached, "come back after the time given, when some of it is done",
		"%d tokens wait on route %s, and %d more exceed its limit of %d", waiting, request.GetRoute(), request.GetTokens(), limit).
		WithRan(fault.NotRun).WithRetryAfter(comeBack)
}

// round asks all shards for reports. Requests that come meanwhile share it, and one that
// would refuse again by reports that are new enough does without.
func (l *limiter) round(question *rockwindpb.ReportTokensRequest, owned *ownedCount, decided quota.Decision) {
	_, _, _ = l.rounds.Do(question.GetRoute(), func() (any, error) {
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
