package controlclient

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// AcquireLeases asks the shards in turn, starting at a random one, until max_items
// are granted. If no shard has work, it long-polls all leaders concurrently without
// requesting a grant, and asks again when one reports work, so that canceling a
// poll never loses a lease. If the last poll found no work, the next call starts
// with a poll, which returns immediately if there is work by then. A lease whose
// response is lost expires.
func (s jobService) AcquireLeases(ctx context.Context, request *rockwindpb.AcquireLeasesRequest) (*rockwindpb.AcquireLeasesResponse, error) {
	shards, err := s.requestedShards(ctx, request)
	if err != nil {
		return nil, err
	}
	if request.GetWaitMs() == 0 || !s.client.idle.Load() {
		response, err := s.acquireOnce(ctx, request, shards, s.randomStart(len(shards)))
		if err != nil || len(response.GetGrants()) > 0 || request.GetWaitMs() == 0 {
			return response, err
		}
	}
	first, found := s.awaitWork(ctx, request, shards)
	if !found {
		return &rockwindpb.AcquireLeasesResponse{}, nil
	}
	return s.acquireOnce(ctx, request, shards, first)
}

// requestedShards returns the shards that the request names, or else all shards.
func (s jobService) requestedShards(ctx context.Context, request *rockwindpb.AcquireLeasesRequest) ([]uint32, error) {
	if len(request.GetShards()) > 0 {
		return request.GetShards(), nil
	}
	count, err := s.client.Shards(ctx)
	if err != nil {
		return nil, err
	}
	shards := make([]uint32, 0, count)
	for shard := uint32(1); shard <= count; shard++ {
		shards = append(shards, shard)
	}
	return shards, nil
}

func (s jobService) randomStart(count int) int {
	return min(int(s.client.options.Random()*float64(count)), count-1)
}

// acquireOnce asks each shard once, without waiting for work. It fails only if no
// shard answers.
func (s jobService) acquireOnce(ctx context.Context, request *rockwindpb.AcquireLeasesRequest, shards []uint32, start int) (*rockwindpb.AcquireLeasesResponse, error) {
	merged := &rockwindpb.AcquireLeasesResponse{}
	remaining := request.GetMaxItems()
	answered := false
	var failure error
	for offset := range shards {
		shard := shards[(start+offset)%len(shards)]
		shardRequest := proto.CloneOf(request)
		shardRequest.MaxItems = remaining
		shardRequest.WaitMs = 0
		part, err := s.acquireFromShard(ctx, shard, shardRequest)
		if err != nil {
			failure = err
			continue
		}
		answered = true
		merged.Grants = append(merged.Grants, part.GetGrants()...)
		remaining -= min(remaining, GrantedItems(part))
		if remaining == 0 {
			break
		}
	}
	if !answered && failure != nil {
		return nil, failure
	}
	return merged, nil
}

// GrantedItems returns the number of items in all granted leases.
func GrantedItems(response *rockwindpb.AcquireLeasesResponse) uint32 {
	total := uint32(0)
	for _, grant := range response.GetGrants() {
		total += grant.GetLease().GetItemCount()
	}
	return total
}

// workAnswer is the result of polling one shard for work.
type workAnswer struct {
	index             int
	answered, hasWork bool
}

// awaitWork long-polls all shards and returns the index of the first one that
// reports work.
func (s jobService) awaitWork(ctx context.Context, request *rockwindpb.AcquireLeasesRequest, shards []uint32) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(request.GetWaitMs())+time.Second)
	defer cancel()
	answers := make(chan workAnswer, len(shards))
	for index, shard := range shards {
		shardRequest := proto.CloneOf(request)
		shardRequest.MaxItems = 0
		go func() {
			response, err := s.acquireFromShard(ctx, shard, shardRequest)
			answers <- workAnswer{index: index, answered: err == nil, hasWork: response.GetWorkWaits()}
		}()
	}
	allAnswered := true
	for range shards {
		answer := <-answers
		if answer.answered && answer.hasWork {
			s.client.idle.Store(false)
			return answer.index, true
		}
		allAnswered = allAnswered && answer.answered
	}
	// If a shard did not answer, the next call starts with acquireOnce, which
	// returns the error if all shards fail.
	s.client.idle.Store(allAnswered)
	return 0, false
}

