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

// pendingResult is a result that is being recorded, with the claim to release afterwards.
type pendingResult struct {
	claim  claims.Claim
	result *rockwindpb.StoredResult
}

// logResult writes the result of an attempt to the decision log; attempt is nil if none was
// started. Ordinary results are sampled by job.
func logResult(r attemptResult, attempt *activeAttempt, term uint64) {
	kind := decision.ItemRecorded
	switch {
	case r.outcome == rockwindpb.StoredOutcome_STORED_OUTCOME_UNSPECIFIED:
		kind = decision.ItemReturned
	case r.outcome == rockwindpb.StoredOutcome_STORED_OUTCOME_DONE && !decision.Sampled(r.claim.Key().Job()):
		decision.Default.Skip(kind)
		return
	}
	fields := log.Fields{
		"item": r.claim.Key().Index(), "item_id": r.item, "outcome": outcomeName(r.outcome), "failures": r.history.failures,
		"reason": r.reason, "server": r.server, "term": term, "events": r.history.eventCount(),
	}
	if attempt != nil {
		fields["tenant"], fields["age_ms"] = attempt.tenant, time.Since(attempt.submitted).Milliseconds()
	}
	if kind == decision.ItemReturned {
		fields["content"] = r.content.String()
	}
	decision.Default.Record(kind, r.claim.Key().Job(), fields)
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

// gatherResults receives further results for a short time, so that they are recorded together.
func (e *executor) gatherResults(ctx context.Context) {
	retry.Pause(ctx, recordBatchDelay)
	for {
		select {
		case r := <-e.ended:
			e.finish(r)
		default:
			return
		}
	}
}

// recordPending starts to record the pending results and failures. Results that cannot be
// recorded are dropped, and their items run again.
func (e *executor) recordPending(ctx context.Context) {
	results := e.results
	e.results = nil
	for job, list := range results {
		go e.recordResults(ctx, job, list)
	}
	failures := e.failures
	e.failures = nil
	for _, claim := range failures {
		go e.recordFailure(ctx, claim)
	}
}

// recordFailure records a failed attempt and releases its claim afterwards, so that the item is
// only retried once the failure is counted.
func (e *executor) recordFailure(parent context.Context, claim claims.Claim) {
	ctx, cancel := context.WithTimeout(parent, recordTimeout)
	defer cancel()
	key := claim.Key()
	failure := &rockwindpb.RecordFailure{Job: key.Job(), Item: key.Index()}
	_, err := propose(ctx, e.group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Failure{Failure: failure}})
	if err != nil {
		log.WithError(err).WithField("job", key.Job()).WithField("item", key.Index()).Warn("failed to record a failed attempt")
	}
	select {
	case e.ended <- attemptResult{claim: claim, history: &history{}, recorded: true}:
	case <-parent.Done():
	}
}

// recordResults records results of one job and releases their claims afterwards. On failure the
// items run again.
func (e *executor) recordResults(parent context.Context, job string, list []pendingResult) {
	ctx, cancel := context.WithTimeout(parent, recordTimeout)
	defer cancel()
	command := &rockwindpb.RecordResults{Job: job}
	for _, pending := range list {
		command.Results = append(command.Results, pending.result)
	}
	_, err := propose(ctx, e.group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Record{Record: command}})
	if err != nil {
		log.WithError(err).WithField("job", job).WithField("results", len(list)).Warn("failed to record results")
	}
	for _, pending := range list {
		select {
		case e.ended <- attemptResult{claim: pending.claim, recorded: err == nil, history: &history{}, reason: unrecordedReason}:
		case <-parent.Done():
		}
	}
}

const unrecordedReason = "its result was not recorded"

// dropExpired deletes jobs past their retention time.
func (e *executor) dropExpired(ctx context.Context) {
	now := time.Now()
	if now.Sub(e.lastDrop) < dropInterval {
		return
	}
	e.lastDrop = now
	retention := defaultRetention
	if seconds := e.store.settings.GetResultRetentionS(); seconds > 0 {
		retention = time.Duration(seconds*float64(time.Second)) + retentionMargin
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
