package store

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/jobclient"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/topology"
)

const (
	// maxMoves is the number of jobs that the leader of a shard moves at the same time. Most of them wait for running
	// items; a store copies one job at a time.
	maxMoves = 4
	// moveInterval is the time between searches for jobs that must move.
	moveInterval = 500 * time.Millisecond
	// moveHoldoff is the time from a new configuration to the first move by it. A configuration is in force on all
	// machines within 2.5 to 3 s; before that, the target would refuse the copy and routers would use the old place.
	moveHoldoff = 3 * time.Second
	// copyTimeout bounds the copy of a job to its target. The job starts no items meanwhile.
	copyTimeout = 2 * time.Second
	// moveStepTimeout bounds the other steps of a move.
	moveStepTimeout = 2 * time.Second
	// progressWait is how long a move waits for the progress of ended attempts to be recorded. It is recorded every
	// 500 ms, and what is lost is generated again.
	progressWait = 2 * time.Second
	// arrivalInterval is the time between questions to the source about a copy. Normally the source asks first.
	arrivalInterval = 5 * time.Second
	// firstBackoff and maxBackoff bound the time without new moves to a region after a failed copy.
	firstBackoff = 5 * time.Second
	maxBackoff   = time.Minute
)

// jobMoves is what the leader of a shard knows about moves in its term. It belongs to the executor's goroutine.
type jobMoves struct {
	jobs map[string]*jobMove
	// blocked holds the backoffs of target regions, and of jobs that a target has refused.
	blocked map[string]backoff
	// lastSearch is when jobs were last searched, and urgent requests a search at the next pass.
	lastSearch time.Time
	urgent     bool
	// leaving is the number of leaving jobs at the last search.
	leaving int
	// configuration is the number of the configuration in force, since is when this leader saw it first, and restricts
	// reports that it names a region.
	configuration uint64
	since         time.Time
	restricts     bool
	// mayBegin reports that all stores know moves and that the configuration is known to be the newest.
	mayBegin bool
	// region is that of the shard, and regions caches the allowed regions during a search.
	region  string
	regions map[itemOwner]topology.RegionSet
	ended   chan moveEnded
}

// jobMove is what the leader of a shard knows about the move of one job.
type jobMove struct {
	// busy is set while a step is in progress.
	busy       bool
	copyFailed bool
	finished   bool
	// quietSince is since when no item of the job is running.
	quietSince time.Time
	// markedAt is when this leader first saw the mark of the move, and checkedAt when it last asked the source.
	markedAt, checkedAt time.Time
}

// backoff is a time without moves after a failure.
type backoff struct {
	until    time.Time
	duration time.Duration
}

// moveEnded is the end of a step in progress.
type moveEnded struct {
	term   uint64
	id     string
	action jobstore.MoveAction
	// target is the region of the target.
	target string
	// finished reports that the target does not need the mark any more.
	finished bool
	err      error
}

// movesBuffer is the capacity of the channel of ended steps.
const movesBuffer = 16

func newJobMoves() jobMoves {
	return jobMoves{jobs: make(map[string]*jobMove), blocked: make(map[string]backoff), ended: make(chan moveEnded, movesBuffer)}
}

// reset forgets what was known in an earlier term.
func (m *jobMoves) reset(s *Store, shard uint32) {
	clear(m.jobs)
	m.leaving = 0
	s.movingJobs.set(shard, nil)
}

// of returns what is known of the move of a job.
func (m *jobMoves) of(id string) *jobMove {
	known := m.jobs[id]
	if known == nil {
		known = &jobMove{}
		m.jobs[id] = known
	}
	return known
}

// block delays moves to a region or of a job after a failure.
func (m *jobMoves) block(key string, first time.Duration, now time.Time) {
	duration := min(max(first, 2*m.blocked[key].duration), maxBackoff)
	m.blocked[key] = backoff{until: now.Add(duration), duration: duration}
}

func (m *jobMoves) mayTry(key string, now time.Time) bool { return !now.Before(m.blocked[key].until) }

// targetKey and jobKey are keys of jobMoves.blocked.
func targetKey(region string) string { return "region\x00" + region }
func jobKey(id string) string        { return "job\x00" + id }

// movesDue reports whether to search for jobs that move now. Sites without regional shards have none.
func (e *executor) movesDue(now time.Time) bool {
	if !e.store.regions.MultiRegion() {
		return false
	}
	view := e.store.watcher.Directory()
	if len(view.RegionalShards()) == 0 || !e.store.watcher.Initialized() {
		return false
	}
	interval := moveInterval
	if e.moves.leaving > 0 {
		interval = scheduleInterval
	}
	if !e.moves.urgent && now.Sub(e.moves.lastSearch) < interval {
		return false
	}
	e.moves.urgent, e.moves.lastSearch = false, now
	e.moves.region, e.moves.regions = view.ShardRegion(e.shard), make(map[itemOwner]topology.RegionSet)
	if index := e.store.watcher.Configuration(); index.Number() != e.moves.configuration {
		e.moves.configuration, e.moves.since, e.moves.restricts = index.Number(), now, len(index.RegionSets()) > 0
	}
	e.moves.mayBegin = e.moves.restricts && e.store.watcher.ConfigurationAge() <= site.MaxConfigurationAge &&
		e.store.moveGate.open(now, e.group.Status().GetMembership())
	return true
}

