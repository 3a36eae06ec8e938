package control

import (
	"context"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/ledger"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharding"
)

// recordService implements rockwindpb.RecordService.
type recordService struct{ daemon *daemon }

// Begin implements rockwindpb.RecordService.
func (s recordService) Begin(ctx context.Context, request *rockwindpb.BeginRequestRequest) (*rockwindpb.BeginRequestResponse, error) {
	owner, err := s.owner(ctx, request.GetTenant(), request.GetKey())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	response, err := propose[rockwindpb.BeginRequestResponse](ctx, owner,
		&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_BeginRequest{BeginRequest: request}})
	return response, fault.ToTwirp(err)
}

// Finish implements rockwindpb.RecordService.
func (s recordService) Finish(ctx context.Context, request *rockwindpb.FinishRequestRequest) (*rockwindpb.FinishRequestResponse, error) {
	owner, err := s.owner(ctx, request.GetTenant(), request.GetKey())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	response, err := propose[rockwindpb.FinishRequestResponse](ctx, owner,
		&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_FinishRequest{FinishRequest: request}})
	return response, fault.ToTwirp(err)
}

// owner returns the shard of an idempotency key. The number of shards of a cluster
// never changes.
func (s recordService) owner(ctx context.Context, tenant, key string) (*shard, error) {
	if tenant == "" || key == "" {
		return nil, fault.New(fault.InvalidArgument, "an idempotency record needs a tenant and a key", "set both")
	}
	shards, err := s.daemon.shardCount(ctx)
	if err != nil {
		return nil, err
	}
	if shards == 0 {
		return nil, notReplicatedFault(0)
	}
	return s.daemon.shard(sharding.ForKey(tenant, key, shards))
}

// fileService implements rockwindpb.FileService.
type fileService struct{ daemon *daemon }

// Put implements rockwindpb.FileService.
func (s fileService) Put(ctx context.Context, request *rockwindpb.PutFileRequest) (*rockwindpb.PutFileResponse, error) {
	owner, err := s.daemon.shardOfFile(request.GetFile().GetId())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	response, err := propose[rockwindpb.PutFileResponse](ctx, owner,
		&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_PutFile{PutFile: request}})
	return response, fault.ToTwirp(err)
}

// Get implements rockwindpb.FileService.
func (s fileService) Get(ctx context.Context, request *rockwindpb.GetFileRequest) (*rockwindpb.GetFileResponse, error) {
	owner, err := s.daemon.shardOfFile(request.GetId())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	response, err := readShard(ctx, owner, func(state *ledger.Ledger) (*rockwindpb.GetFileResponse, error) {
		return state.GetFile(request)
	})
	return response, fault.ToTwirp(err)
}
