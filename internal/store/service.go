package store

import (
	"context"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/store/contact"
)

// Limits of reads.
const (
	maximumWait      = 5 * time.Second
	defaultReadBytes = 700 << 10
)

// jobStoreService serves requests for the jobs of the shards that this store leads.
type jobStoreService struct{ store *Store }

// shard is a shard that this store replicates.
type shard struct {
	number  uint32
	group   replica.Group
	machine *jobstore.Machine
}

func (s *Store) shard(number uint32) (shard, error) {
	group, running := s.host.Group(number)
	if !running {
		return shard{}, notReplicated(number)
	}
	return shard{number: number, group: group, machine: s.machine(number)}, nil
}

// shards returns the number of ordinary shards of the site, or zero before the cluster is
// bootstrapped.
func (s *Store) shards() int { return s.watcher.Directory().Shards() }

// shardOf returns a job's shard: that of the region, or the ordinary one if the region is empty.
func (s *Store) shardOf(job, region string) (shard, error) {
	view := s.watcher.Directory()
	if view.Shards() == 0 {
		return shard{}, clusterUnknown()
	}
	if region == "" {
		return s.shard(jobstore.ShardOf(job, view.Shards()))
	}
	number, found := view.RegionalShard(region)
	if !found {
		return shard{}, fault.Newf(fault.Unavailable, "found the site with a store in the region", "region %s has no shard", region).WithRan(fault.NotRun)
	}
	return s.shard(number)
}

func notReplicated(shard uint32) error {
	return fault.Newf(fault.NotLeader, "ask another store", "this store does not replicate shard %d", shard).
		WithRan(fault.NotRun).WithRetryAfter(notReplicatedRetryAfter)
}

func clusterUnknown() error {
	return fault.New(fault.Unavailable, "the cluster of stores is not known yet", "try again later").WithRan(fault.NotRun)
}

// propose replicates a command and returns its outcome.
func propose(ctx context.Context, group replica.Group, command *rockwindpb.JobStoreCommand) (jobstore.Outcome, error) {
	command.NowUnixMs = time.Now().UnixMilli()
	encoded, err := proto.Marshal(command)
	if err != nil {
		return jobstore.Outcome{}, err
	}
	result, err := group.Propose(ctx, encoded)
	if err != nil {
		return jobstore.Outcome{}, notRunUnlessUnknown(err)
	}
	outcome, ok := result.(jobstore.Outcome)
	if !ok {
		return jobstore.Outcome{}, fault.Newf(fault.Internal, "report this", "unexpected result of a shard command: %T", result)
	}
	if outcome.Fault != nil {
		return outcome, outcome.Fault
	}
	return outcome, nil
}

// notRunUnlessUnknown marks the error of a proposal as not run, unless its outcome is unknown.
func notRunUnlessUnknown(err error) error {
	failure := fault.From(err)
	if failure.Kind == fault.OutcomeUnknown || failure.Kind == fault.Internal {
		return failure.WithRan(fault.RanUnknown)
	}
	return failure.WithRan(fault.NotRun)
}

// Submit implements rockwindpb.JobStoreService.
func (s jobStoreService) Submit(ctx context.Context, request *rockwindpb.SubmitStoredJobRequest) (*rockwindpb.SubmitStoredJobResponse, error) {
	job := request.GetJob()
	jobShard, err := s.store.shardOf(job.GetId(), request.GetRegion())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	checked, err := s.store.checkDue(ctx, jobShard, request)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	admitted, err := s.store.limiter.admit(ctx, jobShard, request)
	if err != nil {
		checked.finish(fault.From(err).WithRan(fault.NotRun))
		return nil, fault.ToTwirp(err)
	}
	outcome, err := propose(ctx, jobShard.group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: job}})
	admitted.finish(err)
	checked.finish(err)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	if request.GetRegion() != "" {
		jobShard.awaitSynced(ctx)
	}
	return &rockwindpb.SubmitStoredJobResponse{Resent: outcome.Resent}, nil
}

// regionSyncTimeout bounds the wait for the replicas of a regional shard beyond a quorum. A sync takes
// some milliseconds.
const regionSyncTimeout = 100 * time.Millisecond

// awaitSynced waits until all replicas that the leader is in contact with have synced a committed
// job. A region may have only three stores, so a quorum alone would not survive the loss of two
// disks. After regionSyncTimeout a quorum suffices.
func (s shard) awaitSynced(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, regionSyncTimeout)
	defer cancel()
	if err := s.group.AwaitSynced(ctx); err != nil {
		log.WithError(err).WithField("shard", s.number).Warn("a job is acknowledged by a quorum only")
	}
}

