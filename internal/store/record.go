package store

import (
	"context"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/store/claims"
)

// pendingOutcome is the outcome of an attempt that is not recorded yet: a result or a failed
// attempt. Its claim is held until it is recorded, so that the item does not run meanwhile.
type pendingOutcome struct {
	claim claims.Claim
	// result is nil for a failed attempt.
	result *rockwindpb.StoredResult
	// failures is the number of failed attempts, this one included.
	failures int
	// proposed is set while a command that records the outcome is in flight, and logged once a
	// command has failed.
	proposed, logged bool
}

func newPendingOutcome(r attemptResult) *pendingOutcome {
	created := &pendingOutcome{claim: r.claim, failures: r.history.failures}
	if r.outcome == rockwindpb.StoredOutcome_STORED_OUTCOME_UNSPECIFIED {
		return created
	}
	created.result = &rockwindpb.StoredResult{Item: r.claim.Key().Index(), Outcome: r.outcome}
	if r.outcome == rockwindpb.StoredOutcome_STORED_OUTCOME_DONE {
		created.result.Text = r.history.output.Text()
	}
	return created
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
	if r.configuration != 0 {
		fields["config"] = r.configuration
	}
	if kind == decision.ItemReturned {
		fields["content"] = r.content.String()
		if len(r.parts) > 0 {
			fields["parts"] = fingerprint.Strings(r.parts)
		}
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

// recordPending starts to record the pending outcomes if this store leads the shard.
func (e *executor) recordPending(ctx context.Context) {
	if e.term == 0 {
		return
	}
	results := make(map[string][]*pendingOutcome)
	for key, pending := range e.outcomes {
		if pending.proposed {
			continue
		}
		pending.proposed = true
		if pending.result == nil {
			go e.recordFailure(ctx, pending.claim)
			continue
		}
		results[key.Job()] = append(results[key.Job()], pending)
	}
	for job, list := range results {
		command := &rockwindpb.RecordResults{Job: job}
		recorded := make([]claims.Claim, 0, len(list))
		for _, pending := range list {
			command.Results = append(command.Results, pending.result)
			recorded = append(recorded, pending.claim)
		}
		go e.recordResults(ctx, command, recorded)
	}
}

// settleOutcomes releases the items of outcomes that turn out to be recorded or to be needed no
// longer. It is called in a read of the shard, which shows the commands of earlier terms that
// were committed: the others cannot be committed any more. Commands of this term are in flight.
func (e *executor) settleOutcomes() {
	for key, pending := range e.outcomes {
		if pending.proposed {
			continue
		}
		recorded := pending.result == nil && e.machine.Failures(key.Job(), key.Index()) >= pending.failures
		if recorded || !e.machine.Runnable(key.Job(), key.Index()) {
			delete(e.outcomes, key)
			e.claims.Release(pending.claim)
		}
	}
}

// recordingEnded handles the end of the recording of an outcome. An outcome that was not
// recorded is recorded again at a later scheduling pass.
func (e *executor) recordingEnded(r attemptResult) {
	key := r.claim.Key()
	if r.recorded {
		delete(e.outcomes, key)
		e.claims.Release(r.claim)
		return
	}
	pending := e.outcomes[key]
	if pending == nil {
		return
	}
	if !pending.logged {
		log.WithError(r.unrecorded).WithField("job", key.Job()).WithField("item", key.Index()).Warn("the outcome of an item is not recorded yet")
	}
	pending.proposed, pending.logged = false, true
}

// recordFailure records a failed attempt. The command counts one more failure each time that it
// is applied, so its recording ends only when it is applied or its term is over.
func (e *executor) recordFailure(ctx context.Context, claim claims.Claim) {
	key := claim.Key()
	failure := &rockwindpb.RecordFailure{Job: key.Job(), Item: key.Index()}
	_, err := propose(ctx, e.group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Failure{Failure: failure}})
	e.sendResult(ctx, attemptResult{claim: claim, recorded: err == nil, unrecorded: err, history: &history{}})
}

// recordResults records results of one job.
func (e *executor) recordResults(ctx context.Context, command *rockwindpb.RecordResults, list []claims.Claim) {
	_, err := propose(ctx, e.group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Record{Record: command}})
	for _, claim := range list {
		e.sendResult(ctx, attemptResult{claim: claim, recorded: err == nil, unrecorded: err, history: &history{}})
	}
}

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
