package router

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobclient"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// submission is the request of a client that submits a batch job.
type submission struct {
	router *Router
	route  *rockwindpb.Route
	tenant *rockwindpb.Tenant
	info   RequestInfo
	// configNumber is the number of the configuration that has the route.
	configNumber uint64
	// allowed are the regions in which the job may be stored.
	allowed topology.RegionSet
	// received is when the head of the request arrived.
	received time.Time
}

// run submits the job to the stores and responds once enough replicas are synced.
func (s *submission) run(writer http.ResponseWriter, request *http.Request, body []byte) {
	job, err := s.job(request, body)
	if err != nil {
		writeError(writer, err)
		return
	}
	began := time.Now()
	ctx, cancel := s.withDeadline(request.Context())
	defer cancel()
	err = s.router.jobs.SubmitWithin(ctx, job, s.neededConfig(), s.allowed)
	s.record(job, len(body), time.Since(began), err)
	if err != nil {
		writeError(writer, s.withBoundedRetryAfter(err))
		return
	}
	writer.WriteHeader(http.StatusAccepted)
}

// useRegions makes the client of the stores look for jobs by the regions of the current configuration.
func (r *Router) useRegions() {
	r.jobs.UseRegions(func(tenant string) []topology.RegionSet {
		return batchRegions(r.watcher.Configuration(), tenant)
	})
	r.jobs.UseRegionHistory(jobclient.RegionHistory{
		OfJob: func(host, path, tenant string) []topology.RegionSet {
			r.regionHistory.observe(r.watcher.Configuration())
			return r.regionHistory.of(host, path, tenant)
		},
		OfTenant: func(tenant string) []topology.RegionSet {
			r.regionHistory.observe(r.watcher.Configuration())
			return r.regionHistory.ofTenant(tenant)
		},
	})
}

// batchRegions returns the regions to which a configuration restricts the jobs of a tenant, for each
// route that accepts jobs.
func batchRegions(index *configuration.Index, name string) []topology.RegionSet {
	tenant, _ := index.Tenant(name)
	var regions []topology.RegionSet
	for _, route := range index.Routes() {
		if route.GetKind() == rockwindpb.RouteKind_ROUTE_KIND_BATCH {
			regions = append(regions, index.AllowedRegions(route, tenant))
		}
	}
	return regions
}

// job returns the job of a request in the form that the stores keep.
func (s *submission) job(request *http.Request, body []byte) (*rockwindpb.StoredJob, error) {
	job, err := s.router.protocol.ParseJob(request.Header, body)
	if err != nil {
		return nil, err
	}
	for _, item := range job.GetItems() {
		if err := CheckItem(item); err != nil {
			return nil, err
		}
	}
	job.Host, job.Path, job.Tenant = request.Host, request.URL.EscapedPath(), s.tenant.GetName()
	job.SubmittedUnixMs, job.Configuration = time.Now().UnixMilli(), s.configNumber
	job.Digest, err = jobstore.Digest(job)
	return job, err
}

// neededConfig returns the number of the configuration that a store must have to take the job, or zero
// if any will do. A limit of waiting tokens applies by that configuration, and a store with an earlier
// one would start the items of a restricted job in other regions.
func (s *submission) neededConfig() uint64 {
	if s.route.GetMaximumWaitingTokens() == 0 && !s.allowed.Restricted() {
		return 0
	}
	return s.configNumber
}

// record records the outcome of the submission.
func (s *submission) record(job *rockwindpb.StoredJob, bytes int, took time.Duration, err error) {
	fields := log.Fields{"route": s.route.GetName(), "tenant": s.tenant.GetName(), "items": len(job.GetItems()), "bytes": bytes, "took_ms": took.Milliseconds()}
	if s.allowed.Restricted() {
		fields["regions"] = s.allowed.Names()
	}
	if err != nil {
		fields["error"] = err.Error()
		decision.Default.Record(decision.JobRefused, job.GetId(), fields)
		return
	}
	decision.Default.Record(decision.JobTaken, job.GetId(), fields)
}

// answerMargin is how long before the client's timeout a submission is answered, to leave time
// for the response.
const answerMargin = 100 * time.Millisecond

// withDeadline returns a context that ends before the client gives up, because the client may
// then go to another router. The stores have at least answerMargin.
func (s *submission) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.info.Timeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, max(s.remaining(time.Now())-answerMargin, answerMargin))
}

// remaining returns how long the client still waits. It is positive even after the timeout, and
// zero if the client gave none.
func (s *submission) remaining(now time.Time) time.Duration {
	if s.info.Timeout == 0 {
		return 0
	}
	return max(time.Nanosecond, s.info.Timeout-now.Sub(s.received))
}

// withBoundedRetryAfter bounds the Retry-After of a refusal by the time that the client has left.
func (s *submission) withBoundedRetryAfter(err error) error {
	failure := fault.From(err)
	return failure.WithRetryAfter(boundRetryAfter(failure.RetryAfter, s.remaining(time.Now())))
}

// EndJob ends a job of a tenant. Once it returns, no more items of the job are started.
func (r *Router) EndJob(ctx context.Context, id, tenant string) error {
	err := r.jobs.End(ctx, id, tenant)
	fields := log.Fields{"tenant": tenant}
	if err != nil {
		fields["error"] = err.Error()
	}
	decision.Default.Record(decision.JobEnded, id, fields)
	return err
}
