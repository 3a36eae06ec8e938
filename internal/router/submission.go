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

// submit hands a batch job of a tenant to the stores, by the configuration of the given
// number. It is answered once enough copies are synced.
func (r *Router) submit(writer http.ResponseWriter, request *http.Request, route *rockwindpb.Route, tenant *rockwindpb.Tenant, body []byte, number uint64) {
	job, err := r.protocol.Job(request.Header, body)
	if err != nil {
		refuseFault(writer, err)
		return
	}
	job.Host, job.Path, job.Tenant = request.Host, request.URL.EscapedPath(), tenant.GetName()
	job.SubmittedUnixMs = time.Now().UnixMilli()
	if job.Digest, err = jobstore.Digest(job); err != nil {
		refuseFault(writer, err)
		return
	}
	limited := uint64(0)
	if route.GetMaximumWaitingTokens() > 0 {
		limited = number
	}
	began := time.Now()
	ctx, cancel := r.untilDeadline(request)
	defer cancel()
	err = r.jobs.Submit(ctx, job, limited)
	fields := log.Fields{"route": route.GetName(), "tenant": tenant.GetName(), "items": len(job.GetItems()), "bytes": len(body), "took_ms": time.Since(began).Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
		decision.Default.Record(decision.JobRefused, job.GetId(), fields)
		refuseFault(writer, r.withinReach(request.Header, err))
		return
	}
	decision.Default.Record(decision.JobTaken, job.GetId(), fields)
	writer.WriteHeader(http.StatusAccepted)
}

// answerMargin is how long before a client gives up its submission is answered, if that is said
// in its request: an answer takes some milliseconds of a busy router and of the way.
const answerMargin = 100 * time.Millisecond

// untilDeadline is the context of a submission, which ends before its client gives up: it may go
// to another router then.
func (r *Router) untilDeadline(request *http.Request) (context.Context, context.CancelFunc) {
	facts, err := r.protocol.Facts(request.Header)
	if err != nil || facts.Deadline <= answerMargin {
		return context.WithCancel(request.Context())
	}
	return context.WithTimeout(request.Context(), facts.Deadline-answerMargin)
}

// withinReach bounds the time to come back of a refusal by what the client has left.
func (r *Router) withinReach(header http.Header, err error) error {
	failure := fault.From(err)
	facts, _ := r.protocol.Facts(header)
	return failure.WithRetryAfter(boundReturn(failure.RetryAfter, facts.Deadline))
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
