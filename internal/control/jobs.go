package control

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/ledger"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// jobService implements rockwindpb.JobService over the shards of this machine.
type jobService struct{ daemon *daemon }

// Submit implements rockwindpb.JobService.
func (s jobService) Submit(ctx context.Context, request *rockwindpb.SubmitJobRequest) (*rockwindpb.SubmitJobResponse, error) {
	owner, err := s.daemon.shardOfJob(request.GetJob().GetId())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	response, err := propose[rockwindpb.SubmitJobResponse](ctx, owner,
		&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Submit{Submit: request}})
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	s.daemon.publishJob(response.GetJob())
	return response, nil
}

// Get implements rockwindpb.JobService.
func (s jobService) Get(ctx context.Context, request *rockwindpb.GetJobRequest) (*rockwindpb.GetJobResponse, error) {
	owner, err := s.daemon.shardOfJob(request.GetJobId())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	now := time.Now().UnixMilli()
	response, err := readShard(ctx, owner, func(state *ledger.Ledger) (*rockwindpb.GetJobResponse, error) {
		return state.GetJob(now, request)
	})
	return response, fault.ToTwirp(err)
}

// List implements rockwindpb.JobService.
func (s jobService) List(ctx context.Context, request *rockwindpb.ListJobsRequest) (*rockwindpb.ListJobsResponse, error) {
	response := &rockwindpb.ListJobsResponse{}
	shards, err := s.requestedShards(request.GetShard())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	for _, owner := range shards {
		part, err := readShard(ctx, owner, func(state *ledger.Ledger) (*rockwindpb.ListJobsResponse, error) {
			return state.ListJobs(request), nil
		})
		if err != nil {
			return nil, fault.ToTwirp(err)
		}
		response.Jobs = append(response.Jobs, part.GetJobs()...)
	}
	return response, nil
}

// requestedShards returns the shard with the given number, or the shards that this
// machine leads if number is zero.
func (s jobService) requestedShards(number uint32) ([]*shard, error) {
	if number != 0 {
		owner, err := s.daemon.shard(number)
		return []*shard{owner}, err
	}
	return s.daemon.ledShards(), nil
}

// Cancel implements rockwindpb.JobService.
func (s jobService) Cancel(ctx context.Context, request *rockwindpb.CancelJobRequest) (*rockwindpb.CancelJobResponse, error) {
	owner, err := s.daemon.shardOfJob(request.GetJobId())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	response, err := propose[rockwindpb.CancelJobResponse](ctx, owner,
		&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Cancel{Cancel: request}})
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	s.daemon.publishJob(response.GetJob())
	return response, nil
}

// ListResults implements rockwindpb.JobService. Sealed results are read from the
// body store.
func (s jobService) ListResults(ctx context.Context, request *rockwindpb.ListResultsRequest) (*rockwindpb.ListResultsResponse, error) {
	owner, err := s.daemon.shardOfJob(request.GetJobId())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	page, err := readShard(ctx, owner, func(state *ledger.Ledger) (*rockwindpb.ListResultsResponse, error) {
		return state.ListResults(request)
	})
	if err != nil || page.GetSealed() == nil {
		return page, fault.ToTwirp(err)
	}
	bodies, err := s.daemon.bodies.Read(ctx, []*rockwindpb.BodyReference{page.GetSealed().GetIndex()})
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	expanded, err := ledger.ExpandSealed(request, page, bodies[0])
	return expanded, fault.ToTwirp(err)
}

// HeartbeatLeases implements rockwindpb.JobService. All leases must be of one shard.
func (s jobService) HeartbeatLeases(ctx context.Context, request *rockwindpb.HeartbeatLeasesRequest) (*rockwindpb.HeartbeatLeasesResponse, error) {
	if len(request.GetLeases()) == 0 {
		return &rockwindpb.HeartbeatLeasesResponse{}, nil
	}
	owner, err := s.daemon.shardOfJob(request.GetLeases()[0].GetJobId())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	response, err := propose[rockwindpb.HeartbeatLeasesResponse](ctx, owner,
		&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Heartbeat{Heartbeat: request}})
	return response, fault.ToTwirp(err)
}

// CompleteItems implements rockwindpb.JobService. All leases must be of one shard.
func (s jobService) CompleteItems(ctx context.Context, request *rockwindpb.CompleteItemsRequest) (*rockwindpb.CompleteItemsResponse, error) {
	if len(request.GetCompletions()) == 0 {
		return &rockwindpb.CompleteItemsResponse{}, nil
	}
	owner, err := s.daemon.shardOfJob(request.GetCompletions()[0].GetJobId())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	response, err := propose[rockwindpb.CompleteItemsResponse](ctx, owner,
		&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Complete{Complete: request}})
	return response, fault.ToTwirp(err)
}
