package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featurelevel"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// jobMoveService serves the targets of moves.
type jobMoveService struct{ store *Store }

// proposeStep replicates a step of a move.
func proposeStep(ctx context.Context, group replica.Group, step *rockwindpb.MoveJob) error {
	_, err := propose(ctx, group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Move{Move: step}})
	return err
}

// locate returns what the shard knows of a job. Only a leader answers.
func (s shard) locate(ctx context.Context, id string) (location jobstore.Location, err error) {
	if err := s.group.Read(ctx, func() { location = s.machine.Locate(id) }); err != nil {
		return jobstore.Location{}, notRunUnlessUnknown(err)
	}
	return location, nil
}

// Take implements rockwindpb.JobMoveService.
func (s jobMoveService) Take(ctx context.Context, request *rockwindpb.TakeJobRequest) (*rockwindpb.TakeJobResponse, error) {
	copied := request.GetJob()
	target, err := s.store.shardOf(copied.GetId(), request.GetRegion())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	if !s.store.moveGate.open(time.Now(), target.group.Status().GetMembership()) {
		return nil, fault.ToTwirp(fault.New(fault.Unavailable, "run this version on all stores", "not all stores have answered the feature level of job moves").
			WithRan(fault.NotRun))
	}
	// With an older configuration this store might move the job back.
	if _, err := s.store.limiter.configuration(copied.GetMove().GetConfiguration()); err != nil {
		return nil, fault.ToTwirp(err)
	}
	if _, err := propose(ctx, target.group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Stage{Stage: copied}}); err != nil {
		return nil, fault.ToTwirp(err)
	}
	target.awaitSynced(ctx)
	return &rockwindpb.TakeJobResponse{}, nil
}

// Finish implements rockwindpb.JobMoveService.
func (s jobMoveService) Finish(ctx context.Context, request *rockwindpb.FinishMoveRequest) (*rockwindpb.FinishMoveResponse, error) {
	target, err := s.store.shardOf(request.GetId(), request.GetRegion())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	if err := s.store.checkArrival(ctx, target, request.GetId()); err != nil {
		return nil, fault.ToTwirp(err)
	}
	location, err := target.locate(ctx, request.GetId())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.FinishMoveResponse{Finished: jobstore.MoveFinished(request.GetNumber(), location)}, nil
}

// FeatureLevel implements rockwindpb.JobMoveService.
func (s jobMoveService) FeatureLevel(context.Context, *rockwindpb.StoreFeatureLevelRequest) (*rockwindpb.StoreFeatureLevelResponse, error) {
	return &rockwindpb.StoreFeatureLevelResponse{Level: featurelevel.Current}, nil
}

// checkArrival activates or discards the copy of an arriving job if the source says so.
func (s *Store) checkArrival(ctx context.Context, target shard, id string) error {
	copied, err := target.locate(ctx, id)
	if err != nil || copied.Move.GetState() != rockwindpb.JobMoveState_JOB_MOVE_STATE_ARRIVING {
		return err
	}
	source, err := s.limiter.client.Locate(ctx, copied.Move.GetRegion(), id)
	if err != nil {
		return err
	}
	step := jobstore.CheckArrival(id, copied.Move, source)
	if step == nil {
		return nil
	}
	if err := proposeStep(ctx, target.group, step); err != nil && !fault.Is(err, fault.Stale) {
		return err
	}
	if step.GetStep() == rockwindpb.MoveStep_MOVE_STEP_ACTIVATE {
		logMove(decision.JobArrived, id, target.number, copied.Move, log.Fields{"source": copied.Move.GetRegion()})
	}
	return nil
}

// minimumLevel returns the feature level that a store needs to join a shard. One that does not know moves would
// start items of jobs that have moved.
func (s *Store) minimumLevel(group uint32) uint32 {
	if machine := s.machine(group); machine != nil && machine.HasMoves() {
		return featurelevel.JobMoves
	}
	return 0
}

