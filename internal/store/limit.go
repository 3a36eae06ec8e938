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
	"rockwind.example/rockwind/internal/site"
)

const (
	// maxReportAge is how long an owner grants tokens by one set of reports. Older reports are
	// still upper bounds, but miss tokens that have been freed since.
	maxReportAge = time.Second
	// refusalReportAgePerShard times the number of shards is the maximum age of the reports for
	// a refusal. It limits the cost of reports under a flood of refused requests.
	refusalReportAgePerShard = 20 * time.Millisecond
	// pollTimeout limits one poll of all shards.
	pollTimeout = 400 * time.Millisecond
	// maxReserveAttempts is how often a job's tokens are requested while the owner changes.
	maxReserveAttempts = 3
	// anyAge accepts reports of any age.
	anyAge = time.Duration(math.MaxInt64)
	// countUnknownRetryAfter is the retry delay sent to clients while an owner does not know
	// the count.
	countUnknownRetryAfter = 300 * time.Millisecond
)

// limiter enforces the limits of routes on waiting tokens. As the leader of shards it requests
// the tokens of jobs, and as the owner of counts it grants them. Its methods are safe for
// concurrent use.
type limiter struct {
	store  *Store
	client *jobclient.Client
	origin time.Time
	polls  singleflight.Group

	mutex   sync.Mutex
	intakes map[uint32]*quota.Intake
	counts  map[string]*ownedCount
}

func newLimiter(s *Store) *limiter {
	client := jobclient.New(s.watcher, s.client)
	client.PreferNear(s.settings.GetZone(), site.Topology(s.settings))
	return &limiter{
		store:   s,
		client:  client,
		origin:  time.Now(),
		intakes: make(map[uint32]*quota.Intake),
		counts:  make(map[string]*ownedCount),
	}
}

func (l *limiter) now() time.Duration { return time.Since(l.origin) }

// intake returns the intake of a shard. The caller holds the mutex.
func (l *limiter) intake(shard uint32) *quota.Intake {
	found, known := l.intakes[shard]
	if !known {
		found = quota.NewIntake()
		l.intakes[shard] = found
	}
	return found
}

// tokenLimitService serves requests for the counts that this store owns and for the shards that
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
	return &rockwindpb.ReportTokensResponse{Waiting: report.Waiting(), Asking: report.PendingJobs()}, nil
}
