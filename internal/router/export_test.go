package router

import (
	"context"
	"math/rand/v2"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/orphans"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// LoadSource returns the source of the loads that the dispatcher shares.
func (d *Dispatcher) LoadSource() loadshare.Source { return loadSource{d} }

// SetTrigger sets what has load digests sent soon, instead of ShareLoads.
func (d *Dispatcher) SetTrigger(trigger digestTrigger) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.trigger = trigger
}

// Seed makes the choices of the dispatcher repeatable.
func (d *Dispatcher) Seed(first, second uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.random = rand.New(rand.NewPCG(first, second))
}

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

// SetBatchProcesses sets the number of processes that start batch work.
func (d *Dispatcher) SetBatchProcesses(service string, processes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.poolOf(service).pool.SetBatchProcesses(processes)
}

// SetOrphaned replaces the numbers of orphaned requests that this process shares, by server.
func (d *Dispatcher) SetOrphaned(left map[string]int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.shares.SetOrphaned(left, false)
}

// MaxWait returns how long a request may wait for a server if its client, with the given total
// timeout, has some of it remaining.
func MaxWait(timeout, remaining time.Duration) time.Duration {
	e := &exchange{
		router: &Router{}, info: RequestInfo{Timeout: remaining}, totalTimeout: timeout, deadline: time.Now().Add(remaining),
	}
	return e.maxWait()
}

// SubmissionEnds returns the deadline for submitting a job to the stores, if there is one, for a
// client with the given timeout.
func SubmissionEnds(received time.Time, timeout time.Duration) (time.Time, bool) {
	submitted := &submission{info: RequestInfo{Timeout: timeout}, received: received}
	ctx, cancel := submitted.withDeadline(context.Background())
	defer cancel()
	return ctx.Deadline()
}

// NeededConfig returns the number of the configuration that a store must have to take a job of a route
// with the given limit and regions, from a router whose configuration has the number 9.
func NeededConfig(maxWaitingTokens uint64, regions ...string) uint64 {
	submitted := &submission{
		route: &rockwindpb.Route{MaximumWaitingTokens: maxWaitingTokens}, allowed: topology.NewRegionSet(regions), configNumber: 9,
	}
	return submitted.neededConfig()
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

// SurveyingProcesses lists the processes that query servers, and those that query the servers of
// their region.
var SurveyingProcesses = (*Dispatcher).surveyingProcesses

// BeginSurvey starts a survey of the given servers of the service "app".
func (d *Dispatcher) BeginSurvey(self string, processes []string, servers []orphans.Server) {
	services := make(map[string]string)
	for _, server := range servers {
		services[server.ID] = "app"
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.survey = &survey{Survey: orphans.New(d.origin.UnixMilli()), services: services}
	d.survey.MarkLate(d.now())
	d.survey.Start(self, processes, servers, d.now())
}

// UpdateSurvey updates the survey and returns the servers to query now.
func (d *Dispatcher) UpdateSurvey() (due []orphans.Server, over bool) { return d.updateSurvey() }

// AnswerSurvey adds the answer of a server to the survey.
func (d *Dispatcher) AnswerSurvey(id string, requests int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.survey.Answered(id, requests, d.liveLoad(id))
	d.shareOrphaned()
}

// QueueState is the state of a service's queue and of the limit of its starts.
type QueueState struct {
	Waiting, Timely, Orphaned int
	// Limited is set if the starts are limited as after a restart, and NoCredit if no request may start.
	Limited, NoCredit bool
}

// QueueState returns the state of a service's queue and of the limit of its starts.
func (d *Dispatcher) QueueState(service string) QueueState {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pool := d.poolOf(service)
	limit := pool.pool.StartLimit()
	return QueueState{
		Waiting: pool.waiting.Len(), Timely: pool.waiting.CountTimely(time.Now()), Orphaned: pool.pool.Orphaned(),
		Limited: limit.Active, NoCredit: limit.Requests <= limit.Inflight,
	}
}
