package controlclient

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// AcquireLeases asks the shards in turn, from a random one on, until max_items
// are granted. Where no shard has work it waits at all leaders at once, without
// asking for a grant, and asks again when one of them reports work: a wait that
// is given up therefore never loses a lease. Where the last wait ended without
// work, the next call begins with a wait, which ends at once where there is some.
// A grant whose answer is lost expires by itself.
func (s jobService) AcquireLeases(ctx context.Context, request *rockwindpb.AcquireLeasesRequest) (*rockwindpb.AcquireLeasesResponse, error) {
	shards, err := s.askedShards(ctx, request)
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

func (s jobService) askedShards(ctx context.Context, request *rockwindpb.AcquireLeasesRequest) ([]uint32, error) {
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

// acquireOnce asks each shard once without waiting. A shard that cannot be
// reached is passed over as long as another answers.
func (s jobService) acquireOnce(ctx context.Context, request *rockwindpb.AcquireLeasesRequest, shards []uint32, start int) (*rockwindpb.AcquireLeasesResponse, error) {
	merged := &rockwindpb.AcquireLeasesResponse{}
	remaining := request.GetMaxItems()
	answered := false
	var failure error
	for offset := range shards {
		shard := shards[(start+offset)%len(shards)]
		asked := proto.CloneOf(request)
		asked.MaxItems = remaining
		asked.WaitMs = 0
		part, err := s.acquireAt(ctx, shard, asked)
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

// GrantedItems counts the items of all the leases that an answer grants.
func GrantedItems(response *rockwindpb.AcquireLeasesResponse) uint32 {
	total := uint32(0)
	for _, grant := range response.GetGrants() {
		total += grant.GetLease().GetItemCount()
	}
	return total
}

// shardReport is what a shard said of its work.
type shardReport struct {
	position        int
	answered, waits bool
}

// awaitWork waits at all shards and returns the position of the first that
// reports work.
func (s jobService) awaitWork(ctx context.Context, request *rockwindpb.AcquireLeasesRequest, shards []uint32) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(request.GetWaitMs())+time.Second)
	defer cancel()
	reports := make(chan shardReport, len(shards))
	for position, shard := range shards {
		asked := proto.CloneOf(request)
		asked.MaxItems = 0
		go func() {
			answer, err := s.acquireAt(ctx, shard, asked)
			reports <- shardReport{position: position, answered: err == nil, waits: answer.GetWorkWaits()}
		}()
	}
	allAnswered := true
	for range shards {
		report := <-reports
		if report.answered && report.waits {
			s.client.idle.Store(false)
			return report.position, true
		}
		allAnswered = allAnswered && report.answered
	}
	// After a wait at which a shard was missing, the next call asks all of them and
	// tells what failed.
	s.client.idle.Store(allAnswered)
	return 0, false
}

func (s jobService) acquireAt(ctx context.Context, shard uint32, request *rockwindpb.AcquireLeasesRequest) (*rockwindpb.AcquireLeasesResponse, error) {
	request.Shards = []uint32{shard}
	return call(ctx, s.client, s.client.toLeader(shard).waiting(milliseconds(request.GetWaitMs())), changing,
		func(ctx context.Context, at *machine, request *rockwindpb.AcquireLeasesRequest) (*rockwindpb.AcquireLeasesResponse, error) {
			return at.jobs.AcquireLeases(ctx, request)
		}, request)
}

// HeartbeatLeases may be repeated. Leases of several shards are split by shard;
// shards that cannot be reached are left out of the answer as long as another
// answers.
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
	verdicts, err := gather(byShard, func(shard uint32, part *rockwindpb.HeartbeatLeasesRequest) ([]*rockwindpb.LeaseVerdict, error) {
		answer, err := call(ctx, s.client, s.client.toLeader(shard), changing,
			func(ctx context.Context, at *machine, request *rockwindpb.HeartbeatLeasesRequest) (*rockwindpb.HeartbeatLeasesResponse, error) {
				return at.jobs.HeartbeatLeases(ctx, request)
			}, part)
		return answer.GetVerdicts(), err
	})
	if err != nil {
		return nil, err
	}
	return &rockwindpb.HeartbeatLeasesResponse{Verdicts: verdicts}, nil
}

// CompleteItems may be repeated: the fence decides, and an item that was
// recorded before stays as it was. Completions of several shards are split by
// shard; those of shards that cannot be reached are left out of the answer as
// long as another answers.
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
	verdicts, err := gather(byShard, func(shard uint32, part *rockwindpb.CompleteItemsRequest) ([]*rockwindpb.LeaseVerdict, error) {
		answer, err := call(ctx, s.client, s.client.toLeader(shard), changing,
			func(ctx context.Context, at *machine, request *rockwindpb.CompleteItemsRequest) (*rockwindpb.CompleteItemsResponse, error) {
				return at.jobs.CompleteItems(ctx, request)
			}, part)
		return answer.GetVerdicts(), err
	})
	if err != nil {
		return nil, err
	}
	return &rockwindpb.CompleteItemsResponse{Verdicts: verdicts}, nil
}

// gather calls every shard at once and joins the verdicts. It fails only where
// no shard answered.
func gather[Part any](parts map[uint32]Part, ask func(uint32, Part) ([]*rockwindpb.LeaseVerdict, error)) ([]*rockwindpb.LeaseVerdict, error) {
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