// mayMove reports whether jobs of an address and a tenant may not stay in this shard.
func (e *executor) mayMove(host, path, tenant string) bool {
	allowed := e.storageRegions(host, path, tenant)
	return allowed.Restricted() && (e.moves.region == "" || !allowed.Allows(e.moves.region))
}

// storageRegions returns the regions in which a job may be stored. Jobs without a route are not restricted: their
// items are given up.
func (e *executor) storageRegions(host, path, tenant string) topology.RegionSet {
	index := e.store.watcher.Configuration()
	route, found := index.Route(host, path)
	if !found || route.GetKind() != rockwindpb.RouteKind_ROUTE_KIND_BATCH {
		return topology.RegionSet{}
	}
	owner := itemOwner{route: route, tenant: tenant}
	allowed, known := e.moves.regions[owner]
	if !known {
		owning, _ := index.Tenant(tenant)
		allowed = index.AllowedRegions(route, owning)
		e.moves.regions[owner] = allowed
	}
	return allowed
}

// moveJobs takes the next step of each job that moves and begins further moves.
func (e *executor) moveJobs(ctx context.Context, candidates []jobstore.MoveCandidate, now time.Time) {
	slices.SortFunc(candidates, func(a, b jobstore.MoveCandidate) int {
		return cmp.Or(cmp.Compare(e.moveRank(a), e.moveRank(b)), cmp.Compare(a.ID, b.ID))
	})
	known := make(map[string]*jobMove, len(candidates))
	counts := map[string]int{"leaving": 0, "arriving": 0, "moved": 0}
	inProgress := 0
	for _, candidate := range candidates {
		state := e.moves.of(candidate.ID)
		known[candidate.ID] = state
		switch {
		case candidate.Leaving():
			counts["leaving"]++
			inProgress++
		case candidate.Arriving():
			counts["arriving"]++
		case candidate.Moved():
			counts["moved"]++
			if !state.finished {
				inProgress++
			}
		}
	}
	for _, candidate := range candidates {
		state := known[candidate.ID]
		if state.busy {
			continue
		}
		if candidate.Arriving() {
			e.checkArrivalLater(ctx, candidate, state, now)
			continue
		}
		switch action := jobstore.NextMoveAction(e.moveFacts(candidate, state, inProgress, now)); action {
		case jobstore.MoveNothing:
		case jobstore.MoveBegin:
			inProgress++
			e.startMoveStep(ctx, candidate, state, action)
		default:
			e.startMoveStep(ctx, candidate, state, action)
		}
	}
	e.moves.jobs, e.moves.leaving = known, counts["leaving"]
	for key, each := range e.moves.blocked {
		if now.Sub(each.until) > maxBackoff {
			delete(e.moves.blocked, key)
		}
	}
	e.store.movingJobs.set(e.shard, counts)
}

// moveRank orders jobs: moves in progress first, then jobs with waiting items only, which the move delays least, then
// those without open items, then those with running items.
func (e *executor) moveRank(candidate jobstore.MoveCandidate) int {
	switch {
	case candidate.Leaving() || candidate.Arriving() || candidate.Moved():
		return 0
	case e.claims.HeldBy(candidate.ID):
		return 3
	case candidate.Open:
		return 1
	}
	return 2
}

// moveFacts returns what the decision about a job of this shard depends on.
func (e *executor) moveFacts(candidate jobstore.MoveCandidate, state *jobMove, inProgress int, now time.Time) jobstore.MoveFacts {
	facts := jobstore.MoveFacts{
		Move: candidate.Move, Configuration: e.moves.configuration, CopyFailed: state.copyFailed, Finished: state.finished,
	}
	if candidate.Moved() {
		if state.markedAt.IsZero() {
			state.markedAt = now
		}
		facts.MovedFor = now.Sub(state.markedAt)
		return facts
	}
	if e.mayMove(candidate.Host, candidate.Path, candidate.Tenant) {
		allowed := e.storageRegions(candidate.Host, candidate.Path, candidate.Tenant)
		facts.Target, facts.MustMove = jobclient.TargetRegion(e.store.watcher.Directory(), candidate.ID, allowed)
	}
	if candidate.Leaving() {
		// After a failed copy, other jobs do not wait for the same target.
		facts.CopyFailed = facts.CopyFailed || !e.moves.mayTry(targetKey(candidate.Move.GetRegion()), now)
		facts.Quiet = e.quiet(candidate.ID, state, now)
		return facts
	}
	facts.MayBegin = facts.MustMove && e.moves.mayBegin && e.moves.configuration >= candidate.Configuration && e.store.gates.On(featuregate.JobMoves) && inProgress < maxMoves &&
		now.Sub(e.moves.since) >= moveHoldoff && e.moves.mayTry(targetKey(facts.Target), now) && e.moves.mayTry(jobKey(candidate.ID), now)
	return facts
}