// Find implements rockwindpb.JobStoreService.
func (s jobStoreService) Find(ctx context.Context, request *rockwindpb.FindStoredJobRequest) (*rockwindpb.FindStoredJobResponse, error) {
	jobShard, err := s.store.shardOf(request.GetId(), request.GetRegion())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	location, err := jobShard.locate(ctx, request.GetId())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	response := &rockwindpb.FindStoredJobResponse{Found: location.Here, Digest: location.Digest, Move: location.Move}
	switch {
	case location.Moved && request.GetFollowMoves():
		response.Moved = true
	case location.Moved:
		// The caller would report a job as unknown that the target has not activated yet.
		response.Found = !location.Move.GetConfirmed()
	}
	return response, nil
}

// Read implements rockwindpb.JobStoreService. It waits until there is a result at the position,
// up to the time in the request.
func (s jobStoreService) Read(ctx context.Context, request *rockwindpb.ReadStoredJobRequest) (*rockwindpb.ReadStoredJobResponse, error) {
	jobShard, err := s.store.shardOf(request.GetId(), request.GetRegion())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	response, err := jobShard.awaitResults(ctx, request, s.store.contacts)
	return response, fault.ToTwirp(err)
}

// awaitResults returns the results of a job from a position on as soon as there is one, or none after the
// time in the request.
func (s shard) awaitResults(ctx context.Context, request *rockwindpb.ReadStoredJobRequest, known *contacts) (*rockwindpb.ReadStoredJobResponse, error) {
	limit := time.NewTimer(min(time.Duration(request.GetWaitMs())*time.Millisecond, maximumWait))
	defer limit.Stop()
	// A follower that waits looks at its contact with the leader again and again.
	var recheck <-chan time.Time
	if request.GetFollowerMayAnswer() {
		ticker := time.NewTicker(contact.MaxSilence)
		defer ticker.Stop()
		recheck = ticker.C
	}
	for waiting := true; ; {
		applied := s.group.Applied()
		response, err := s.read(ctx, request, known)
		if err != nil {
			return nil, err
		}
		if !waiting || len(response.GetResults()) > 0 || request.GetFrom() >= response.GetTotal() {
			return response, nil
		}
		select {
		case <-applied:
		case <-recheck:
		case <-limit.C:
			waiting = false
		case <-ctx.Done():
			return nil, fault.New(fault.Unavailable, "the wait for results was interrupted", "ask again")
		}
	}
}

// read returns the current results of a job from the state of the leader or, if the request accepts
// that, of a follower.
func (s shard) read(ctx context.Context, request *rockwindpb.ReadStoredJobRequest, known *contacts) (*rockwindpb.ReadStoredJobResponse, error) {
	if _, leading := s.group.Leading(); request.GetFollowerMayAnswer() && !leading {
		return s.followerResults(ctx, request, known)
	}
	return s.results(ctx, request)
}

// readBytes returns the bound of the results' text in a response.
func readBytes(request *rockwindpb.ReadStoredJobRequest) int {
	if maximum := int(request.GetMaximumBytes()); maximum > 0 {
		return maximum
	}
	return defaultReadBytes
}

// results returns the current results of a job from a position on.
func (s shard) results(ctx context.Context, request *rockwindpb.ReadStoredJobRequest) (response *rockwindpb.ReadStoredJobResponse, failure error) {
	err := s.group.Read(ctx, func() {
		response, failure = s.machine.Read(request.GetId(), request.GetTenant(), request.GetFrom(), readBytes(request))
	})
	if err != nil {
		return nil, notRunUnlessUnknown(err)
	}
	return response, failure
}

// ReadBody implements rockwindpb.JobStoreService.
func (s jobStoreService) ReadBody(ctx context.Context, request *rockwindpb.ReadItemBodyRequest) (*rockwindpb.ReadItemBodyResponse, error) {
	jobShard, err := s.store.shardOf(request.GetJob(), request.GetRegion())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	response := &rockwindpb.ReadItemBodyResponse{}
	var failure error
	err = jobShard.group.Read(ctx, func() {
		response.Body, failure = jobShard.machine.Body(request.GetJob(), request.GetTenant(), request.GetItem())
	})
	if err != nil {
		return nil, fault.ToTwirp(notRunUnlessUnknown(err))
	}
	return response, fault.ToTwirp(failure)
}

// End implements rockwindpb.JobStoreService.
func (s jobStoreService) End(ctx context.Context, request *rockwindpb.EndStoredJobRequest) (*rockwindpb.EndStoredJobResponse, error) {
	jobShard, err := s.store.shardOf(request.GetId(), request.GetRegion())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	_, err = propose(ctx, jobShard.group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_End{
		End: &rockwindpb.EndStoredJobRequest{Id: request.GetId(), Tenant: request.GetTenant()},
	}})
	return &rockwindpb.EndStoredJobResponse{}, fault.ToTwirp(err)
}
