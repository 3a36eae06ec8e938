package ledger

import (
	"math"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// expire ends expired leases, times out idempotency records that stayed started, and
// drops jobs, files and records past their retention. A retention of zero keeps them
// forever.
func (l *Ledger) expire(now int64, command *rockwindpb.ExpireCommand) (*rockwindpb.ExpireResponse, *fault.Fault) {
	if renewal := command.GetRenewLeasesMs(); renewal > 0 {
		l.renewLeases(now + renewal)
	}
	response := &rockwindpb.ExpireResponse{Leases: l.expireLeases(now)}
	response.Unknown = l.timeOutRecords(now, command.GetStartedTimeoutMs())
	if cutoff, bounded := retentionCutoff(now, command.GetRetentionMs()); bounded {
		response.Jobs = l.dropJobs(cutoff)
		response.Files = l.dropFiles(now, cutoff)
	}
	if cutoff, bounded := retentionCutoff(now, command.GetIdempotencyRetentionMs()); bounded {
		response.Records = l.dropRecords(cutoff)
	}
	return response, nil
}

// renewLeases extends all leases to at least the given time.
func (l *Ledger) renewLeases(until int64) {
	for _, found := range l.jobs {
		for _, current := range found.leases {
			current.expires = max(current.expires, until)
		}
	}
}

// retentionCutoff returns the time up to which entries are past the retention. It
// returns false if the retention is unlimited or the time would overflow.
func retentionCutoff(now, retention int64) (cutoff int64, bounded bool) {
	if retention <= 0 || now < math.MinInt64+retention {
		return 0, false
	}
	return now - retention, true
}

// expireLeases ends the expired leases and counts a failed try for each item they
// hold. It returns the number of leases.
func (l *Ledger) expireLeases(now int64) uint32 {
	expired := l.popExpiredLeases(now)
	for _, key := range expired {
		// The job may have ended when an earlier lease of this batch expired.
		if found, current := l.leaseOf(key); current != nil {
			l.expireLease(now, found, current)
		}
	}
	return uint32(len(expired))
}

// popExpiredLeases removes the expired leases from the queue and returns their keys.
// The entry of a lease that was renewed is queued again under the new time.
func (l *Ledger) popExpiredLeases(now int64) []leaseKey {
	var expired []leaseKey
	for {
		entry, due := l.leaseExpiries.popDue(now)
		if !due {
			return expired
		}
		_, current := l.leaseOf(entry.key)
		switch {
		case current == nil:
		case current.expires > now:
			l.leaseExpiries.add(current.expires, entry.key)
		default:
			expired = append(expired, entry.key)
		}
	}
}

func (l *Ledger) expireLease(now int64, found *job, current *lease) {
	for _, item := range current.heldItems() {
		found.countFailedTry(now, current, item)
	}
	delete(found.leases, current.fence)
	l.updateJob(now, found)
}

// leaseOf returns the job and the lease with the key; the lease is nil if it has
// ended.
func (l *Ledger) leaseOf(key leaseKey) (*job, *lease) {
	found, exists := l.jobs[key.jobID]
	if !exists {
		return nil, nil
	}
	return found, found.leases[key.fence]
}

// dropJobs removes jobs that ended at or before the cutoff.
func (l *Ledger) dropJobs(cutoff int64) uint32 {
	dropped := uint32(0)
	for {
		entry, due := l.endedJobs.popDue(cutoff)
		if !due {
			return dropped
		}
		found, exists := l.jobs[entry.key]
		if !exists || found.running() || found.definition.EndedUnixMs != entry.time {
			continue
		}
		l.dropJob(found)
		dropped++
	}
}

// dropFiles removes files whose retention started at or before the cutoff. The
// retention of a file that a job still uses restarts.
func (l *Ledger) dropFiles(now, cutoff int64) uint32 {
	dropped := uint32(0)
	for {
		entry, due := l.fileRetention.popDue(cutoff)
		if !due {
			return dropped
		}
		found, exists := l.files[entry.key]
		if !exists || found.retentionStart != entry.time {
			continue
		}
		if l.fileUsers[entry.key] > 0 {
			found.retentionStart = now
			l.fileRetention.add(now, entry.key)
			continue
		}
		delete(l.files, entry.key)
		dropped++
	}
}
