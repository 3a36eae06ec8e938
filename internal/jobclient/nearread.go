package jobclient

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// replica is a store as a replica of a shard.
type replica struct {
	shard   uint32
	address string
}

// readNear reads results of a job at a follower in the own region, unless the leader is known to be
// there. If the leader has to be called, it returns nil and the time that it waited. Results are only
// appended, so a follower's answer is one that the leader would have given earlier.
func (c *Client) readNear(ctx context.Context, request *rockwindpb.ReadStoredJobRequest) (*rockwindpb.ReadStoredJobResponse, time.Duration) {
	view := c.site.Directory()
	if !c.sites.MultiRegion() || view == nil || view.StoreCluster() == nil {
		return nil, 0
	}
	region := c.likelyRegion(view, request.GetId(), request.GetTenant())
	shard := shardIn(request.GetId(), region)(view)
	address, found := c.nearReplica(view, shard)
	if !found {
		return nil, 0
	}
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	attemptCtx, cancel := context.WithTimeout(ctx, hedgeAfter+wait)
	defer cancel()
	near := proto.CloneOf(request)
	near.Region, near.FollowerMayAnswer = region, true
	began := time.Now()
	response, err := c.store(address).Read(attemptCtx, near)
	if err == nil {
		c.remember(view, request.GetId(), region)
		return response, 0
	}
	waited := time.Since(began)
	if ctx.Err() == nil || waited >= wait+unresponsiveAfter {
		c.declineNear(replica{shard: shard, address: address}, fault.From(err))
	}
	return nil, waited
}

// nearReplica returns the nearest store of the own region that replicates a shard. There is none if the
// leader is in the region. Stores that have declined recently are left out.
func (c *Client) nearReplica(view *directory.View, shard uint32) (address string, found bool) {
	members := make(map[string]bool)
	for _, group := range view.StoreCluster().GetGroups() {
		if group.GetGroup() == shard {
			for _, member := range group.GetMembership().GetMembers() {
				members[member.GetMachine()] = !member.GetWitness()
			}
		}
	}
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.rotation++
	for _, store := range c.inOrder(c.site.Stores(), int(shard)+c.rotation) {
		if c.sites.Distance(c.zone, store.GetZone()) == topology.OtherRegion {
			break
		}
		candidate := store.GetAddress()
		if candidate == c.leaders[shard] {
			return "", false
		}
		declined := now.Before(c.declinedUntil[replica{shard: shard, address: candidate}]) || now.Before(c.avoidedUntil[candidate])
		if !found && members[store.GetName()] && !declined {
			address, found = candidate, true
		}
	}
	return address, found
}

// declineNear records that a store did not answer for its leader. A store that names a leader but no time
// lacks only this job, so it is not recorded.
func (c *Client) declineNear(asked replica, failure *fault.Fault) {
	if isFinal(failure.Kind) {
		// Only a leader answers so.
		return
	}
	if failure.Kind != fault.NotLeader || failure.Leader != "" {
		c.recordFailure(asked.shard, asked.address, failure)
	}
	if failure.Kind != fault.NotLeader || failure.RetryAfter == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.declinedUntil[asked] = time.Now().Add(failure.RetryAfter)
}
