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

// Prefixes of identifiers.
const (
	jobPrefix  = "job"
	filePrefix = "file"
)

type jobService struct{ client *Client }

// Submit may be repeated: the client key, made up where the caller gave none,
// answers the same job. The job's shard and identifier follow from tenant and
// key.
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
	job.Id = sharding.FormatIdentifier(jobPrefix, shard, numberOfKey(job.GetTenant(), job.GetClientKey()))
	return call(ctx, s.client, s.client.toLeader(shard), changing,
		func(ctx context.Context, at *machine, request *rockwindpb.SubmitJobRequest) (*rockwindpb.SubmitJobResponse, error) {
			return at.jobs.Submit(ctx, request)
		}, &rockwindpb.SubmitJobRequest{Job: job})
}

// numberOfKey makes a resend propose the same identifier.
func numberOfKey(tenant, key string) uint64 {
	digest := sha256.Sum256([]byte(tenant + "\x00" + key))
	return binary.BigEndian.Uint64(digest[:])
}

// Get reads and may be repeated.
func (s jobService) Get(ctx context.Context, request *rockwindpb.GetJobRequest) (*rockwindpb.GetJobResponse, error) {
	shard, err := s.client.ShardOf(ctx, request.GetJobId())
	if err != nil {
		return nil, err
	}
	return call(ctx, s.client, s.client.toLeader(shard), reading,
		func(ctx context.Context, at *machine, request *rockwindpb.GetJobRequest) (*rockwindpb.GetJobResponse, error) {
			return at.jobs.Get(ctx, request)
		}, request)
}

// List asks every shard and merges the answers by identifier.
func (s jobService) List(ctx context.Context, request *rockwindpb.ListJobsRequest) (*rockwindpb.ListJobsResponse, error) {
	shards, err := s.client.Shards(ctx)
	if err != nil {
		return nil, err
	}
	merged := &rockwindpb.ListJobsResponse{}
	for shard := uint32(1); shard <= shards; shard++ {
		asked := proto.CloneOf(request)
		asked.Shard = shard
		part, err := call(ctx, s.client, s.client.toLeader(shard), reading,
			func(ctx context.Context, at *machine, request *rockwindpb.ListJobsRequest) (*rockwindpb.ListJobsResponse, error) {
				return at.jobs.List(ctx, request)
			}, asked)
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

// Cancel may be repeated: a cancelled job stays cancelled.
func (s jobService) Cancel(ctx context.Context, request *rockwindpb.CancelJobRequest) (*rockwindpb.CancelJobResponse, error) {
	shard, err := s.client.ShardOf(ctx, request.GetJobId())
	if err != nil {
		return nil, err
	}
	return call(ctx, s.client, s.client.toLeader(shard), changing,
		func(ctx context.Context, at *machine, request *rockwindpb.CancelJobRequest) (*rockwindpb.CancelJobResponse, error) {
			return at.jobs.Cancel(ctx, request)
		}, request)
}

// ListResults reads and may be repeated.
func (s jobService) ListResults(ctx context.Context, request *rockwindpb.ListResultsRequest) (*rockwindpb.ListResultsResponse, error) {
	shard, err := s.client.ShardOf(ctx, request.GetJobId())
	if err != nil {
		return nil, err
	}
	return call(ctx, s.client, s.client.toLeader(shard), reading,
		func(ctx context.Context, at *machine, request *rockwindpb.ListResultsRequest) (*rockwindpb.ListResultsResponse, error) {
			return at.jobs.ListResults(ctx, request)
		}, request)
}

type fileService struct{ client *Client }

// Put may be repeated: the identifier, made up where there is none, names the
// file.
func (s fileService) Put(ctx context.Context, request *rockwindpb.PutFileRequest) (*rockwindpb.PutFileResponse, error) {
	file := proto.CloneOf(request.GetFile())
	if file.GetId() == "" {
		unique := uuid.NewString()
		shard, err := s.client.ShardForKey(ctx, file.GetTenant(), unique)
		if err != nil {
			return nil, err
		}
		file.Id = sharding.FormatIdentifier(filePrefix, shard, numberOfKey(file.GetTenant(), unique))
	}
	shard, err := s.client.ShardOf(ctx, file.GetId())
	if err != nil {
		return nil, err
	}
	return call(ctx, s.client, s.client.toLeader(shard), changing,
		func(ctx context.Context, at *machine, request *rockwindpb.PutFileRequest) (*rockwindpb.PutFileResponse, error) {
			return at.files.Put(ctx, request)
		}, &rockwindpb.PutFileRequest{File: file})
}

// Get reads and may be repeated.
func (s fileService) Get(ctx context.Context, request *rockwindpb.GetFileRequest) (*rockwindpb.GetFileResponse, error) {
	shard, err := s.client.ShardOf(ctx, request.GetId())
	if err != nil {
		return nil, err
	}
	return call(ctx, s.client, s.client.toLeader(shard), reading,
		func(ctx context.Context, at *machine, request *rockwindpb.GetFileRequest) (*rockwindpb.GetFileResponse, error) {
			return at.files.Get(ctx, request)
		}, request)
}
