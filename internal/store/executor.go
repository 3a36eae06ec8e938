package store

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/store/claims"
	"rockwind.example/rockwind/internal/store/output"
)

const (
	// scheduleInterval is the time between scheduling passes of a shard with open items.
	scheduleInterval = 40 * time.Millisecond
	// idleInterval is the time between scheduling passes of a shard without open items.
	idleInterval = 500 * time.Millisecond
	// recordBatchDelay is how long results are collected before they are recorded together.
	recordBatchDelay = 8 * time.Millisecond
	// recordTimeout limits one attempt to record progress or to delete jobs.
	recordTimeout = 2 * time.Second
	// dropInterval is the time between checks for expired jobs.
	dropInterval = 5 * time.Second
	// defaultRetention is how long jobs are kept if the settings have no retention time.
	defaultRetention = 10 * time.Minute
	// retentionMargin is added to the retention time of the settings.
	retentionMargin = 10 * time.Second
)

// execute starts an executor for each shard that is created.
func (s *Store) execute(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case shard := <-s.created:
			group.Go(func() error {
				s.executeShard(ctx, shard)
				return nil
			})
		}
	}
}

func (s *Store) executeShard(ctx context.Context, shard uint32) {
	replicated, running := s.host.Group(shard)
	for !running {
		if !retry.Pause(ctx, scheduleInterval) {
			return
		}
		replicated, running = s.host.Group(shard)
	}
	e := &executor{
		transfers:    s.transfersOf(shard),
		dueCheck:     s.dueCheck(shard),
		store:        s,
		shard:        shard,
		shares:       newTenantShares(),
		group:        replicated,
		machine:      s.machine(shard),
		claims:       claims.NewTable(),
		history:      make(map[claims.Key]*history),
		active:       make(map[claims.Key]*activeAttempt),
		paces:        make(map[string]*backlog.RunTimeEstimator),
		ended:        make(chan attemptResult, resultBuffer),
		progressDone: make(chan struct{}, 1),
		moves:        newJobMoves(),
	}
	e.run(ctx)
}

// resultBuffer is the capacity of an executor's channel of attempt results.
const resultBuffer = 256

// attemptResult is the result of one attempt of an item. The outcome is unspecified if the item
// has to be retried.
type attemptResult struct {
	claim claims.Claim
	// recorded is set and unrecorded is not nil if this is not the end of an attempt, but the end of
	// the recording of its outcome: it is applied, or the error states why that is not known.
	recorded   bool
	unrecorded error
	// failed reports that the server answered that the item failed.
	failed  bool
	outcome rockwindpb.StoredOutcome
	history *history
	reason  string
	// item and server are the identifiers of the item and of its server, and content is the
	// fingerprint of the item's request. They are for the log.
	item    string
	server  string
	content fingerprint.Fingerprint
	// parts are the fingerprints of the parts of the item's prompt.
	parts []fingerprint.Fingerprint
	// configuration is the number of the configuration by which an item was given up without an attempt.
	configuration uint64
}

// executor runs the items of one shard while this store leads it. Its fields belong to one
// goroutine; each attempt runs in a goroutine of its own and sends its result to that one.
type executor struct {
	store   *Store
	shard   uint32
	group   replica.Group
	machine *jobstore.Machine

	term uint64
	// claims holds the items that are running or whose results are being recorded.
	claims  *claims.Table
	history map[claims.Key]*history
	// active holds the attempts in progress.
	active map[claims.Key]*activeAttempt
	// paces holds statistics of item run times, by service.
	paces map[string]*backlog.RunTimeEstimator
	// dueCheck gets the open items of the shard; nil in tests.
	dueCheck *dueCheck
	// recentlyEnded holds items that still count as running, since other leaders learn of their
	// end with a delay.
	recentlyEnded []endedItem
	// shares is the result of the last scheduling pass, and heldBackLoggedAt is when a tenant
	// with items held back was last logged.
	shares           tenantShares
	heldBackLoggedAt time.Time
	ended            chan attemptResult
	// runs numbers the runs whose progress is recorded.
	runs output.RunCounter
	// historyTerm is the term that the histories belong to.
	historyTerm uint64
	// lastProgress is when progress was last recorded. recordingProgress is set while a record
	// is in flight, the end of which is signaled on progressDone.
	lastProgress      time.Time
	recordingProgress bool
	progressDone      chan struct{}
	// transfers receives planned transfers of the shard, and pendingTransfers holds those that
	// wait for progress to be recorded.
	transfers        <-chan leadershipTransfer
	pendingTransfers []leadershipTransfer
	// outcomes holds the outcomes of attempts that are not recorded yet.
	outcomes map[claims.Key]*pendingOutcome
	// lapsedAt is when the lease lapsed; zero while it is valid.
	lapsedAt time.Time
	lastDrop time.Time
	moves    jobMoves
	// ends passes the ends of jobs on to other shards.
	ends endedJobs
	// trial is the last claim of an item whose parts are held; nil if there is none.
	trial *itemTrial
}

func (e *executor) run(ctx context.Context) {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for ctx.Err() == nil {
		applied := e.group.Applied()
		open := e.schedule(ctx)
		interval := idleInterval
		if open {
			interval = scheduleInterval
		}
		wake.Reset(interval)
		e.wait(ctx, wake.C, applied)
	}
	e.claims.Drop()
}

