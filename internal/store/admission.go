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
	if taken, err := keeper.has(ctx, job.GetId()); taken || err != nil {
		return nil, err
	}
	request := &rockwindpb.ReserveTokensRequest{
		Route: route.GetName(), Job: job.GetId(), Shard: keeper.number, Tokens: jobstore.TokensOf(job), Configuration: index.Number(),
		Tenant: job.GetTenant(),
	}
	admitted := l.begin(request, term)
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

// has tells whether the shard has taken a job.
func (s shard) has(ctx context.Context, job string) (taken bool, err error) {
	if err := s.group.Read(ctx, func() { taken = s.machine.Has(job) }); err != nil {
		return false, notRunUnlessUnknown(err)
	}
	return taken, nil
}

// begin notes a job that is about to ask for its tokens, in the term in which its shard is led.
func (l *limiter) begin(request *rockwindpb.ReserveTokensRequest, term uint64) *admission {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ticket := l.intake(request.GetShard()).Begin(account(request), request.GetJob(), request.GetTokens())
	return &admission{limiter: l, shard: request.GetShard(), term: term, ticket: ticket}
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
	heeded := intake.Fence(account(request), request.GetTerm())
	pending := intake.Pending(account(request), term)
	l.mutex.Unlock()
	if !heeded {
		return quota.Report{}, fault.New(fault.Stale, "the shard has reported to a later owner of the count", "ask that one").WithRan(fault.NotRun)
	}
	var report quota.Report
	err = asked.group.Read(ctx, func() {
		accepted := asked.machine.WaitingTokens(request.GetTenant(), func(host, path string) bool {
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
