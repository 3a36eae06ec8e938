package ledger

import (
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// complete records item reports from one holder. Reports for items that the holder
// does not currently lease are ignored.
func (l *Ledger) complete(now int64, request *rockwindpb.CompleteItemsRequest) (*rockwindpb.CompleteItemsResponse, *fault.Fault) {
	reports := make([][]*rockwindpb.ItemCompletion, len(request.Completions))
	for index, completion := range request.Completions {
		checked, failure := checkReports(completion)
		if failure != nil {
			return nil, failure
		}
		reports[index] = checked
	}
	response := &rockwindpb.CompleteItemsResponse{}
	for index, completion := range request.Completions {
		verdict := l.completeLease(now, request.Holder, completion, reports[index])
		response.Verdicts = append(response.Verdicts, verdict)
	}
	return response, nil
}

// checkReports decodes and validates the reports of a lease.
func checkReports(completion *rockwindpb.LeaseCompletion) ([]*rockwindpb.ItemCompletion, *fault.Fault) {
	reports, failure := unpackReports(completion)
	if failure != nil {
		return nil, failure
	}
	for _, report := range reports {
		if failure := checkReport(report); failure != nil {
			return nil, failure
		}
	}
	return reports, nil
}

func checkReport(report *rockwindpb.ItemCompletion) *fault.Fault {
	switch report.GetOutcome() {
	case rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED:
		if report.Result == nil {
			return fault.Newf(fault.InvalidArgument, "store the result and pass its reference",
				"the completion of item %d has no result reference", report.Item)
		}
	case rockwindpb.ItemOutcome_ITEM_OUTCOME_FAILED,
		rockwindpb.ItemOutcome_ITEM_OUTCOME_RETRY,
		rockwindpb.ItemOutcome_ITEM_OUTCOME_RETURNED:
	default:
		return fault.Newf(fault.InvalidArgument, "report completed, failed, retry or returned",
			"unknown outcome %v of item %d", report.GetOutcome(), report.GetItem())
	}
	return nil
}

func (l *Ledger) completeLease(
	now int64,
	holder string,
	completion *rockwindpb.LeaseCompletion,
	reports []*rockwindpb.ItemCompletion,
) *rockwindpb.LeaseVerdict {
	verdict := &rockwindpb.LeaseVerdict{JobId: completion.JobId, Fence: completion.Fence}
	found, current := l.currentLease(completion.JobId, completion.Fence, holder, verdict)
	if current == nil {
		return verdict
	}
	for _, report := range reports {
		if current.holds(report.Item) && l.applyReport(now, found, current, report) {
			verdict.Recorded++
		}
	}
	if completion.Release {
		found.release(current)
	}
	l.updateJob(now, found)
	return verdict
}

// applyReport applies the report of an item that the lease holds, and reports whether
// a result was recorded.
func (l *Ledger) applyReport(now int64, found *job, current *lease, report *rockwindpb.ItemCompletion) bool {
	switch report.Outcome {
	case rockwindpb.ItemOutcome_ITEM_OUTCOME_RETRY:
		if l.defects.skipTryCount {
			found.requeue(current, report.Item)
			return false
		}
		return found.countFailedTry(now, current, report.Item)
	case rockwindpb.ItemOutcome_ITEM_OUTCOME_RETURNED:
		found.requeue(current, report.Item)
		return false
	default:
		found.record(now, current, report, found.tries[report.Item]+1)
		return true
	}
}

// release ends a lease and requeues the items that it still holds.
func (j *job) release(ended *lease) {
	for _, item := range ended.heldItems() {
		j.requeue(ended, item)
	}
	delete(j.leases, ended.fence)
}

// updateJob updates the index of waiting jobs after items changed, and completes the
// job once all items have a result.
func (l *Ledger) updateJob(now int64, changed *job) {
	l.waiting.update(changed)
	if changed.running() && changed.recorded() == changed.definition.ItemCount {
		l.endJob(now, changed, rockwindpb.JobState_JOB_STATE_COMPLETED)
	}
}
