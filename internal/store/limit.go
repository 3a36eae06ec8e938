package store

import (
	"context"
	"math"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobclient"
	"rockwind.example/rockwind/internal/quota"
	"rockwind.example/rockwind/internal/rockwindpb"
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
