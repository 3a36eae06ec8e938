package store

import (
	"context"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/store/claims"
)

// pendingResult is a result on its way to the log, with the claim that it ends.
type pendingResult struct {
	claim  claims.Claim
	result *rockwindpb.StoredResult
}

// recordEnd writes what became of a try, nil where none was begun. Ordinary ends are sampled by
// job.
func recordEnd(end itemEnd, try *activeTry, term uint64) {
	kind := decision.ItemRecorded
	switch {
	case end.outcome == rockwindpb.StoredOutcome_STORED_OUTCOME_UNSPECIFIED:
		kind = decision.ItemReturned
	case end.outcome == rockwindpb.StoredOutcome_STORED_OUTCOME_DONE && !decision.Sampled(end.claim.Key().Job()):
		decision.Default.Skip(kind)
		return
	}
	fields := log.Fields{
		"item": end.claim.Key().Index(), "item_id": end.item, "outcome": outcomeName(end.outcome), "failures": end.history.failures,
		"reason": end.reason, "server": end.server, "term": term, "events": end.history.made(),
	}
	if try != nil {
		fields["tenant"], fields["age_ms"] = try.tenant, time.Since(try.submitted).Milliseconds()
	}
	if kind == decision.ItemReturned {
		fields["content"] = end.content.String()
	}
	decision.Default.Record(kind, end.claim.Key().Job(), fields)
}

func outcomeName(outcome rockwindpb.StoredOutcome) string {
	switch outcome {
	case rockwindpb.StoredOutcome_STORED_OUTCOME_DONE:
		return "done"
	case rockwindpb.StoredOutcome_STORED_OUTCOME_DEAD:
		return "dead"
	}
	return "returned"
}

// gather takes further ends for a short while, so that they are recorded together.
func (e *executor) gather(ctx context.Context) {
	retry.Pause(ctx, recordLinger)
	for {
		select {
		case end := <-e.ended:
			e.finish(end)
		default:
			return
		}
	}
}

// record hands the results that wait to the log. Results that fail to be recorded
// are dropped with the leadership; their items run again.
func (e *executor) record(ctx context.Context) {
	results := e.results
	e.results = nil
	for job, list := range results {
		go e.recordJob(ctx, job, list)
	}
	failures := e.failures
	e.failures = nil
	for _, claim := range failures {
		go e.recordFailure(ctx, claim)
	}
}

// recordFailure counts a failed try in the log and then ends its claim, so that the item is
// tried again by a leader that knows of the failure.
func (e *executor) recordFailure(parent context.Context, claim claims.Claim) {
	ctx, cancel := context.WithTimeout(parent, recordTimeout)
	defer cancel()
	key := claim.Key()
	failure := &rockwindpb.RecordFailure{Job: key.Job(), Item: key.Index()}
	_, err := propose(ctx, e.group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Failure{Failure: failure}})
	if err != nil {
		log.WithError(err).WithField("job", key.Job()).WithField("item", key.Index()).Warn("a failed try was not counted")
	}
	select {
	case e.ended <- itemEnd{claim: claim, history: &history{}, recorded: true}:
	case <-parent.Done():
	}
}

// recordJob records results of one job and then ends their claims. Where that
// fails, the items run again.
func (e *executor) recordJob(parent context.Context, job string, list []pendingResult) {
	ctx, cancel := context.WithTimeout(parent, recordTimeout)
	defer cancel()
	command := &rockwindpb.RecordResults{Job: job}
	for _, each := range list {
		command.Results = append(command.Results, each.result)
	}
	_, err := propose(ctx, e.group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Record{Record: command}})
	if err != nil {
		log.WithError(err).WithField("job", job).WithField("results", len(list)).Warn("results were not recorded")
	}
	for _, each := range list {
		select {
		case e.ended <- itemEnd{claim: each.claim, recorded: err == nil, history: &history{}, reason: unrecordedReason}:
		case <-parent.Done():
		}
	}
}

const unrecordedReason = "its result was not recorded"

// dropExpired drops jobs past their retention.
func (e *executor) dropExpired(ctx context.Context) {
	now := time.Now()
	if now.Sub(e.dropped) < dropInterval {
		return
	}
	e.dropped = now
	retention := defaultRetention
	if given := e.store.settings.GetResultRetentionS(); given > 0 {
		retention = time.Duration(given*float64(time.Second)) + retentionMargin
	}
	var expired []string
	_ = e.group.ReadLocal(ctx, func() { expired = e.machine.Expired(now.Add(-retention).UnixMilli()) })
	if len(expired) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		_, _ = propose(ctx, e.group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Drop{Drop: &rockwindpb.DropJobs{Ids: expired}}})
	}()
}
