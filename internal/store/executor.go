package store

import (
	"cmp"
	"context"
	"slices"
	"time"

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
	// scheduleInterval is the time between looks at a shard with open items.
	scheduleInterval = 40 * time.Millisecond
	// idleInterval is the time between looks at a shard without any.
	idleInterval = 500 * time.Millisecond
	// recordLinger is how long results are gathered before they are recorded.
	recordLinger = 8 * time.Millisecond
	// recordTimeout bounds one attempt to record results.
	recordTimeout = 2 * time.Second
	// dropInterval is the time between looks for jobs past their retention.
	dropInterval = 5 * time.Second
	// defaultRetention is how long jobs are kept where the settings do not say.
	defaultRetention = 10 * time.Minute
	// retentionMargin is how much longer than the settings say they are kept.
	retentionMargin = 10 * time.Second
)

// execute starts an executor for each shard as it appears.
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
		partings: s.partingsOf(shard),
		store:    s,
		shard:    shard,
		share:    newShare(),
		group:    replicated,
		machine:  s.machine(shard),
		claims:   claims.NewTable(),
		history:  make(map[claims.Key]*history),
		active:   make(map[claims.Key]*activeTry),
		paces:    make(map[string]*backlog.Pace),
		ended:    make(chan itemEnd, endBuffer),
		notes:    make(chan struct{}, 1),
	}
	e.run(ctx)
}

// endBuffer is how many ends of items may wait to be handled.
const endBuffer = 256

// itemEnd is the end of one try of an item. Outcome is unspecified where the item
// has to be tried again.
type itemEnd struct {
	claim claims.Claim
	// recorded tells that the state machine holds the item's result now, or its failure.
	recorded bool
	// failed tells that the server answered that the item failed.
	failed  bool
	outcome rockwindpb.StoredOutcome
	history *history
	reason  string
	// item and server are the identifiers of the item and of the server that had it, and
	// content identifies the item's request, for the log.
	item    string
	server  string
	content fingerprint.Fingerprint
}

// executor runs the items of one shard while this store leads it. One goroutine
// owns its fields; tries run on goroutines of their own and report their ends.
type executor struct {
	store   *Store
	shard   uint32
	group   replica.Group
	machine *jobstore.Machine

	term uint64
	// claims holds the items that run or whose results are on their way to the log.
	claims  *claims.Table
	history map[claims.Key]*history
	// active holds the tries in progress.
	active map[claims.Key]*activeTry
	// paces holds how long items take, by service.
	paces map[string]*backlog.Pace
	// left are the items whose runs ended a moment ago.
	left []leftItem
	// share is what the last look knew of the tenants' shares, and heldAt when it was last
	// written whose items leave room to those of others.
	share  share
	heldAt time.Time
	ended  chan itemEnd
	// runs numbers the runs whose progress is recorded.
	runs output.RunCounter
	// historyTerm is the term in which the histories were made.
	historyTerm uint64
	// noted is when the progress of items was last recorded, and noting tells that a record is
	// under way, whose end comes by notes.
	noted  time.Time
	noting bool
	notes  chan struct{}
	// partings tells that leading is about to end on plan, and parted are those that wait until
	// all that was received is recorded.
	partings <-chan parting
	parted   []parting
	// results wait to be recorded, by job, and failures are the claims of items whose failed
	// tries do.
	results  map[string][]pendingResult
	failures []claims.Claim
	dropped  time.Time
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
		e.await(ctx, wake.C, applied)
	}
	e.claims.Drop()
}

// await waits until there is reason for another look at the shard. Meanwhile tries give way
// as soon as online requests wait.
func (e *executor) await(ctx context.Context, wake <-chan time.Time, applied <-chan struct{}) {
	for {
		pressed := e.store.dispatcher.OnlineWaiting()
		select {
		case <-ctx.Done():
			return
		case <-wake:
			return
		case <-pressed:
			e.yield(time.Now())
		case <-e.notes:
			e.noting = false
			e.notePartings(ctx)
		case told := <-e.partings:
			e.parted = append(e.parted, told)
			e.notePartings(ctx)
		case <-applied:
			// One look for a burst of commands.
			retry.Pause(ctx, recordLinger)
			return
		case end := <-e.ended:
			e.finish(end)
			e.gather(ctx)
			e.record(ctx)
			return
		}
	}
}

// schedule starts what can be started, and tells whether items are open.
func (e *executor) schedule(ctx context.Context) bool {
	if !e.lead() {
		return false
	}
	now := time.Now()
	noting := e.noteDue(now)
	var open []jobstore.OpenItem
	err := e.group.Read(ctx, func() {
		e.cancelStale()
		if noting {
			e.forgetEnded()
		}
		open = e.machine.OpenItems(e.waits)
	})
	if err != nil {
		// What waits is not known: others would leave room to what was told last.
		e.tellShare(nil, now)
		return false
	}
	if noting {
		e.note(ctx, now)
	}
	e.dropExpired(ctx)
	slices.SortFunc(open, func(a, b jobstore.OpenItem) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	e.yield(now)
	ordered, short := e.order(open, now)
	for _, item := range ordered {
		if e.heldBack(item) {
			continue
		}
		if !e.begin(ctx, item, now) {
			break
		}
	}
	e.tellShare(short, now)
	e.record(ctx)
	return len(open) > 0 || e.claims.Len() > 0
}

// lead tells whether this store leads the shard, and drops what it has in hand where its lease
// has lapsed or its term changed.
func (e *executor) lead() bool {
	term, leading := e.group.Leading()
	if !leading {
		term = 0
	}
	if term != e.term {
		e.store.dispatcher.DropBatchLoad(e.shard)
		e.share, e.left = newShare(), nil
		e.claims.Drop()
		clear(e.active)
		e.term = term
		e.results, e.failures = nil, nil
	}
	e.keepHistory(term)
	return leading
}

// waits tells whether an item neither runs nor has a result on its way.
func (e *executor) waits(job string, index uint32) bool {
	return !e.claims.Held(claims.NewKey(job, index))
}

// cancelStale cancels the tries of items that must not run any more.
func (e *executor) cancelStale() {
	e.claims.Cancel(func(key claims.Key) bool { return !e.machine.Runnable(key.Job(), key.Index()) })
}

// finish takes the end of a try.
func (e *executor) finish(end itemEnd) {
	if !e.claims.Current(end.claim) {
		return
	}
	active := e.active[end.claim.Key()]
	delete(e.active, end.claim.Key())
	if active != nil {
		e.leave(e.backlogTry(active), time.Now())
	}
	if end.recorded {
		e.claims.Release(end.claim)
		return
	}
	if active != nil && end.outcome == rockwindpb.StoredOutcome_STORED_OUTCOME_DONE {
		whole := end.history.made()
		e.pace(active.service).Ended(whole-active.madeBefore, whole, active.choice.NormalizeDuration(time.Since(active.began)))
	}
	recordEnd(end, active, e.term)
	if end.outcome == rockwindpb.StoredOutcome_STORED_OUTCOME_UNSPECIFIED {
		if end.failed {
			e.failures = append(e.failures, end.claim)
			return
		}
		e.claims.Release(end.claim)
		return
	}
	key := end.claim.Key()
	result := &rockwindpb.StoredResult{Item: key.Index(), Outcome: end.outcome}
	if end.outcome == rockwindpb.StoredOutcome_STORED_OUTCOME_DONE {
		result.Text = end.history.output.Text()
	}
	if e.results == nil {
		e.results = make(map[string][]pendingResult)
	}
	e.results[key.Job()] = append(e.results[key.Job()], pendingResult{claim: end.claim, result: result})
}
