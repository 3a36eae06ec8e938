package store

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
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

// shards returns the number of shards of the site, or zero before the cluster is bootstrapped.
func (s *Store) shards() int {
	view := s.watcher.Directory()
	if view == nil {
		return 0
	}
	return len(view.StoreCluster().GetGroups())
}

// shardOf returns a job's shard.
func (s *Store) shardOf(job string) (shard, error) {
	shards := s.shards()
	if shards == 0 {
		return shard{}, clusterUnknown()
	}
	return s.shard(jobstore.ShardOf(job, shards))
}

func notReplicated(shard uint32) error {
	return fault.Newf(fault.NotLeader, "ask another store", "this store does not replicate shard %d", shard).WithRan(fault.NotRun)
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
	jobShard, err := s.store.shardOf(job.GetId())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	admitted, err := s.store.limiter.admit(ctx, jobShard, request)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	outcome, err := propose(ctx, jobShard.group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: job}})
	admitted.finish(err)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.SubmitStoredJobResponse{Resent: outcome.Resent}, nil
}

// Read implements rockwindpb.JobStoreService. It waits until there is a result at the position,
// up to the time in the request.
func (s jobStoreService) Read(ctx context.Context, request *rockwindpb.ReadStoredJobRequest) (*rockwindpb.ReadStoredJobResponse, error) {
	jobShard, err := s.store.shardOf(request.GetId())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	limit := time.NewTimer(min(time.Duration(request.GetWaitMs())*time.Millisecond, maximumWait))
	defer limit.Stop()
	for waiting := true; ; {
		applied := jobShard.group.Applied()
		response, err := jobShard.results(ctx, request)
		if err != nil {
			return nil, fault.ToTwirp(err)
		}
		if !waiting || len(response.GetResults()) > 0 || request.GetFrom() >= response.GetTotal() {
			return response, nil
		}
		select {
		case <-applied:
		case <-limit.C:
			waiting = false
		case <-ctx.Done():
			return nil, fault.ToTwirp(fault.New(fault.Unavailable, "the wait for results was interrupted", "ask again"))
		}
	}
}

// results returns the current results of a job from a position on.
func (s shard) results(ctx context.Context, request *rockwindpb.ReadStoredJobRequest) (response *rockwindpb.ReadStoredJobResponse, failure error) {
	maximumBytes := int(request.GetMaximumBytes())
	if maximumBytes <= 0 {
		maximumBytes = defaultReadBytes
	}
	err := s.group.Read(ctx, func() {
		response, failure = s.machine.Read(request.GetId(), request.GetTenant(), request.GetFrom(), maximumBytes)
	})
	if err != nil {
		return nil, notRunUnlessUnknown(err)
	}
	return response, failure
}

// ReadBody implements rockwindpb.JobStoreService.
func (s jobStoreService) ReadBody(ctx context.Context, request *rockwindpb.ReadItemBodyRequest) (*rockwindpb.ReadItemBodyResponse, error) {
	jobShard, err := s.store.shardOf(request.GetJob())
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
	jobShard, err := s.store.shardOf(request.GetId())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	_, err = propose(ctx, jobShard.group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_End{End: request}})
	return &rockwindpb.EndStoredJobResponse{}, fault.ToTwirp(err)
}
