package ledger

import (
	"slices"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// waiting returns the items that no lease holds and that have no result.
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

// next returns the first eligible job of each group.
func (o *oracle) next(request *rockwindpb.AcquireLeasesRequest) map[string]*oracleJob {
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
	response, is := answer.(*rockwindpb.AcquireLeasesResponse)
	if !is {
		t.Fatalf("acquire: got %v", answer)
	}
	total := uint32(0)
	groups := map[string]bool{}
	eligible := len(o.next(request))
	for number, grant := range response.Grants {
		total += o.grant(t, now, request, grant, number == 0)
		groups[grant.Job.Group] = true
	}
	left := len(o.next(request))
	if total > request.MaxItems || (total < request.MaxItems && left > 0) {
		t.Fatalf("acquire granted %d of %d items while %d groups have work", total, request.MaxItems, left)
	}
	if eligible > 1 && request.MaxItems > 1 && len(groups) < 2 {
		t.Fatalf("acquire served one of %d groups", eligible)
	}
}

// grant checks one grant, takes it over and returns its items.
func (o *oracle) grant(t *rapid.T, now int64, request *rockwindpb.AcquireLeasesRequest, grant *rockwindpb.GrantedLease, first bool) uint32 {
	lease := grant.Lease
	candidates := o.next(request)
	job := o.jobs[lease.JobId]
	if job == nil || candidates[job.definition.Group] != job {
		t.Fatalf("grant %v is not of the next job of its group", lease)
	}
	group := job.definition.Group
	for other := range candidates {
		if first && turn(other, o.lastGroup) < turn(group, o.lastGroup) {
			t.Fatalf("group %q was granted before %q after %q", group, other, o.lastGroup)
		}
	}
	o.lastGroup = group
	waiting := o.waiting(job)
	held := map[uint32]bool{}
	for item := lease.FirstItem; item < lease.FirstItem+lease.ItemCount; item++ {
		skipped := lease.Skip != nil && bitmap(lease.Skip).has(item-lease.FirstItem)
		if skipped != (job.results[item] != nil) || (!skipped && !slices.Contains(waiting, item)) {
			t.Fatalf("grant %v holds item %d, which is not free", lease, item)
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
		if !covered(grant.Job.Input, item) {
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

// turn orders groups such that those after last come first.
func turn(group, last string) string {
	if group > last {
		return "0" + group
	}
	return "1" + group
}

func covered(chunks []*rockwindpb.InputChunk, item uint32) bool {
	return slices.ContainsFunc(chunks, func(chunk *rockwindpb.InputChunk) bool {
		return chunk.FirstItem <= item && item < chunk.FirstItem+chunk.ItemCount
	})
}

// find returns the lease of a holder, or the verdict that tells it to stop.
func (o *oracle) find(id string, fence uint64, holder string) (*oracleLease, *rockwindpb.LeaseVerdict) {
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
	wanted := &rockwindpb.HeartbeatLeasesResponse{}
	for _, key := range request.Leases {
		lease, verdict := o.find(key.JobId, key.Fence, request.Holder)
		if lease != nil {
			lease.expires = max(lease.expires, now+int64(request.LeaseMs))
			verdict.ExpiresUnixMs = lease.expires
		}
		wanted.Verdicts = append(wanted.Verdicts, verdict)
	}
	expect(t, "heartbeat", answer, wanted)
}

func (o *oracle) complete(t *rapid.T, now int64, request *rockwindpb.CompleteItemsRequest, answer any) {
	wanted := &rockwindpb.CompleteItemsResponse{}
	for _, completion := range request.Completions {
		lease, verdict := o.find(completion.JobId, completion.Fence, request.Holder)
		wanted.Verdicts = append(wanted.Verdicts, verdict)
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
	expect(t, "complete", answer, wanted)
}

// report takes over the report of an item, and tells whether it has a result now.
func (o *oracle) report(job *oracleJob, lease *oracleLease, report *rockwindpb.ItemCompletion) bool {
	delete(lease.items, report.Item)
	switch report.Outcome {
	case rockwindpb.ItemOutcome_ITEM_OUTCOME_RETURNED:
		return false
	case rockwindpb.ItemOutcome_ITEM_OUTCOME_RETRY:
		return o.countTry(job, report.Item)
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

func (o *oracle) countTry(job *oracleJob, item uint32) bool {
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
			o.countTry(o.jobs[lease.job], item)
		}
		o.endIfDone(now, o.jobs[lease.job])
	}
	return uint32(len(expired))
}
