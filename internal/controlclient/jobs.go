package controlclient

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharding"
)

// Prefixes of IDs.
const (
	jobPrefix  = "job"
	filePrefix = "file"
)

type jobService struct{ client *Client }

// Submit is idempotent: a request with the same client key returns the same job. A
// job without a client key gets a random one. The shard and the ID of the job are
// derived from the tenant and the key.
func (s jobService) Submit(ctx context.Context, request *rockwindpb.SubmitJobRequest) (*rockwindpb.SubmitJobResponse, error) {
	job := proto.CloneOf(request.GetJob())
	if job.GetClientKey() == "" {
		job.ClientKey = uuid.NewString()
	}
	shard, err := s.client.ShardForKey(ctx, job.GetTenant(), job.GetClientKey())
	if err != nil {
		return nil, err
	}
	job.Shard = shard
	job.Id = sharding.FormatIdentifier(jobPrefix, shard, idNumber(job.GetTenant(), job.GetClientKey()))
	return call(ctx, s.client, s.client.toLeader(shard), writeCall,
		func(ctx context.Context, target *machine, request *rockwindpb.SubmitJobRequest) (*rockwindpb.SubmitJobResponse, error) {
			return target.jobs.Submit(ctx, request)
		}, &rockwindpb.SubmitJobRequest{Job: job})
}

// idNumber returns the numeric part of an ID. It is derived from tenant and key, so
// that a retry uses the same ID.
func idNumber(tenant, key string) uint64 {
	digest := sha256.Sum256([]byte(tenant + "\x00" + key))
	return binary.BigEndian.Uint64(digest[:])
}

// Get asks the leader of the job's shard.
func (s jobService) Get(ctx context.Context, request *rockwindpb.GetJobRequest) (*rockwindpb.GetJobResponse, error) {
	shard, err := s.client.ShardOf(ctx, request.GetJobId())
	if err != nil {
		return nil, err
	}
	return call(ctx, s.client, s.client.toLeader(shard), readCall,
		func(ctx context.Context, target *machine, request *rockwindpb.GetJobRequest) (*rockwindpb.GetJobResponse, error) {
			return target.jobs.Get(ctx, request)
		}, request)
}

// List asks the leaders of all shards and returns the jobs sorted by ID.
func (s jobService) List(ctx context.Context, request *rockwindpb.ListJobsRequest) (*rockwindpb.ListJobsResponse, error) {
	shards, err := s.client.Shards(ctx)
	if err != nil {
		return nil, err
	}
	merged := &rockwindpb.ListJobsResponse{}
	for shard := uint32(1); shard <= shards; shard++ {
		shardRequest := proto.CloneOf(request)
		shardRequest.Shard = shard
		part, err := call(ctx, s.client, s.client.toLeader(shard), readCall,
			func(ctx context.Context, target *machine, request *rockwindpb.ListJobsRequest) (*rockwindpb.ListJobsResponse, error) {
				return target.jobs.List(ctx, request)
			}, shardRequest)
		if err != nil {
			return nil, err
		}
		merged.Jobs = append(merged.Jobs, part.GetJobs()...)
	}
	slices.SortFunc(merged.Jobs, func(left, right *rockwindpb.Job) int {
		return strings.Compare(left.GetId(), right.GetId())
	})
	if limit := int(request.GetLimit()); limit > 0 && len(merged.Jobs) > limit {
		merged.Jobs = merged.Jobs[:limit]
	}
	return merged, nil
}

// Cancel is idempotent: a canceled job stays canceled.
func (s jobService) Cancel(ctx context.Context, request *rockwindpb.CancelJobRequest) (*rockwindpb.CancelJobResponse, error) {
	shard, err := s.client.ShardOf(ctx, request.GetJobId())
	if err != nil {
		return nil, err
	}
	return call(ctx, s.client, s.client.toLeader(shard), writeCall,
		func(ctx context.Context, target *machine, request *rockwindpb.CancelJobRequest) (*rockwindpb.CancelJobResponse, error) {
			return target.jobs.Cancel(ctx, request)
		}, request)
}

// ListResults asks the leader of the job's shard.
func (s jobService) ListResults(ctx context.Context, request *rockwindpb.ListResultsRequest) (*rockwindpb.ListResultsResponse, error) {
	shard, err := s.client.ShardOf(ctx, request.GetJobId())
	if err != nil {
		return nil, err
	}
	return call(ctx, s.client, s.client.toLeader(shard), readCall,
		func(ctx context.Context, target *machine, request *rockwindpb.ListResultsRequest) (*rockwindpb.ListResultsResponse, error) {
			return target.jobs.ListResults(ctx, request)
		}, request)
}

type fileService struct{ client *Client }

// Put is idempotent: the file is stored under its ID. A file without an ID gets a
// random one.
func (s fileService) Put(ctx context.Context, request *rockwindpb.PutFileRequest) (*rockwindpb.PutFileResponse, error) {
	file := proto.CloneOf(request.GetFile())
	if file.GetId() == "" {
		unique := uuid.NewString()
		shard, err := s.client.ShardForKey(ctx, file.GetTenant(), unique)
		if err != nil {
			return nil, err
		}
		file.Id = sharding.FormatIdentifier(filePrefix, shard, idNumber(file.GetTenant(), unique))
	}
	shard, err := s.client.ShardOf(ctx, file.GetId())
	if err != nil {
		return nil, err
	}
	return call(ctx, s.client, s.client.toLeader(shard), writeCall,
		func(ctx context.Context, target *machine, request *rockwindpb.PutFileRequest) (*rockwindpb.PutFileResponse, error) {
			return target.files.Put(ctx, request)
		}, &rockwindpb.PutFileRequest{File: file})
}

// Get asks the leader of the file's shard.
func (s fileService) Get(ctx context.Context, request *rockwindpb.GetFileRequest) (*rockwindpb.GetFileResponse, error) {
	shard, err := s.client.ShardOf(ctx, request.GetId())
	if err != nil {
		return nil, err
	}
	return call(ctx, s.client, s.client.toLeader(shard), readCall,
		func(ctx context.Context, target *machine, request *rockwindpb.GetFileRequest) (*rockwindpb.GetFileResponse, error) {
			return target.files.Get(ctx, request)
		}, request)
}
