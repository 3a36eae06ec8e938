package store

import (
	"context"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/quota"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// admission is the pending admission of a job: its tokens are requested or granted, and its
// submission is not yet replicated.
type admission struct {
	limiter *limiter
	shard   uint32
	term    uint64
	ticket  quota.Ticket
}

// finish releases the admission after the job was proposed; err is the error of the proposal. A
// nil admission is valid.
func (a *admission) finish(err error) {
	if a == nil {
		return
	}
	a.limiter.mutex.Lock()
	defer a.limiter.mutex.Unlock()
	intake := a.limiter.intake(a.shard)
	if err != nil && fault.From(err).Ran == fault.RanUnknown {
		intake.MarkUncertain(a.ticket, a.term)
		return
	}
	intake.End(a.ticket)
}

// admit reserves the tokens of a job under the limit of its route. It returns nil if the route
// has no limit or the job exists already, and fault.LimitReached if the job does not fit.
func (l *limiter) admit(ctx context.Context, jobShard shard, submitted *rockwindpb.SubmitStoredJobRequest) (*admission, error) {
	job := submitted.GetJob()
	index, err := l.configuration(submitted.GetConfiguration())
	if err != nil {
		return nil, err
	}
	route, found := index.Route(job.GetHost(), job.GetPath())
	if !found || route.GetMaximumWaitingTokens() == 0 {
		return nil, nil
	}
	term, _ := jobShard.group.Leading()
	if exists, err := jobShard.hasJob(ctx, job.GetId()); exists || err != nil {
		return nil, err
	}
	request := &rockwindpb.ReserveTokensRequest{
		Route: route.GetName(), Job: job.GetId(), Shard: jobShard.number, Tokens: jobstore.TokensOf(job), Configuration: index.Number(),
		Tenant: job.GetTenant(),
	}
	admitted := l.begin(request, term)
	err = l.reserve(ctx, admitted, request)
	if err == nil {
		err = sameTerm(jobShard.group, term)
	}
	if err != nil {
		failure := fault.From(err).WithRan(fault.NotRun)
		admitted.finish(failure)
		return nil, failure
	}
	return admitted, nil
}

// hasJob reports whether the shard stores a job.
func (s shard) hasJob(ctx context.Context, job string) (exists bool, err error) {
	if err := s.group.Read(ctx, func() { exists = s.machine.Has(job) }); err != nil {
		return false, notRunUnlessUnknown(err)
	}
	return exists, nil
}

// begin registers an admission before its tokens are requested, in the current term of the
// shard.
func (l *limiter) begin(request *rockwindpb.ReserveTokensRequest, term uint64) *admission {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ticket := l.intake(request.GetShard()).Begin(accountOf(request), request.GetJob(), request.GetTokens())
	return &admission{limiter: l, shard: request.GetShard(), term: term, ticket: ticket}
}

// configuration returns the configuration in force. It fails if the caller used a newer one.
func (l *limiter) configuration(wanted uint64) (*configuration.Index, error) {
	index := l.store.watcher.Configuration()
	if index.Number() < wanted {
		return nil, fault.Newf(fault.Unavailable, "retry the call", "configuration %d is not yet in force on this store", wanted).WithRan(fault.NotRun)
	}
	return index, nil
}

// sameTerm fails if the shard is no longer led here in the given term.
func sameTerm(group replica.Group, term uint64) error {
	if now, leading := group.Leading(); !leading || now != term {
		return fault.New(fault.Unavailable, "the leader of the job's shard has changed", "send the job again")
	}
	return nil
}

// reserve requests the tokens from the owner of the route's count until the shard accepts a
// grant.
func (l *limiter) reserve(ctx context.Context, admitted *admission, request *rockwindpb.ReserveTokensRequest) error {
	for range maxReserveAttempts {
		response, err := l.client.Reserve(ctx, request)
		if err != nil {
			return unavailableUnlessFull(err)
		}
		l.mutex.Lock()
		accepted := l.intake(admitted.shard).Accept(admitted.ticket, response.GetTerm())
		l.mutex.Unlock()
		if accepted {
			return nil
		}
	}
	return fault.New(fault.Unavailable, "the owner of the route's limit has changed", "send the job again").WithRetryAfter(countUnknownRetryAfter)
}

// unavailableUnlessFull maps any error except fault.LimitReached to fault.Unavailable, since
// the job was not proposed.
func unavailableUnlessFull(err error) error {
	failure := fault.From(err)
	if failure.Kind == fault.LimitReached {
		return failure
	}
	return fault.Newf(fault.Unavailable, "send the job again", "the number of waiting tokens is unknown: %s", failure.Message).WithRetryAfter(countUnknownRetryAfter)
}

// report returns the waiting and pending tokens of a route on a shard. After that, the shard
// rejects grants of earlier owners.
func (l *limiter) report(ctx context.Context, request *rockwindpb.ReportTokensRequest) (quota.Report, error) {
	target, err := l.store.shard(request.GetShard())
	if err != nil {
		return quota.Report{}, err
	}
	index, err := l.configuration(request.GetConfiguration())
	if err != nil {
		return quota.Report{}, err
	}
	term, _ := target.group.Leading()
	l.mutex.Lock()
	intake := l.intake(request.GetShard())
	accepted := intake.Fence(accountOf(request), request.GetTerm())
	pending := intake.Pending(accountOf(request), term)
	l.mutex.Unlock()
	if !accepted {
		return quota.Report{}, fault.New(fault.Stale, "the shard has already reported to a newer owner of the count", "ask the newer owner").WithRan(fault.NotRun)
	}
	var report quota.Report
	err = target.group.Read(ctx, func() {
		accepted := target.machine.WaitingTokens(request.GetTenant(), func(host, path string) bool {
			route, found := index.Route(host, path)
			return found && route.GetName() == request.GetRoute()
		})
		report = pending.Report(accepted, target.machine.Has)
	})
	if err == nil {
		err = sameTerm(target.group, term)
	}
	return report, err
}
