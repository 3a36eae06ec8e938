package router

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/loadshare"
)

// LoadSource returns the source of the loads that the dispatcher shares.
func (d *Dispatcher) LoadSource() loadshare.Source { return loadSource{d} }

// RunSurvey surveys the servers of a directory as after a start.
var RunSurvey = (*Dispatcher).runSurvey

// QueueLen returns how many requests wait for a service.
func (d *Dispatcher) QueueLen(service string) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.poolOf(service).waiting.Len()
}

// SetProcesses sets the number of online processes and the age of their shared loads.
func (d *Dispatcher) SetProcesses(service string, processes int, maxLoadAge time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.poolOf(service).pool
	pool.SetOnlineProcesses(processes)
	pool.SetMaxLoadAge(maxLoadAge)
}

// SubmissionEnds returns the deadline for submitting a job to the stores, if there is one, for a
// client with the given timeout.
func SubmissionEnds(received time.Time, timeout time.Duration) (time.Time, bool) {
	submitted := &submission{info: RequestInfo{Timeout: timeout}, received: received}
	ctx, cancel := submitted.withDeadline(context.Background())
	defer cancel()
	return ctx.Deadline()
}

// AnswerMargin is the least time that the stores have for a submission.
const AnswerMargin = answerMargin

// SubmissionRetryAfter returns the Retry-After of a refused submission whose refusal had the
// given one.
func SubmissionRetryAfter(received time.Time, timeout, refusalRetryAfter time.Duration) time.Duration {
	submitted := &submission{info: RequestInfo{Timeout: timeout}, received: received}
	refusal := fault.New(fault.Unavailable, "no store", "come back").WithRetryAfter(refusalRetryAfter)
	return fault.From(submitted.withBoundedRetryAfter(refusal)).RetryAfter
}
