package router

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// submission is a batch job of a client on its way to the stores.
type submission struct {
	router *Router
	route  *rockwindpb.Route
	tenant *rockwindpb.Tenant
	facts  RequestInfo
	// number is that of the configuration that has the route.
	number uint64
	// received is when the head of the request came; its client has waited since.
	received time.Time
}

// run hands the job to the stores, and answers once enough copies are synced.
func (s *submission) run(writer http.ResponseWriter, request *http.Request, body []byte) {
	job, err := s.job(request, body)
	if err != nil {
		refuseFault(writer, err)
		return
	}
	began := time.Now()
	ctx, cancel := s.untilDeadline(request.Context())
	defer cancel()
	err = s.router.jobs.Submit(ctx, job, s.limitedBy())
	s.record(job, len(body), time.Since(began), err)
	if err != nil {
		refuseFault(writer, s.withinReach(err))
		return
	}
	writer.WriteHeader(http.StatusAccepted)
}

// job is the job of a request, as the stores keep it.
func (s *submission) job(request *http.Request, body []byte) (*rockwindpb.StoredJob, error) {
	job, err := s.router.protocol.ParseJob(request.Header, body)
	if err != nil {
		return nil, err
	}
	job.Host, job.Path, job.Tenant = request.Host, request.URL.EscapedPath(), s.tenant.GetName()
	job.SubmittedUnixMs = time.Now().UnixMilli()
	job.Digest, err = jobstore.Digest(job)
	return job, err
}

// limitedBy is the number of the configuration whose limit the job has to fit, zero where its
// route has none.
func (s *submission) limitedBy() uint64 {
	if s.route.GetMaximumWaitingTokens() == 0 {
		return 0
	}
	return s.number
}

// record writes what became of the job.
func (s *submission) record(job *rockwindpb.StoredJob, bytes int, took time.Duration, err error) {
	fields := log.Fields{"route": s.route.GetName(), "tenant": s.tenant.GetName(), "items": len(job.GetItems()), "bytes": bytes, "took_ms": took.Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
		decision.Default.Record(decision.JobRefused, job.GetId(), fields)
		return
	}
	decision.Default.Record(decision.JobTaken, job.GetId(), fields)
}

// answerMargin is how long before a client gives up its submission is answered, if that is said
// in its request: an answer takes some milliseconds of a busy router and of the way.
const answerMargin = 100 * time.Millisecond

// untilDeadline is the context of the submission, which ends before its client gives up: it may
// go to another router then. The stores have answerMargin at least.
func (s *submission) untilDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.facts.Timeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, max(s.remaining(time.Now())-answerMargin, answerMargin))
}

// remaining is how long the client still waits, of which the body took a part, and next to nothing
// once it has given up; zero where it does not say.
func (s *submission) remaining(now time.Time) time.Duration {
	if s.facts.Timeout == 0 {
		return 0
	}
	return max(time.Nanosecond, s.facts.Timeout-now.Sub(s.received))
}

// withinReach bounds the time to come back of a refusal by what the client has left.
func (s *submission) withinReach(err error) error {
	failure := fault.From(err)
	return failure.WithRetryAfter(boundReturn(failure.RetryAfter, s.remaining(time.Now())))
}

// EndJob ends a job of a tenant: once it returns nothing more of it is begun.
func (r *Router) EndJob(ctx context.Context, id, tenant string) error {
	err := r.jobs.End(ctx, id, tenant)
	fields := log.Fields{"tenant": tenant}
	if err != nil {
		fields["error"] = err.Error()
	}
	decision.Default.Record(decision.JobEnded, id, fields)
	return err
}