const (
	// levelInterval is the time between questions for the feature levels of the stores.
	levelInterval = 10 * time.Second
	// closedInterval is that time while the gate is closed.
	closedInterval = time.Second
	// levelCheckInterval is the time between checks whether to ask.
	levelCheckInterval = time.Second
)

// levelAsker asks stores for their feature levels.
type levelAsker interface {
	FeatureLevel(ctx context.Context, address string) (level uint32, known bool)
}

// moveGate reports whether all stores know the commands of moves. Stores ask each other, since the levels in the
// directory are those of the founding. It is safe for concurrent use.
type moveGate struct {
	asker  levelAsker
	stores func() []*rockwindpb.Machine

	mutex   sync.Mutex
	levels  *featurelevel.Levels
	askedAt time.Time
	asking  bool
}

func newMoveGate(asker levelAsker, stores func() []*rockwindpb.Machine) *moveGate {
	return &moveGate{asker: asker, stores: stores}
}

// open reports whether all stores of the directory and all members of a shard have answered a level that includes
// moves. A member that is down may not be listed in the directory and return later. It asks in the background, so it is
// closed at the first call.
func (g *moveGate) open(now time.Time, members *rockwindpb.Membership) bool {
	stores := g.stores()
	names := make([]string, 0, len(stores))
	for _, store := range stores {
		names = append(names, store.GetName())
	}
	for _, member := range members.GetMembers() {
		if !member.GetWitness() {
			names = append(names, member.GetMachine())
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	isOpen := g.levels.Open(featurelevel.JobMoves, names)
	interval := levelInterval
	if !isOpen {
		interval = closedInterval
	}
	if !g.asking && (g.askedAt.IsZero() || now.Sub(g.askedAt) >= interval) {
		g.asking = true
		go g.ask(stores, now)
	}
	return isOpen
}

// missing lists the stores of the directory that have not answered a level that includes moves.
func (g *moveGate) missing() []string {
	var names []string
	for _, store := range g.stores() {
		names = append(names, store.GetName())
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.levels.Missing(featurelevel.JobMoves, names)
}

// followLevels keeps the feature levels of the stores known while the configuration names a region: a store that is
// down when a move is needed would delay it.
func (s *Store) followLevels(ctx context.Context) {
	if !s.regions.MultiRegion() {
		return
	}
	var missing []string
	for retry.Pause(ctx, levelCheckInterval) {
		if len(s.watcher.Directory().RegionalShards()) == 0 || !s.watcher.Initialized() || len(s.watcher.Configuration().RegionSets()) == 0 {
			continue
		}
		s.moveGate.open(time.Now(), nil)
		if now := s.moveGate.missing(); !slices.Equal(now, missing) {
			missing = now
			log.WithField("stores", missing).WithField("level", featurelevel.JobMoves).Info("stores without the feature level of job moves")
		}
	}
}

// ask asks all stores. The level of one that does not answer stays as it was.
func (g *moveGate) ask(stores []*rockwindpb.Machine, now time.Time) {
	var asked sync.WaitGroup
	for _, store := range stores {
		asked.Go(func() {
			level, known := g.asker.FeatureLevel(context.Background(), store.GetAddress())
			if !known {
				return
			}
			g.mutex.Lock()
			defer g.mutex.Unlock()
			g.levels = g.levels.With(store.GetName(), level)
		})
	}
	asked.Wait()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.asking, g.askedAt = false, now
}

// movingJobs holds the numbers of moving jobs of the shards that this store leads, for the metrics.
type movingJobs struct {
	mutex   sync.Mutex
	byShard map[uint32]map[string]int
}

func newMovingJobs() *movingJobs { return &movingJobs{byShard: make(map[uint32]map[string]int)} }

// set replaces the numbers of a shard by state.
func (m *movingJobs) set(shard uint32, counts map[string]int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.byShard[shard] = counts
}

// counts returns the numbers by state over all shards.
func (m *movingJobs) counts() map[string]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	sum := make(map[string]int)
	for _, counts := range m.byShard {
		for state, count := range counts {
			sum[state] += count
		}
	}
	return sum
}
