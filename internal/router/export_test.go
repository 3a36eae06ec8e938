package router

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/loadshare"
)

// LoadSource is what the dispatcher tells other processes, and takes from them.
func (d *Dispatcher) LoadSource() loadshare.Source { return loadSource{d} }

// RunSurvey has the servers of a directory asked as after a start.
var RunSurvey = (*Dispatcher).runSurvey

// QueueLen is how many requests wait for a service.
func (d *Dispatcher) QueueLen(service string) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.service(service).waiting.Len()
}

// Pace has the dispatcher be one of so many processes whose loads are so old.
func (d *Dispatcher) Pace(service string, processes int, viewAge time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.service(service).pool
	pool.SetOnlineProcesses(processes)
	pool.SetMaxLoadAge(viewAge)
}

// SubmissionEnds is when the stores' time for a job ends that was received at a time from a
// client that waits for so long, and whether it does.
func SubmissionEnds(received time.Time, deadline time.Duration) (time.Time, bool) {
	submitted := &submission{facts: RequestInfo{Timeout: deadline}, received: received}
	ctx, cancel := submitted.untilDeadline(context.Background())
	defer cancel()
	return ctx.Deadline()
}

// AnswerMargin is the least time that stores have for a job.
const AnswerMargin = answerMargin

// SubmissionComesBack is when a client is told to come back whose job was received at a time and
// is refused with the given time to come back.
func SubmissionComesBack(received time.Time, deadline, told time.Duration) time.Duration {
	submitted := &submission{facts: RequestInfo{Timeout: deadline}, received: received}
	refusal := fault.New(fault.Unavailable, "no store", "come back").WithRetryAfter(told)
	return fault.From(submitted.withinReach(refusal)).RetryAfter
}
