package ledger

import (
	"math"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// expire ends leases past their time and drops jobs, files and records past
// their retention. A retention of zero keeps them.
func (l *Ledger) expire(now int64, command *rockwindpb.ExpireCommand) (*rockwindpb.ExpireResponse, *fault.Fault) {
	if renewal := command.GetRenewLeasesMs(); renewal > 0 {
		l.renewLeases(now + renewal)
	}
	response := &rockwindpb.ExpireResponse{Leases: l.expireLeases(now)}
	response.Unknown = l.giveUpRecords(now, command.GetStartedTimeoutMs())
	if limit, bounded := keptSince(now, command.GetRetentionMs()); bounded {
		response.Jobs = l.dropJobs(limit)
		response.Files = l.dropFiles(now, limit)
	}
	if limit, bounded := keptSince(now, command.GetIdempotencyRetentionMs()); bounded {
		response.Records = l.dropRecords(limit)
	}
	return response, nil
}

// renewLeases lengthens all leases to at least a time.
func (l *Ledger) renewLeases(until int64) {
	for _, found := range l.jobs {
		for _, current := range found.leases {
			current.expires = max(current.expires, until)
		}
	}
}

// keptSince returns the time before which things are past their retention.
func keptSince(now, retention int64) (limit int64, bounded bool) {
	if retention <= 0 || now < math.MinInt64+retention {
		return 0, false
	}
	return now - retention, true
}

// expireLeases ends the leases past their time; each of their items counts a try.
func (l *Ledger) expireLeases(now int64) uint32 {
	expired := l.takeDueLeases(now)
	for _, key := range expired {
		// The job may have ended with an earlier one of these leases.
		if found, current := l.leaseOf(key); current != nil {
			l.expireLease(now, found, current)
		}
	}
	return uint32(len(expired))
}

// takeDueLeases removes the leases past their time from the queue. An entry
// whose lease was renewed goes back under its new time.
func (l *Ledger) takeDueLeases(now int64) []leaseKey {
	var expired []leaseKey
	for {
		entry, due := l.leaseDue.take(now)
		if !due {
			return expired
		}
		_, current := l.leaseOf(entry.key)
		switch {
		case current == nil:
		case current.expires > now:
			l.leaseDue.add(current.expires, entry.key)
		default:
			expired = append(expired, entry.key)
		}
	}
}

func (l *Ledger) expireLease(now int64, found *job, current *lease) {
	for _, item := range current.heldItems() {
		found.countTry(now, current, item)
	}
	delete(found.leases, current.fence)
	l.settle(now, found)
}

// leaseOf returns the lease with the key, or nil where it has ended.
func (l *Ledger) leaseOf(key leaseKey) (*job, *lease) {
	found, known := l.jobs[key.jobID]
	if !known {
		return nil, nil
	}
	return found, found.leases[key.fence]
}

// dropJobs removes jobs that ended at the limit or before.
func (l *Ledger) dropJobs(limit int64) uint32 {
	dropped := uint32(0)
	for {
		entry, due := l.jobDue.take(limit)
		if !due {
			return dropped
		}
		found, known := l.jobs[entry.key]
		if !known || found.running() || found.definition.EndedUnixMs != entry.time {
			continue
		}
		l.dropJob(found)
		dropped++
	}
}

// dropFiles removes files that have been kept since the limit or before. A file
// that a kept job reads starts its retention anew.
func (l *Ledger) dropFiles(now, limit int64) uint32 {
	dropped := uint32(0)
	for {
		entry, due := l.fileDue.take(limit)
		if !due {
			return dropped
		}
		found, known := l.files[entry.key]
		if !known || found.kept != entry.time {
			continue
		}
		if l.fileUse[entry.key] > 0 {
			found.kept = now
			l.fileDue.add(now, entry.key)
			continue
		}
		delete(l.files, entry.key)
		dropped++
	}
}
