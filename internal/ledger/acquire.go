package ledger

import (
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// acquire grants leases round-robin across groups. Each group gets an equal share of
// the requested items; within a group, jobs are served in the order of before.
func (l *Ledger) acquire(now int64, request *rockwindpb.AcquireLeasesRequest) (*rockwindpb.AcquireLeasesResponse, *fault.Fault) {
	if request.GetHolder() == "" {
		return nil, fault.New(fault.InvalidArgument, "the lease request has no holder", "set the holder to the name of the gateway")
	}
	l.expireLeases(now)
	response := &rockwindpb.AcquireLeasesResponse{}
	remaining := request.MaxItems
	for remaining > 0 {
		granted := l.grantRound(now, request, remaining, response)
		if granted == 0 {
			break
		}
		remaining -= granted
	}
	return response, nil
}

// grantRound grants one lease to each group with waiting items and returns the
// number of items granted.
func (l *Ledger) grantRound(
	now int64,
	request *rockwindpb.AcquireLeasesRequest,
	remaining uint32,
	response *rockwindpb.AcquireLeasesResponse,
) uint32 {
	groups := l.waiting.groups(request.Groups, l.lastGroup)
	if len(groups) == 0 {
		return 0
	}
	share := min((remaining-1)/uint32(len(groups))+1, MaxLeaseItems)
	total := uint32(0)
	for _, group := range groups {
		chosen := l.waiting.first(group, request.Models)
		if chosen == nil || total == remaining {
			continue
		}
		granted := l.grant(now, chosen, request, min(share, remaining-total))
		l.lastGroup = group
		total += granted.held.count()
		response.Grants = append(response.Grants, &rockwindpb.GrantedLease{
			Lease: granted.toProto(chosen),
			Job:   chosen.forLease(granted),
		})
	}
	return total
}

// grant leases up to limit waiting items of a job as one contiguous range. Items in
// the range that already have a result are skipped; the range ends before an item
// that another lease holds.
func (l *Ledger) grant(now int64, chosen *job, request *rockwindpb.AcquireLeasesRequest, limit uint32) *lease {
	first := chosen.lowestWaiting()
	end, taken := chosen.leaseRange(first, limit)
	l.fence++
	granted := &lease{
		fence:     l.fence,
		firstItem: first,
		itemCount: end - first,
		holder:    request.Holder,
		expires:   now + leaseDuration(request.LeaseMs),
		held:      newBitmap(end - first),
	}
	for item := first; item < end; item++ {
		if chosen.done.has(item) {
			continue
		}
		granted.held.add(item - first)
		chosen.leased.add(item)
	}
	chosen.waiting -= taken
	chosen.waitingFrom = end
	chosen.leases[granted.fence] = granted
	l.waiting.update(chosen)
	l.leaseExpiries.add(granted.expires, leaseKey{jobID: chosen.definition.Id, fence: granted.fence})
	return granted
}

// lowestWaiting returns the lowest waiting item. The job must have one.
func (j *job) lowestWaiting() uint32 {
	item := j.waitingFrom
	for j.done.has(item) || j.leased.has(item) {
		item++
	}
	return item
}

// leaseRange returns the exclusive end of a lease that starts at first and covers up
// to limit waiting items, and the number of waiting items it covers.
func (j *job) leaseRange(first, limit uint32) (end, taken uint32) {
	bound := min(j.definition.ItemCount, first+MaxLeaseItems)
	end = first
	for item := first; item < bound && taken < limit; item++ {
		if j.leased.has(item) {
			break
		}
		if j.done.has(item) {
			continue
		}
		taken++
		end = item + 1
	}
	return end, taken
}

func leaseDuration(milliseconds uint32) int64 {
	if milliseconds == 0 {
		return DefaultLeaseMilliseconds
	}
	return int64(milliseconds)
}

// toProto returns the lease message sent to the holder. owner is the job of the lease.
func (l *lease) toProto(owner *job) *rockwindpb.Lease {
	return &rockwindpb.Lease{
		JobId:         owner.definition.Id,
		Fence:         l.fence,
		FirstItem:     l.firstItem,
		ItemCount:     l.itemCount,
		Holder:        l.holder,
		ExpiresUnixMs: l.expires,
		Skip:          l.skip(),
		LastTry:       owner.lostItems(l, owner.definition.Tries-1),
		Lost:          owner.lostItems(l, 1),
	}
}

// lostItems returns a bitmap of the items of a lease that have been lost at least
// the given number of times, or nil if there are none.
func (j *job) lostItems(within *lease, losses uint32) []byte {
	var lost bitmap
	for item, tries := range j.tries {
		if tries < losses || !within.holds(item) {
			continue
		}
		if lost == nil {
			lost = newBitmap(within.itemCount)
		}
		lost.add(item - within.firstItem)
	}
	return lost
}

// skip returns a bitmap of the items of a new lease that already have a result, or
// nil if there are none.
func (l *lease) skip() []byte {
	if l.held.count() == l.itemCount {
		return nil
	}
	skipped := newBitmap(l.itemCount)
	for offset := range l.itemCount {
		if !l.held.has(offset) {
			skipped.add(offset)
		}
	}
	return skipped
}

// heartbeat extends the leases of one holder.
func (l *Ledger) heartbeat(now int64, request *rockwindpb.HeartbeatLeasesRequest) (*rockwindpb.HeartbeatLeasesResponse, *fault.Fault) {
	response := &rockwindpb.HeartbeatLeasesResponse{}
	for _, key := range request.Leases {
		verdict := &rockwindpb.LeaseVerdict{JobId: key.GetJobId(), Fence: key.GetFence()}
		response.Verdicts = append(response.Verdicts, verdict)
		_, current := l.currentLease(key.GetJobId(), key.GetFence(), request.Holder, verdict)
		if current == nil {
			continue
		}
		current.expires = max(current.expires, now+leaseDuration(request.LeaseMs))
		verdict.ExpiresUnixMs = current.expires
	}
	return response, nil
}

// currentLease returns the job and the lease if the holder still owns the lease.
// Otherwise it returns nil and sets the reason to stop in the verdict.
func (l *Ledger) currentLease(id string, fence uint64, holder string, verdict *rockwindpb.LeaseVerdict) (*job, *lease) {
	found, exists := l.jobs[id]
	if !exists {
		markStopped(verdict, rockwindpb.StopReason_STOP_REASON_JOB_ENDED)
		return nil, nil
	}
	if !found.running() && !l.defects.skipCancelCheck {
		markStopped(verdict, stopReason(found))
		return nil, nil
	}
	current, held := found.leases[fence]
	if !held && l.defects.skipFenceCheck {
		return found, found.fabricateLease(fence, holder)
	}
	if !held || current.holder != holder {
		markStopped(verdict, rockwindpb.StopReason_STOP_REASON_FENCED)
		return nil, nil
	}
	verdict.ExpiresUnixMs = current.expires
	return found, current
}

func stopReason(ended *job) rockwindpb.StopReason {
	if ended.definition.State == rockwindpb.JobState_JOB_STATE_CANCELLED {
		return rockwindpb.StopReason_STOP_REASON_JOB_CANCELLED
	}
	return rockwindpb.StopReason_STOP_REASON_JOB_ENDED
}

func markStopped(verdict *rockwindpb.LeaseVerdict, reason rockwindpb.StopReason) {
	verdict.Stop = true
	verdict.Reason = reason
	verdict.ExpiresUnixMs = 0
}

// fabricateLease returns a lease on all items without a result. Only the defect
// skipFenceCheck uses it.
func (j *job) fabricateLease(fence uint64, holder string) *lease {
	fabricated := &lease{fence: fence, itemCount: j.definition.ItemCount, holder: holder, held: newBitmap(j.definition.ItemCount)}
	for item := range j.definition.ItemCount {
		if !j.done.has(item) {
			fabricated.held.add(item)
		}
	}
	return fabricated
}
