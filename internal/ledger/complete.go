package ledger

import (
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// complete records the reports of one holder. A report counts only under the
// current lease of its item; everything else changes nothing.
func (l *Ledger) complete(now int64, request *rockwindpb.CompleteItemsRequest) (*rockwindpb.CompleteItemsResponse, *fault.Fault) {
	reports := make([][]*rockwindpb.ItemCompletion, len(request.Completions))
	for index, completion := range request.Completions {
		checked, refused := checkReports(completion)
		if refused != nil {
			return nil, refused
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

// checkReports decodes the reports of a lease and refuses those that say
// nothing.
func checkReports(completion *rockwindpb.LeaseCompletion) ([]*rockwindpb.ItemCompletion, *fault.Fault) {
	reports, refused := unpackReports(completion)
	if refused != nil {
		return nil, refused
	}
	for _, report := range reports {
		if refused := checkReport(report); refused != nil {
			return nil, refused
		}
	}
	return reports, nil
}

func checkReport(report *rockwindpb.ItemCompletion) *fault.Fault {
	switch report.GetOutcome() {
	case rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED:
		if report.Result == nil {
			return fault.Newf(fault.InvalidArgument, "store the result first and give its reference",
				"the completion of item %d names no result", report.Item)
		}
	case rockwindpb.ItemOutcome_ITEM_OUTCOME_FAILED,
		rockwindpb.ItemOutcome_ITEM_OUTCOME_RETRY,
		rockwindpb.ItemOutcome_ITEM_OUTCOME_RETURNED:
	default:
		return fault.Newf(fault.InvalidArgument, "report completed, failed, retry or returned",
			"the outcome %v of item %d is unknown", report.GetOutcome(), report.GetItem())
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
	l.settle(now, found)
	return verdict
}

// applyReport executes the report of an item that the lease holds, and tells
// whether it recorded a result.
func (l *Ledger) applyReport(now int64, found *job, current *lease, report *rockwindpb.ItemCompletion) bool {
	switch report.Outcome {
	case rockwindpb.ItemOutcome_ITEM_OUTCOME_RETRY:
		if l.defects.unboundedRetry {
			found.giveBack(current, report.Item)
			return false
		}
		return found.countTry(now, current, report.Item)
	case rockwindpb.ItemOutcome_ITEM_OUTCOME_RETURNED:
		found.giveBack(current, report.Item)
		return false
	default:
		found.record(now, current, report, found.tries[report.Item]+1)
		return true
	}
}

// release ends a lease; the items that it still holds wait again.
func (j *job) release(ended *lease) {
	for _, item := range ended.heldItems() {
		j.giveBack(ended, item)
	}
	delete(j.leases, ended.fence)
}

// settle brings the indexes up to date after a job's items changed, and ends the
// job when its last item is recorded.
func (l *Ledger) settle(now int64, changed *job) {
	l.waiting.update(changed)
	if changed.running() && changed.recorded() == changed.definition.ItemCount {
		l.endJob(now, changed, rockwindpb.JobState_JOB_STATE_COMPLETED)
	}
}
