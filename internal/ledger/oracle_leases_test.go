package ledger

import (
	"slices"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// waiting returns the items of a running job without a result and without a lease.
func (o *oracle) waiting(job *oracleJob) []uint32 {
	var items []uint32
	if !job.running() {
		return nil
	}
	held := map[uint32]bool{}
	for _, lease := range o.leases {
		for item := range lease.items {
			held[item] = held[item] || lease.job == job.definition.Id
		}
	}
	for item := range job.definition.ItemCount {
		if job.results[item] == nil && !held[item] {
			items = append(items, item)
		}
	}
	return items
}

// eligibleJobs returns the first eligible job of each group.
func (o *oracle) eligibleJobs(request *rockwindpb.AcquireLeasesRequest) map[string]*oracleJob {
	first := map[string]*oracleJob{}
	for _, job := range o.jobs {
		group := job.definition.Group
		allowed := len(request.Groups) == 0 || slices.Contains(request.Groups, group)
		if !allowed || !slices.Contains(request.Models, job.definition.Model) || len(o.waiting(job)) == 0 {
			continue
		}
		if first[group] == nil || precedes(job.definition, first[group].definition) {
			first[group] = job
		}
	}
	return first
}

func precedes(a, b *rockwindpb.Job) bool {
	if a.DeadlineUnixMs != b.DeadlineUnixMs {
		return a.DeadlineUnixMs < b.DeadlineUnixMs
	}
	if a.AcceptedUnixMs != b.AcceptedUnixMs {
		return a.AcceptedUnixMs < b.AcceptedUnixMs
	}
	return a.Id < b.Id
}

func (o *oracle) acquire(t *rapid.T, now int64, request *rockwindpb.AcquireLeasesRequest, answer any) {
	o.expireLeases(now)
	response, ok := answer.(*rockwindpb.AcquireLeasesResponse)
	if !ok {
		t.Fatalf("acquire: got %v", answer)
	}
	total := uint32(0)
	groups := map[string]bool{}
	eligible := len(o.eligibleJobs(request))
	for number, grant := range response.Grants {
		total += o.grant(t, now, request, grant, number == 0)
		groups[grant.Job.Group] = true
	}
	left := len(o.eligibleJobs(request))
	if total > request.MaxItems || (total < request.MaxItems && left > 0) {
		t.Fatalf("acquire granted %d of %d items while %d groups have waiting items", total, request.MaxItems, left)
	}
	if eligible > 1 && request.MaxItems > 1 && len(groups) < 2 {
		t.Fatalf("acquire served one of %d groups", eligible)
	}
}

// grant checks a grant, records its lease and returns the number of its items.
func (o *oracle) grant(t *rapid.T, now int64, request *rockwindpb.AcquireLeasesRequest, grant *rockwindpb.GrantedLease, first bool) uint32 {
	lease := grant.Lease
	candidates := o.eligibleJobs(request)
	job := o.jobs[lease.JobId]
	if job == nil || candidates[job.definition.Group] != job {
		t.Fatalf("grant %v is not for the first eligible job of its group", lease)
	}
	group := job.definition.Group
	for other := range candidates {
		if first && rotationKey(other, o.lastGroup) < rotationKey(group, o.lastGroup) {
			t.Fatalf("group %q was served before %q, after group %q", group, other, o.lastGroup)
		}
	}
	o.lastGroup = group
	waiting := o.waiting(job)
	held := map[uint32]bool{}
	for item := lease.FirstItem; item < lease.FirstItem+lease.ItemCount; item++ {
		skipped := lease.Skip != nil && bitmap(lease.Skip).has(item-lease.FirstItem)
		if skipped != (job.results[item] != nil) || (!skipped && !slices.Contains(waiting, item)) {
			t.Fatalf("grant %v must not include item %d, or must not skip it", lease, item)
		}
		if !skipped {
			held[item] = true
		}
		last := lease.LastTry != nil && bitmap(lease.LastTry).has(item-lease.FirstItem)
		marked := lease.Lost != nil && bitmap(lease.Lost).has(item-lease.FirstItem)
		if marked != (!skipped && job.tries[item] > 0) {
			t.Fatalf("grant %v marks item %d as lost: %v, after %d losses", lease, item, marked, job.tries[item])
		}
		if lost := job.tries[item]; last != (!skipped && lost > 0 && lost+1 >= job.definition.Tries) {
			t.Fatalf("grant %v marks the last try of item %d as %v after %d losses", lease, item, last, lost)
		}
		if !hasInput(grant.Job.Input, item) {
			t.Fatalf("grant %v has no input for item %d", lease, item)
		}
	}
	if lease.Fence <= o.lastFence || lease.FirstItem != waiting[0] || lease.Holder != request.Holder ||
		lease.ExpiresUnixMs != now+int64(request.LeaseMs) {
		t.Fatalf("grant %v: fence, first item, holder or expiry is wrong", lease)
	}
	o.lastFence = lease.Fence
	o.leases[lease.Fence] = &oracleLease{job: lease.JobId, holder: lease.Holder, expires: lease.ExpiresUnixMs, items: held}
	return uint32(len(held))
}

// rotationKey is the sort key of a group in the round-robin order that starts after
// last.
func rotationKey(group, last string) string {
	if group > last {
		return "0" + group
	}
	return "1" + group
}

func hasInput(chunks []*rockwindpb.InputChunk, item uint32) bool {
	return slices.ContainsFunc(chunks, func(chunk *rockwindpb.InputChunk) bool {
		return chunk.FirstItem <= item && item < chunk.FirstItem+chunk.ItemCount
	})
}

// findLease returns the current lease of a holder and its verdict. The lease is nil if
// the holder must stop.
func (o *oracle) findLease(id string, fence uint64, holder string) (*oracleLease, *rockwindpb.LeaseVerdict) {
	verdict := &rockwindpb.LeaseVerdict{JobId: id, Fence: fence, Stop: true}
	job := o.jobs[id]
	switch {
	case job == nil, job.definition.State == rockwindpb.JobState_JOB_STATE_COMPLETED:
		verdict.Reason = rockwindpb.StopReason_STOP_REASON_JOB_ENDED
	case job.definition.State == rockwindpb.JobState_JOB_STATE_CANCELLED:
		verdict.Reason = rockwindpb.StopReason_STOP_REASON_JOB_CANCELLED
	case o.leases[fence] == nil, o.leases[fence].job != id, o.leases[fence].holder != holder:
		verdict.Reason = rockwindpb.StopReason_STOP_REASON_FENCED
	default:
		verdict.Stop = false
		verdict.ExpiresUnixMs = o.leases[fence].expires
		return o.leases[fence], verdict
	}
	return nil, verdict
}

func (o *oracle) heartbeat(t *rapid.T, now int64, request *rockwindpb.HeartbeatLeasesRequest, answer any) {
	want := &rockwindpb.HeartbeatLeasesResponse{}
	for _, key := range request.Leases {
		lease, verdict := o.findLease(key.JobId, key.Fence, request.Holder)
		if lease != nil {
			lease.expires = max(lease.expires, now+int64(request.LeaseMs))
			verdict.ExpiresUnixMs = lease.expires
		}
		want.Verdicts = append(want.Verdicts, verdict)
	}
	expect(t, "heartbeat", answer, want)
}

func (o *oracle) complete(t *rapid.T, now int64, request *rockwindpb.CompleteItemsRequest, answer any) {
	want := &rockwindpb.CompleteItemsResponse{}
	for _, completion := range request.Completions {
		lease, verdict := o.findLease(completion.JobId, completion.Fence, request.Holder)
		want.Verdicts = append(want.Verdicts, verdict)
		if lease == nil {
			continue
		}
		job := o.jobs[completion.JobId]
		for _, report := range completion.Items {
			if lease.items[report.Item] && o.report(job, lease, report) {
				verdict.Recorded++
			}
		}
		if completion.Release {
			delete(o.leases, completion.Fence)
		}
		o.endIfDone(now, job)
	}
	expect(t, "complete", answer, want)
}

// report applies the report of an item, and reports whether a result was recorded.
func (o *oracle) report(job *oracleJob, lease *oracleLease, report *rockwindpb.ItemCompletion) bool {
	delete(lease.items, report.Item)
	switch report.Outcome {
	case rockwindpb.ItemOutcome_ITEM_OUTCOME_RETURNED:
		return false
	case rockwindpb.ItemOutcome_ITEM_OUTCOME_RETRY:
		return o.countFailedTry(job, report.Item)
	}
	job.results[report.Item] = &rockwindpb.ItemResult{
		Item:    report.Item,
		Outcome: report.Outcome,
		Result:  report.Result,
		Tries:   job.tries[report.Item] + 1,
	}
	if report.Outcome == rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED {
		job.definition.Completed++
	} else {
		job.definition.Failed++
	}
	return true
}

func (o *oracle) countFailedTry(job *oracleJob, item uint32) bool {
	job.tries[item]++
	if job.tries[item] < job.definition.Tries {
		return false
	}
	job.definition.Failed++
	job.results[item] = &rockwindpb.ItemResult{
		Item:    item,
		Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_FAILED,
		Tries:   job.tries[item],
	}
	return true
}

func (o *oracle) endIfDone(now int64, job *oracleJob) {
	if job.running() && len(job.results) == int(job.definition.ItemCount) {
		o.end(now, job, rockwindpb.JobState_JOB_STATE_COMPLETED)
	}
}

func (o *oracle) expireLeases(now int64) uint32 {
	var expired []*oracleLease
	for fence, lease := range o.leases {
		if lease.expires <= now {
			expired = append(expired, lease)
			delete(o.leases, fence)
		}
	}
	for _, lease := range expired {
		for item := range lease.items {
			o.countFailedTry(o.jobs[lease.job], item)
		}
		o.endIfDone(now, o.jobs[lease.job])
	}
	return uint32(len(expired))
}