// quiet reports whether no item of a job is running or being recorded, and its progress is recorded.
func (e *executor) quiet(id string, state *jobMove, now time.Time) bool {
	if e.claims.HeldBy(id) {
		state.quietSince = time.Time{}
		return false
	}
	if state.quietSince.IsZero() {
		state.quietSince = now
	}
	if !e.store.gates.On(featuregate.ItemProgress) || now.Sub(state.quietSince) >= progressWait {
		return true
	}
	for key, h := range e.history {
		if key.Job() != id {
			continue
		}
		if _, found := h.output.Unrecorded(); found {
			return false
		}
	}
	return true
}

// startMoveStep takes a step of a move in a goroutine of its own.
func (e *executor) startMoveStep(ctx context.Context, candidate jobstore.MoveCandidate, state *jobMove, action jobstore.MoveAction) {
	ended := moveEnded{term: e.term, id: candidate.ID, action: action, target: candidate.Move.GetRegion()}
	var step func(ctx context.Context) (finished bool, err error)
	switch action {
	case jobstore.MoveBegin:
		ended.target, _ = jobclient.TargetRegion(e.store.watcher.Directory(), candidate.ID, e.storageRegions(candidate.Host, candidate.Path, candidate.Tenant))
		step = e.proposeMove(jobstore.BeginMove(candidate.ID, candidate.Move, ended.target, e.moves.configuration))
	case jobstore.MoveAbort:
		step = e.proposeMove(jobstore.AbortMove(candidate.ID, candidate.Move))
	case jobstore.MoveCopy:
		step = e.copyAndMark(ctx, candidate)
	case jobstore.MoveFinish:
		step = func(ctx context.Context) (bool, error) { return e.finishMove(ctx, candidate.ID, candidate.Move) }
	case jobstore.MoveConfirm:
		step = e.proposeMove(jobstore.ConfirmMove(candidate.ID, candidate.Move))
	}
	if step == nil {
		return
	}
	state.busy = true
	go func() {
		stepCtx, cancel := context.WithTimeout(ctx, copyTimeout+moveStepTimeout)
		defer cancel()
		ended.finished, ended.err = step(stepCtx)
		select {
		case e.moves.ended <- ended:
		case <-ctx.Done():
		}
	}()
}

// proposeMove returns a step that proposes a command.
func (e *executor) proposeMove(step *rockwindpb.MoveJob) func(ctx context.Context) (bool, error) {
	return func(ctx context.Context) (bool, error) { return false, proposeStep(ctx, e.group, step) }
}

// errRecordedFirst ends a copy before which failures of items had to be recorded.
var errRecordedFirst = fault.New(fault.Stale, "copy the job again", "failed attempts were recorded before the copy")

// copyAndMark returns a step that brings a copy of a leaving job to its target, marks the job as moved and lets the
// target activate it. It returns nil if the job is not leaving.
func (e *executor) copyAndMark(ctx context.Context, candidate jobstore.MoveCandidate) func(ctx context.Context) (bool, error) {
	var copied *rockwindpb.StoredJob
	err := e.group.Read(ctx, func() { copied = e.machine.CopyForMove(candidate.ID, e.moves.region) })
	if err != nil || copied == nil {
		return nil
	}
	target, unrecorded := candidate.Move.GetRegion(), e.unrecordedFailures(copied)
	return func(ctx context.Context) (bool, error) {
		for _, failure := range unrecorded {
			_, err := propose(ctx, e.group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Failure{Failure: failure}})
			if err != nil {
				return false, err
			}
		}
		if len(unrecorded) > 0 {
			return false, errRecordedFirst
		}
		if err := e.store.takeAlone(ctx, target, copied); err != nil {
			return false, err
		}
		if err := proposeStep(ctx, e.group, jobstore.MarkMoved(candidate.ID, copied.GetMove())); err != nil {
			return false, err
		}
		logMove(decision.JobMoved, candidate.ID, e.shard, copied.GetMove(), log.Fields{
			"target": target, "items": len(copied.GetItems()), "results": len(copied.GetResults()),
		})
		finished, err := e.finishMove(ctx, candidate.ID, &rockwindpb.JobMove{Region: target, Number: copied.GetMove().GetNumber()})
		return finished, err
	}
}

