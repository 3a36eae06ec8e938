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
	// boardPause bounds how often a keeper reads the ledger's demand.
	boardPause = 20 * time.Millisecond
	// keeperPause is the longest time between two looks at a shard.
	keeperPause = time.Second
	// retentionPause is the time between two commands that drop what is past its
	// retention.
	retentionPause = time.Minute
	// sealLimit is how many blocks of results are sealed in one look.
	sealLimit = 8
	// leaseGrace is how long holders have to reach a new leader: a few of their
	// heartbeats. Without it an outage of control would end all leases, fence
	// holders that work, and count a try for each item.
	leaseGrace = 15 * time.Second
	// commandTimeout bounds the commands that a keeper proposes.
	commandTimeout = 5 * time.Second
)

// keeper does what the leader of a shard owes it: it shows the work that waits,
// expires leases and records when they are due, drops what is past its
// retention, and seals results. It runs on every replica and acts on the leader.
type keeper struct {
	daemon  *daemon
	shard   *shard
	term    uint64
	leading bool
	// renewedTerm is the last term of leadership in which leases were renewed.
	renewedTerm  uint64
	lastExpiry   time.Time
	lastSealLook time.Time
	nextRetained time.Time
}

// run keeps the shard until the context ends.
func (k *keeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		applied := k.shard.group.Applied()
		due := k.look(ctx)
		if !retry.Pause(ctx, boardPause) {
			return
		}
		timer := time.NewTimer(due)
		select {
		case <-applied:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// ledgerView is what a keeper reads of the ledger in one go.
type ledgerView struct {
	work       *workView
	nextExpiry int64
	pending    bool
	stats      ledger.Stats
}

// look reads the shard once, acts as its leader, and returns when to look again
// at the latest.
func (k *keeper) look(ctx context.Context) time.Duration {
	term, leading := k.shard.group.Leading()
	if leading != k.leading || term != k.term {
		k.leading, k.term = leading, term
		k.daemon.publishLeadership(k.shard.number, term, leading)
	}
	if !leading {
		k.shard.work.show(&workView{})
		return keeperPause
	}
	if k.renewedTerm != term && !k.renewLeases(ctx) {
		k.shard.work.show(&workView{})
		return boardPause
	}
	k.renewedTerm = term
	now := time.Now()
	read := ledgerView{}
	err := k.shard.group.ReadLocal(ctx, func() {
		read.work = &workView{demand: k.shard.ledger.Demand()}
		read.nextExpiry, read.pending = k.shard.ledger.NextExpiry(now.UnixMilli())
		read.stats = k.shard.ledger.Stats()
	})
	if err != nil {
		return keeperPause
	}
	k.shard.work.show(read.work)
	k.daemon.metrics.observeShard(k.shard.number, read.stats)
	k.expire(ctx, now, read)
	k.seal(ctx, now)
	return k.untilDue(now, read)
}

func (k *keeper) untilDue(now time.Time, read ledgerView) time.Duration {
	if !read.pending {
		return keeperPause
	}
	return max(boardPause, min(keeperPause, time.UnixMilli(read.nextExpiry).Sub(now)))
}

// renewLeases proposes the command that lengthens all leases, and tells whether it
// was executed. No lease is ended or granted in a term before.
func (k *keeper) renewLeases(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	command := &rockwindpb.ExpireCommand{RenewLeasesMs: leaseGrace.Milliseconds()}
	_, err := propose[rockwindpb.ExpireResponse](ctx, k.shard,
		&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Expire{Expire: command}})
	k.note(err, "cannot renew leases")
	return err == nil
}

// expire proposes the command that ends leases, and once a minute the one that
// also drops what is past its retention.
func (k *keeper) expire(ctx context.Context, now time.Time, read ledgerView) {
	due := read.pending && read.nextExpiry <= now.UnixMilli() && now.Sub(k.lastExpiry) >= boardPause
	retention := !now.Before(k.nextRetained)
	if !due && !retention {
		return
	}
	command := &rockwindpb.ExpireCommand{}
	var policy *rockwindpb.Policy
	if retention {
		k.nextRetained = now.Add(retentionPause)
		policy = k.daemon.policy(ctx)
	}
	if policy != nil {
		command.RetentionMs = policy.GetResultRetention().AsDuration().Milliseconds()
		command.IdempotencyRetentionMs = policy.GetIdempotencyRetention().AsDuration().Milliseconds()
	}
	if !due && policy == nil {
		return
	}
	k.lastExpiry = now
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	_, err := propose[rockwindpb.ExpireResponse](ctx, k.shard,
		&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Expire{Expire: command}})
	k.note(err, "cannot expire leases")
	if err == nil && policy != nil {
		k.reportReferences(ctx, now, policy)
	}
}

// seal moves results that will not change into bodies.
func (k *keeper) seal(ctx context.Context, now time.Time) {
	if now.Sub(k.lastSealLook) < keeperPause {
		return
	}
	k.lastSealLook = now
	var blocks []ledger.SealableBlock
	if err := k.shard.group.ReadLocal(ctx, func() { blocks = k.shard.ledger.SealableBlocks(sealLimit) }); err != nil || len(blocks) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	bodies := make([][]byte, 0, len(blocks))
	for _, block := range blocks {
		bodies = append(bodies, block.Body)
	}
	references, err := k.daemon.bodies.Store(ctx, bodies)
	if err != nil {
		k.note(err, "cannot store sealed results")
		return
	}
	for index, block := range blocks {
		_, err := propose[rockwindpb.SealResultsResponse](ctx, k.shard,
			&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Seal{Seal: block.Command(references[index])}})
		k.note(err, "cannot seal results")
	}
}

// note logs a failure that is not a mere change of leadership.
func (k *keeper) note(err error, message string) {
	if err == nil || fault.Is(err, fault.NotLeader) {
		return
	}
	log.WithError(err).WithField("shard", k.shard.number).Warn(message)
}
