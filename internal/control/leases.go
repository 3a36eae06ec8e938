package control

import (
	"context"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// maxWait bounds the wait of a long poll for work.
const maxWait = 30 * time.Second

// AcquireLeases implements rockwindpb.JobService. It waits on the demand that the
// shard maintainers publish, so that an idle wait neither reads the ledgers nor
// writes to the replicated log.
func (s jobService) AcquireLeases(ctx context.Context, request *rockwindpb.AcquireLeasesRequest) (*rockwindpb.AcquireLeasesResponse, error) {
	shards, err := s.shardsToAcquire(request)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxWait)
	ctx, cancel := s.daemon.cancelOnStop(ctx)
	defer cancel()
	ended := time.After(wait)
	wake := s.daemon.notifyOnWork(ctx, shards)
	for {
		response, err := s.acquire(ctx, request, shards)
		if err != nil || response.GetWorkWaits() || len(response.GetGrants()) > 0 {
			return response, fault.ToTwirp(err)
		}
		select {
		case <-wake:
		case <-ended:
			return response, nil
		case <-ctx.Done():
			return response, nil
		}
	}
}

func (s jobService) shardsToAcquire(request *rockwindpb.AcquireLeasesRequest) ([]*shard, error) {
	if len(request.GetShards()) == 0 {
		return s.daemon.ledShards(), nil
	}
	shards := make([]*shard, 0, len(request.GetShards()))
	for _, number := range request.GetShards() {
		owner, err := s.daemon.shard(number)
		if err != nil {
			return nil, err
		}
		if _, leading := owner.group.Leading(); !leading {
			return nil, notLeaderFault(owner)
		}
		shards = append(shards, owner)
	}
	return shards, nil
}

func notLeaderFault(owner *shard) error {
	return fault.Newf(fault.NotLeader, "ask the leader",
		"this machine does not lead shard %d", owner.number).
		WithLeader(owner.group.Status().GetLeaderAddress()).WithRan(fault.NotRun)
}

// acquire requests leases from the shards whose published demand matches.
func (s jobService) acquire(ctx context.Context, request *rockwindpb.AcquireLeasesRequest, shards []*shard) (*rockwindpb.AcquireLeasesResponse, error) {
	merged := &rockwindpb.AcquireLeasesResponse{}
	remaining := request.GetMaxItems()
	for _, owner := range shards {
		if _, leading := owner.group.Leading(); !leading {
			if len(merged.GetGrants()) > 0 {
				return merged, nil
			}
			return nil, notLeaderFault(owner)
		}
		if !owner.demand.current().matches(request) {
			continue
		}
		if request.GetMaxItems() == 0 {
			merged.WorkWaits = true
			return merged, nil
		}
		part, err := propose[rockwindpb.AcquireLeasesResponse](ctx, owner, &rockwindpb.JobCommand{
			Command: &rockwindpb.JobCommand_Acquire{Acquire: &rockwindpb.AcquireLeasesRequest{
				Holder:   request.GetHolder(),
				MaxItems: remaining,
				Models:   request.GetModels(),
				LeaseMs:  request.GetLeaseMs(),
				Groups:   request.GetGroups(),
			}},
		})
		if err != nil {
			if len(merged.GetGrants()) > 0 {
				return merged, nil
			}
			return nil, err
		}
		merged.Grants = append(merged.Grants, part.GetGrants()...)
		remaining -= min(remaining, controlclient.GrantedItems(part))
		if remaining == 0 {
			return merged, nil
		}
	}
	return merged, nil
}

// ledShards returns the shards that this machine leads, ordered by number.
func (d *daemon) ledShards() []*shard {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var result []*shard
	for _, candidate := range d.shards {
		if _, leading := candidate.group.Leading(); leading {
			result = append(result, candidate)
		}
	}
	slices.SortFunc(result, func(left, right *shard) int { return int(left.number) - int(right.number) })
	return result
}

// notifyOnWork returns a channel that receives when one of the shards has more
// work, until ctx is done.
func (d *daemon) notifyOnWork(ctx context.Context, shards []*shard) <-chan struct{} {
	wake := make(chan struct{}, 1)
	for _, owner := range shards {
		go owner.demand.forwardChanges(ctx, owner.demand.nextChange(), wake)
	}
	return wake
}