// takeAlone brings a copy to its target when no other job is being copied.
func (s *Store) takeAlone(ctx context.Context, target string, copied *rockwindpb.StoredJob) error {
	select {
	case s.copying <- struct{}{}:
		defer func() { <-s.copying }()
	case <-ctx.Done():
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	if err := s.limiter.client.Take(ctx, target, copied); err != nil {
		return copyError{err}
	}
	return nil
}

// copyError is the failure of a target to take a copy.
type copyError struct{ error }

// unrecordedFailures returns the failed attempts of a job's items that could not be recorded. They count for the
// attempts that remain, also at the target.
func (e *executor) unrecordedFailures(copied *rockwindpb.StoredJob) []*rockwindpb.RecordFailure {
	recorded, hasResult := make(map[uint32]int), make(map[uint32]bool)
	for _, failures := range copied.GetFailures() {
		recorded[failures.GetItem()] = int(failures.GetCount())
	}
	for _, result := range copied.GetResults() {
		hasResult[result.GetItem()] = true
	}
	var missing []*rockwindpb.RecordFailure
	for key, h := range e.history {
		if key.Job() != copied.GetId() || hasResult[key.Index()] {
			continue
		}
		for range h.failures - recorded[key.Index()] {
			missing = append(missing, &rockwindpb.RecordFailure{Job: copied.GetId(), Item: key.Index()})
		}
	}
	return missing
}

// finishMove asks the target to activate a move.
func (e *executor) finishMove(ctx context.Context, id string, move *rockwindpb.JobMove) (finished bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, moveStepTimeout)
	defer cancel()
	return e.store.limiter.client.FinishMove(ctx, move.GetRegion(), id, move.GetNumber())
}

// moveEnded processes the end of a step.
func (e *executor) moveEnded(ended moveEnded, now time.Time) {
	if ended.term != e.term {
		return
	}
	// A job that may stay after an aborted move is not known any more.
	state := e.moves.of(ended.id)
	state.busy, e.moves.urgent = false, true
	state.finished = state.finished || ended.finished
	fields := log.Fields{"target": ended.target, "shard": e.shard}
	refused, isCopy := ended.err.(copyError)
	switch {
	case isCopy:
		state.copyFailed = true
		fields["reason"] = refused.Error()
		if kind := fault.From(refused.error).Kind; kind == fault.Conflict || kind == fault.Stale {
			e.moves.block(jobKey(ended.id), maxBackoff, now)
		} else {
			e.moves.block(targetKey(ended.target), firstBackoff, now)
		}
		decision.Default.Record(decision.JobMoveAborted, ended.id, fields)
	case ended.err != nil:
		// The next search decides again. A pause keeps a leader whose proposals fail from repeating them.
		e.moves.urgent = false
		log.WithError(ended.err).WithField("job", ended.id).WithField("shard", e.shard).Debug("a step of a job's move failed")
	case ended.action == jobstore.MoveBegin:
		fields["config"] = e.moves.configuration
		state.copyFailed, state.finished, state.quietSince, state.markedAt = false, false, time.Time{}, time.Time{}
		decision.Default.Record(decision.JobMoveBegan, ended.id, fields)
	case ended.action == jobstore.MoveAbort:
		if !state.copyFailed {
			fields["reason"] = "the allowed regions have changed"
			decision.Default.Record(decision.JobMoveAborted, ended.id, fields)
		}
		state.copyFailed = false
	case ended.action == jobstore.MoveCopy:
		delete(e.moves.blocked, targetKey(ended.target))
	}
}

// checkArrivalLater asks the source about a copy that has not been activated for some time: its leader may have
// aborted the move.
func (e *executor) checkArrivalLater(ctx context.Context, candidate jobstore.MoveCandidate, state *jobMove, now time.Time) {
	if state.checkedAt.IsZero() {
		state.checkedAt = now
	}
	if now.Sub(state.checkedAt) < arrivalInterval {
		return
	}
	state.checkedAt, state.busy = now, true
	here := shard{number: e.shard, group: e.group, machine: e.machine}
	term := e.term
	go func() {
		stepCtx, cancel := context.WithTimeout(ctx, moveStepTimeout)
		defer cancel()
		err := e.store.checkArrival(stepCtx, here, candidate.ID)
		select {
		case e.moves.ended <- moveEnded{term: term, id: candidate.ID, err: err}:
		case <-ctx.Done():
		}
	}()
}

// logMove records a decision about a move.
func logMove(kind decision.Kind, id string, shard uint32, move *rockwindpb.JobMove, fields log.Fields) {
	fields["shard"], fields["move"], fields["config"] = shard, move.GetNumber(), move.GetConfiguration()
	decision.Default.Record(kind, id, fields)
}