// wait blocks until the next scheduling pass is due. Meanwhile it preempts attempts for online
// requests and handles transfers.
func (e *executor) wait(ctx context.Context, wake <-chan time.Time, applied <-chan struct{}) {
	for {
		onlineWaiting := e.store.dispatcher.OnlineWaiting()
		select {
		case <-ctx.Done():
			return
		case <-wake:
			return
		case <-onlineWaiting:
			e.preempt(time.Now())
		case <-e.progressDone:
			e.recordingProgress = false
			e.recordForTransfers(ctx)
		case request := <-e.transfers:
			e.pendingTransfers = append(e.pendingTransfers, request)
			e.recordForTransfers(ctx)
		case <-applied:
			// Handle a burst of commands in one scheduling pass.
			retry.Pause(ctx, recordBatchDelay)
			return
		case ended := <-e.moves.ended:
			e.moveEnded(ended, time.Now())
			return
		case r := <-e.ended:
			e.finish(r)
			e.gatherResults(ctx)
			e.recordPending(ctx)
			return
		}
	}
}

// schedule starts items that can run and reports whether any items are open.
func (e *executor) schedule(ctx context.Context) bool {
	now := time.Now()
	if !e.updateLeadership(now) {
		if e.claims.Len() == 0 {
			return false
		}
		_ = e.group.ReadLocal(ctx, e.cancelStale)
		return true
	}
	due, movesDue, endsDue := e.progressDue(now), e.movesDue(now), e.endsDue(now)
	var open []jobstore.OpenItem
	var ended []jobstore.EndedJob
	var candidates []jobstore.MoveCandidate
	err := e.group.Read(ctx, func() {
		e.cancelStale()
		e.settleOutcomes()
		if due {
			e.dropEndedItems()
		}
		open = e.machine.OpenItems(e.unclaimed)
		if movesDue {
			candidates = e.machine.Moves(e.mayMove)
		}
		if endsDue {
			ended = e.machine.EndedJobs()
		}
	})
	if err != nil {
		// The open items are unknown, so other leaders must not reserve slots for the last
		// published ones.
		e.publishBatchLoad(nil, now)
		return false
	}
	if due {
		e.recordProgress(ctx, now)
	}
	e.dropExpired(ctx)
	if movesDue {
		e.moveJobs(ctx, candidates, now)
	}
	if endsDue {
		e.passEndsOn(ctx, ended, now)
	}
	slices.SortFunc(open, func(a, b jobstore.OpenItem) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	e.preempt(now)
	ordered, short := e.order(open, now)
	for _, item := range ordered {
		if e.cannotFit(item, now) {
			continue
		}
		if !e.process(ctx, item, now) {
			break
		}
	}
	e.publishBatchLoad(short, now)
	e.publishOpenWork(open, now)
	e.recordPending(ctx)
	return len(open) > 0 || e.claims.Len() > 0 || e.moves.leaving > 0
}

// updateLeadership reports whether this store leads the shard, and resets the executor's state
// if the lease or the term has changed.
func (e *executor) updateLeadership(now time.Time) bool {
	term, leading := e.group.Leading()
	if !leading {
		term = 0
	}
	if term != e.term {
		e.store.dispatcher.DropBatchLoad(e.shard)
		e.shares, e.recentlyEnded = newTenantShares(), nil
		e.term = term
		e.moves.reset(e.store, e.shard)
		e.ends.reset()
	}
	e.updateAttempts(leading, now)
	e.updateHistory(term)
	return leading
}

// attemptRetention is how long attempts continue after the lease has lapsed. A new leader is
// normally elected within this time.
const attemptRetention = 3 * time.Second

// updateAttempts drops the attempts and their unrecorded outcomes once another store may run
// the items. The lease of a busy leader may lapse for a moment: if its attempts ended then, the
// servers' work would be lost and failed attempts would not count.
func (e *executor) updateAttempts(leading bool, now time.Time) {
	if leading {
		e.lapsedAt = time.Time{}
		return
	}
	if e.lapsedAt.IsZero() {
		e.lapsedAt = now
	}
	if e.claims.Len() > 0 && (e.group.Following() || now.Sub(e.lapsedAt) > attemptRetention) {
		log.WithFields(log.Fields{"group": e.shard, "attempts": len(e.active), "outcomes": len(e.outcomes), "following": e.group.Following()}).
			Info("attempts of items are dropped: this store no longer leads their shard")
		e.claims.Drop()
		clear(e.active)
		clear(e.outcomes)
		e.revokeWriters()
	}
}

// unclaimed reports whether an item is neither running nor being recorded.
func (e *executor) unclaimed(job string, index uint32) bool {
	return !e.claims.Held(claims.NewKey(job, index))
}

// cancelStale cancels attempts of items that must no longer run.
func (e *executor) cancelStale() {
	e.claims.Cancel(func(key claims.Key) bool { return !e.machine.Runnable(key.Job(), key.Index()) })
}

// finish processes the end of an attempt or of the recording of its outcome.
func (e *executor) finish(r attemptResult) {
	if !e.claims.Current(r.claim) {
		if !r.recorded && r.unrecorded == nil {
			r.reason = "another store may lead its shard"
			logResult(r, nil, e.term)
		}
		return
	}
	key := r.claim.Key()
	active := e.active[key]
	delete(e.active, key)
	if active != nil {
		e.addEnded(e.backlogAttempt(active), time.Now())
	}
	if r.recorded || r.unrecorded != nil {
		e.recordingEnded(r)
		return
	}
	if active != nil && r.outcome == rockwindpb.StoredOutcome_STORED_OUTCOME_DONE {
		total := r.history.eventCount()
		e.pace(active.service).RecordRun(total-active.eventsBefore, total, active.choice.NormalizeDuration(time.Since(active.began)))
	}
	logResult(r, active, e.term)
	if r.outcome == rockwindpb.StoredOutcome_STORED_OUTCOME_UNSPECIFIED && !r.failed {
		e.claims.Release(r.claim)
		return
	}
	if e.outcomes == nil {
		e.outcomes = make(map[claims.Key]*pendingOutcome)
	}
	e.outcomes[key] = newPendingOutcome(r)
}
