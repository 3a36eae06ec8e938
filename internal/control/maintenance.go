package control

import (
	"context"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/ledger"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// minMaintenanceInterval is the minimum interval between two runs.
	minMaintenanceInterval = 20 * time.Millisecond
	// maintenanceInterval is the maximum interval between two runs.
	maintenanceInterval = time.Second
	// retentionInterval is the interval at which data past its retention is removed.
	retentionInterval = time.Minute
	// maxSealedBlocks is the maximum number of result blocks sealed in one run.
	maxSealedBlocks = 8
	// leaseGrace is how long lease holders have to reach a new leader, a few
	// heartbeats. Otherwise an outage of the control machines would expire all leases
	// and count a try for each of their items.
	leaseGrace = 15 * time.Second
	// commandTimeout bounds the commands of one maintenance step.
	commandTimeout = 5 * time.Second
)

// shardMaintainer performs the periodic work of a shard's leader: it publishes the
// shard's demand, expires leases and records, removes data past its retention and
// seals results. It runs on every replica but does nothing on followers.
type shardMaintainer struct {
	daemon  *daemon
	shard   *shard
	term    uint64
	leading bool
	// renewedTerm is the last term in which this leader extended the leases.
	renewedTerm   uint64
	lastExpiry    time.Time
	lastSeal      time.Time
	nextRetention time.Time
}

// run maintains the shard until ctx is done.
func (m *shardMaintainer) run(ctx context.Context) {
	for ctx.Err() == nil {
		applied := m.shard.group.Applied()
		next := m.maintain(ctx)
		if !retry.Pause(ctx, minMaintenanceInterval) {
			return
		}
		timer := time.NewTimer(next)
		select {
		case <-applied:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// ledgerView is a consistent view of the ledger.
type ledgerView struct {
	demand     *demandSnapshot
	nextExpiry int64
	pending    bool
	stats      ledger.Stats
}

// maintain runs the maintenance once and returns the longest time until the next
// run.
func (m *shardMaintainer) maintain(ctx context.Context) time.Duration {
	term, leading := m.shard.group.Leading()
	if leading != m.leading || term != m.term {
		m.leading, m.term = leading, term
		m.daemon.publishLeadership(m.shard.number, term, leading)
	}
	if !leading {
		m.shard.demand.publish(&demandSnapshot{})
		return maintenanceInterval
	}
	if m.renewedTerm != term && !m.renewLeases(ctx) {
		m.shard.demand.publish(&demandSnapshot{})
		return minMaintenanceInterval
	}
	m.renewedTerm = term
	now := time.Now()
	read := ledgerView{}
	err := m.shard.group.ReadLocal(ctx, func() {
		read.demand = &demandSnapshot{entries: m.shard.ledger.Demand()}
		read.nextExpiry, read.pending = m.shard.ledger.NextExpiry(now.UnixMilli())
		read.stats = m.shard.ledger.Stats()
	})
	if err != nil {
		return maintenanceInterval
	}
	m.shard.demand.publish(read.demand)
	m.daemon.metrics.observeShard(m.shard.number, read.stats)
	m.expire(ctx, now, read)
	m.seal(ctx, now)
	return m.nextMaintenance(now, read)
}

// nextMaintenance returns the time until the next expiry, within the limits.
func (m *shardMaintainer) nextMaintenance(now time.Time, read ledgerView) time.Duration {
	if !read.pending {
		return maintenanceInterval
	}
	return max(minMaintenanceInterval, min(maintenanceInterval, time.UnixMilli(read.nextExpiry).Sub(now)))
}

// renewLeases extends all leases at the start of a term and reports whether that
// succeeded. No lease is granted or expired before.
func (m *shardMaintainer) renewLeases(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	command := &rockwindpb.ExpireCommand{RenewLeasesMs: leaseGrace.Milliseconds()}
	_, err := propose[rockwindpb.ExpireResponse](ctx, m.shard,
		&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Expire{Expire: command}})
	m.logError(err, "cannot renew leases")
	return err == nil
}

// expire ends the leases that are due. Every retentionInterval it also removes data
// past its retention.
func (m *shardMaintainer) expire(ctx context.Context, now time.Time, read ledgerView) {
	due := read.pending && read.nextExpiry <= now.UnixMilli() && now.Sub(m.lastExpiry) >= minMaintenanceInterval
	retention := !now.Before(m.nextRetention)
	if !due && !retention {
		return
	}
	command := &rockwindpb.ExpireCommand{}
	var policy *rockwindpb.Policy
	if retention {
		m.nextRetention = now.Add(retentionInterval)
		policy = m.daemon.policy(ctx)
	}
	if policy != nil {
		command.RetentionMs = policy.GetResultRetention().AsDuration().Milliseconds()
		command.IdempotencyRetentionMs = policy.GetIdempotencyRetention().AsDuration().Milliseconds()
	}
	if !due && policy == nil {
		return
	}
	m.lastExpiry = now
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	_, err := propose[rockwindpb.ExpireResponse](ctx, m.shard,
		&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Expire{Expire: command}})
	m.logError(err, "cannot expire leases")
	if err == nil && policy != nil {
		m.reportReferences(ctx, now, policy)
	}
}

// seal moves blocks of final results from the ledger to the body store.
func (m *shardMaintainer) seal(ctx context.Context, now time.Time) {
	if now.Sub(m.lastSeal) < maintenanceInterval {
		return
	}
	m.lastSeal = now
	var blocks []ledger.SealableBlock
	if err := m.shard.group.ReadLocal(ctx, func() { blocks = m.shard.ledger.SealableBlocks(maxSealedBlocks) }); err != nil || len(blocks) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	bodies := make([][]byte, 0, len(blocks))
	for _, block := range blocks {
		bodies = append(bodies, block.Body)
	}
	references, err := m.daemon.bodies.Store(ctx, bodies)
	if err != nil {
		m.logError(err, "cannot store sealed results")
		return
	}
	for index, block := range blocks {
		_, err := propose[rockwindpb.SealResultsResponse](ctx, m.shard,
			&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Seal{Seal: block.Command(references[index])}})
		m.logError(err, "cannot seal results")
	}
}

// logError logs an error unless it is due to a change of leadership.
func (m *shardMaintainer) logError(err error, message string) {
	if err == nil || fault.Is(err, fault.NotLeader) {
		return
	}
	log.WithError(err).WithField("shard", m.shard.number).Warn(message)
}
