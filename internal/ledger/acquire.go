package ledger

import (
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// acquire grants leases: groups take turns, each with an equal part of the items
// asked for, and within a group jobs come in the ledger's order.
func (l *Ledger) acquire(now int64, request *rockwindpb.AcquireLeasesRequest) (*rockwindpb.AcquireLeasesResponse, *fault.Fault) {
	if request.GetHolder() == "" {
		return nil, fault.New(fault.InvalidArgument, "the request for leases names no holder", "name the gateway")
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

// grantRound gives each group with work one lease and returns the items granted.
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
	part := min((remaining-1)/uint32(len(groups))+1, MaxLeaseItems)
	total := uint32(0)
	for _, group := range groups {
		chosen := l.waiting.first(group, request.Models)
		if chosen == nil || total == remaining {
			continue
		}
		granted := l.grant(now, chosen, request, min(part, remaining-total))
		l.lastGroup = group
		total += granted.held.count()
		response.Grants = append(response.Grants, &rockwindpb.GrantedLease{
			Lease: granted.describe(chosen),
			Job:   chosen.forLease(granted),
		})
	}
	return total
}

// grant leases the first waiting items of a job, at most limit, in one range.
// Items of the range that are done already are skipped; an item of another lease
// ends the range.
func (l *Ledger) grant(now int64, from *job, request *rockwindpb.AcquireLeasesRequest, limit uint32) *lease {
	first := from.nextWaiting()
	end, taken := from.rangeFrom(first, limit)
	l.fence++
	granted := &lease{
		fence:     l.fence,
		firstItem: first,
		itemCount: end - first,
		holder:    request.Holder,
		expires:   now + leaseLength(request.LeaseMs),
		held:      newBitmap(end - first),
	}
	for item := first; item < end; item++ {
		if from.done.has(item) {
			continue
		}
		granted.held.add(item - first)
		from.leased.add(item)
	}
	from.waiting -= taken
	from.firstWaiting = end
	from.leases[granted.fence] = granted
	l.waiting.update(from)
	l.leaseDue.add(granted.expires, leaseKey{jobID: from.definition.Id, fence: granted.fence})
	return granted
}

// nextWaiting returns the lowest waiting item; there must be one.
func (j *job) nextWaiting() uint32 {
	item := j.firstWaiting
	for j.done.has(item) || j.leased.has(item) {
		item++
	}
	return item
}

// rangeFrom returns where a lease that starts at first ends, and how many
// waiting items it takes.
func (j *job) rangeFrom(first, limit uint32) (end, taken uint32) {
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

func leaseLength(milliseconds uint32) int64 {
	if milliseconds == 0 {
		return DefaultLeaseMilliseconds
	}
	return int64(milliseconds)
}

// describe returns the lease as its holder sees it.
func (l *lease) describe(of *job) *rockwindpb.Lease {
	return &rockwindpb.Lease{
		JobId:         of.definition.Id,
		Fence:         l.fence,
		FirstItem:     l.firstItem,
		ItemCount:     l.itemCount,
		Holder:        l.holder,
		ExpiresUnixMs: l.expires,
		Skip:          l.skip(),
		LastTry:       of.markLost(l, of.definition.Tries-1),
		Lost:          of.markLost(l, 1),
	}
}

// markLost marks the items of a lease that were lost before at least so many times;
// it is nil where there are none.
func (j *job) markLost(of *lease, times uint32) []byte {
	var marked bitmap
	for item, tries := range j.tries {
		if tries < times || !of.holds(item) {
			continue
		}
		if marked == nil {
			marked = newBitmap(of.itemCount)
		}
		marked.add(item - of.firstItem)
	}
	return marked
}

// skip marks the items of a fresh lease that are done already; it is nil where
// there are none.
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

// heartbeat renews leases of one holder.
func (l *Ledger) heartbeat(now int64, request *rockwindpb.HeartbeatLeasesRequest) (*rockwindpb.HeartbeatLeasesResponse, *fault.Fault) {
	response := &rockwindpb.HeartbeatLeasesResponse{}
	for _, key := range request.Leases {
		verdict := &rockwindpb.LeaseVerdict{JobId: key.GetJobId(), Fence: key.GetFence()}
		response.Verdicts = append(response.Verdicts, verdict)
		_, current := l.currentLease(key.GetJobId(), key.GetFence(), request.Holder, verdict)
		if current == nil {
			continue
		}
		current.expires = max(current.expires, now+leaseLength(request.LeaseMs))
		verdict.ExpiresUnixMs = current.expires
	}
	return response, nil
}

// currentLease returns the lease that a holder names if it is still the
// holder's, and otherwise tells the holder in the verdict to stop.
func (l *Ledger) currentLease(id string, fence uint64, holder string, verdict *rockwindpb.LeaseVerdict) (*job, *lease) {
	found, known := l.jobs[id]
	if !known {
		stop(verdict, rockwindpb.StopReason_STOP_REASON_JOB_ENDED)
		return nil, nil
	}
	if !found.running() && !l.defects.cancelUnchecked {
		stop(verdict, reasonOfEnd(found))
		return nil, nil
	}
	current, held := found.leases[fence]
	if !held && l.defects.noFence {
		return found, found.unfenced(fence, holder)
	}
	if !held || current.holder != holder {
		stop(verdict, rockwindpb.StopReason_STOP_REASON_FENCED)
		return nil, nil
	}
	verdict.ExpiresUnixMs = current.expires
	return found, current
}

func reasonOfEnd(ended *job) rockwindpb.StopReason {
	if ended.definition.State == rockwindpb.JobState_JOB_STATE_CANCELLED {
		return rockwindpb.StopReason_STOP_REASON_JOB_CANCELLED
	}
	return rockwindpb.StopReason_STOP_REASON_JOB_ENDED
}

func stop(verdict *rockwindpb.LeaseVerdict, reason rockwindpb.StopReason) {
	verdict.Stop = true
	verdict.Reason = reason
	verdict.ExpiresUnixMs = 0
}

// unfenced is the defect of a ledger that lets a holder without a lease report
// any item that is not done; tests prove that they see it.
func (j *job) unfenced(fence uint64, holder string) *lease {
	whole := &lease{fence: fence, itemCount: j.definition.ItemCount, holder: holder, held: newBitmap(j.definition.ItemCount)}
	for item := range j.definition.ItemCount {
		if !j.done.has(item) {
			whole.held.add(item)
		}
	}
	return whole
}
