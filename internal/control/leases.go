package control

import (
	"context"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// longestWait bounds how long an acquire may be held.
const longestWait = 30 * time.Second

// AcquireLeases implements rockwindpb.JobService. While there is no work it waits
// on the boards that the shards' keepers maintain, and neither reads the ledgers
// nor writes to the log.
func (s jobService) AcquireLeases(ctx context.Context, request *rockwindpb.AcquireLeasesRequest) (*rockwindpb.AcquireLeasesResponse, error) {
	asked, err := s.askedForWork(request)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, longestWait)
	ctx, cancel := s.daemon.whileServing(ctx)
	defer cancel()
	ended := time.After(wait)
	wake := s.daemon.wakeOnWork(ctx, asked)
	for {
		response, err := s.acquire(ctx, request, asked)
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

func (s jobService) askedForWork(request *rockwindpb.AcquireLeasesRequest) ([]*shard, error) {
	if len(request.GetShards()) == 0 {
		return s.daemon.led(), nil
	}
	asked := make([]*shard, 0, len(request.GetShards()))
	for _, number := range request.GetShards() {
		owner, err := s.daemon.shard(number)
		if err != nil {
			return nil, err
		}
		if _, leading := owner.group.Leading(); !leading {
			return nil, notLeading(owner)
		}
		asked = append(asked, owner)
	}
	return asked, nil
}

func notLeading(owner *shard) error {
	return fault.Newf(fault.NotLeader, "ask the leader",
		"this machine does not lead shard %d", owner.number).
		WithLeader(owner.group.Status().GetLeaderAddress()).WithRan(fault.NotRun)
}

// acquire asks the ledgers of the shards whose boards show work.
func (s jobService) acquire(ctx context.Context, request *rockwindpb.AcquireLeasesRequest, asked []*shard) (*rockwindpb.AcquireLeasesResponse, error) {
	merged := &rockwindpb.AcquireLeasesResponse{}
	remaining := request.GetMaxItems()
	for _, owner := range asked {
		if _, leading := owner.group.Leading(); !leading {
			if len(merged.GetGrants()) > 0 {
				return merged, nil
			}
			return nil, notLeading(owner)
		}
		if !owner.work.current().matches(request) {
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

// led returns the shards that this machine leads now.
func (d *daemon) led() []*shard {
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

// wakeOnWork returns a channel that receives when the board of one of the shards
// changes, until the context ends.
func (d *daemon) wakeOnWork(ctx context.Context, asked []*shard) <-chan struct{} {
	wake := make(chan struct{}, 1)
	for _, owner := range asked {
		go owner.work.follow(ctx, owner.work.next(), wake)
	}
	return wake
}