func (s jobService) acquireFromShard(ctx context.Context, shard uint32, request *rockwindpb.AcquireLeasesRequest) (*rockwindpb.AcquireLeasesResponse, error) {
	request.Shards = []uint32{shard}
	return call(ctx, s.client, s.client.toLeader(shard).withExtraTimeout(milliseconds(request.GetWaitMs())), writeCall,
		func(ctx context.Context, target *machine, request *rockwindpb.AcquireLeasesRequest) (*rockwindpb.AcquireLeasesResponse, error) {
			return target.jobs.AcquireLeases(ctx, request)
		}, request)
}

// HeartbeatLeases splits the request by shard. The response leaves out shards that
// did not answer; the call fails only if none did.
func (s jobService) HeartbeatLeases(ctx context.Context, request *rockwindpb.HeartbeatLeasesRequest) (*rockwindpb.HeartbeatLeasesResponse, error) {
	byShard := make(map[uint32]*rockwindpb.HeartbeatLeasesRequest)
	for _, lease := range request.GetLeases() {
		shard, err := s.client.ShardOf(ctx, lease.GetJobId())
		if err != nil {
			return nil, err
		}
		part, known := byShard[shard]
		if !known {
			part = &rockwindpb.HeartbeatLeasesRequest{Holder: request.GetHolder(), LeaseMs: request.GetLeaseMs()}
			byShard[shard] = part
		}
		part.Leases = append(part.Leases, lease)
	}
	verdicts, err := callShards(byShard, func(shard uint32, part *rockwindpb.HeartbeatLeasesRequest) ([]*rockwindpb.LeaseVerdict, error) {
		answer, err := call(ctx, s.client, s.client.toLeader(shard), writeCall,
			func(ctx context.Context, target *machine, request *rockwindpb.HeartbeatLeasesRequest) (*rockwindpb.HeartbeatLeasesResponse, error) {
				return target.jobs.HeartbeatLeases(ctx, request)
			}, part)
		return answer.GetVerdicts(), err
	})
	if err != nil {
		return nil, err
	}
	return &rockwindpb.HeartbeatLeasesResponse{Verdicts: verdicts}, nil
}

// CompleteItems is idempotent: a completion needs a current fence, and an item that
// is already recorded is not changed. The request is split by shard. The response
// leaves out shards that did not answer; the call fails only if none did.
func (s jobService) CompleteItems(ctx context.Context, request *rockwindpb.CompleteItemsRequest) (*rockwindpb.CompleteItemsResponse, error) {
	byShard := make(map[uint32]*rockwindpb.CompleteItemsRequest)
	for _, completion := range request.GetCompletions() {
		shard, err := s.client.ShardOf(ctx, completion.GetJobId())
		if err != nil {
			return nil, err
		}
		part, known := byShard[shard]
		if !known {
			part = &rockwindpb.CompleteItemsRequest{Holder: request.GetHolder()}
			byShard[shard] = part
		}
		part.Completions = append(part.Completions, completion)
	}
	verdicts, err := callShards(byShard, func(shard uint32, part *rockwindpb.CompleteItemsRequest) ([]*rockwindpb.LeaseVerdict, error) {
		answer, err := call(ctx, s.client, s.client.toLeader(shard), writeCall,
			func(ctx context.Context, target *machine, request *rockwindpb.CompleteItemsRequest) (*rockwindpb.CompleteItemsResponse, error) {
				return target.jobs.CompleteItems(ctx, request)
			}, part)
		return answer.GetVerdicts(), err
	})
	if err != nil {
		return nil, err
	}
	return &rockwindpb.CompleteItemsResponse{Verdicts: verdicts}, nil
}

// callShards calls all shards concurrently and concatenates their verdicts. It
// fails only if no shard answers.
func callShards[Part any](parts map[uint32]Part, ask func(uint32, Part) ([]*rockwindpb.LeaseVerdict, error)) ([]*rockwindpb.LeaseVerdict, error) {
	type answer struct {
		verdicts []*rockwindpb.LeaseVerdict
		err      error
	}
	answers := make(chan answer, len(parts))
	for shard, part := range parts {
		go func() {
			verdicts, err := ask(shard, part)
			answers <- answer{verdicts: verdicts, err: err}
		}()
	}
	var merged []*rockwindpb.LeaseVerdict
	var failure error
	answered := len(parts) == 0
	for range parts {
		received := <-answers
		if received.err != nil {
			failure = received.err
			continue
		}
		answered = true
		merged = append(merged, received.verdicts...)
	}
	if !answered {
		return nil, failure
	}
	return merged, nil
}
