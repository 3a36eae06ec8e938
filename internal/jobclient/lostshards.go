package jobclient

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// lossCheckTimeout bounds one check of whether the data of a shard is lost.
const lossCheckTimeout = 300 * time.Millisecond

// isDataLost reports whether the data of a group is lost for good: each full voter of its founding membership, and of
// those that the machines state, is one of the machines, with another disk. The identities must be those of all machines
// that may hold data of the group. A machine that has not started its replicas does not know the newest membership yet.
func isDataLost(founding *rockwindpb.FoundingGroup, machines []*rockwindpb.IdentityResponse) bool {
	disks := make(map[string]uint64, len(machines))
	memberships := []*rockwindpb.Membership{founding.GetMembership()}
	for _, machine := range machines {
		if !machine.GetStarted() {
			return false
		}
		disks[machine.GetMachine()] = machine.GetDiskId()
		for _, status := range machine.GetGroups() {
			if status.GetGroup() == founding.GetGroup() {
				memberships = append(memberships, status.GetMembership())
			}
		}
	}
	known := false
	for _, membership := range memberships {
		for _, member := range membership.GetMembers() {
			if member.GetWitness() || member.GetLearner() {
				continue
			}
			known = true
			if disk, answered := disks[member.GetMachine()]; !answered || disk == member.GetId() {
				return false
			}
		}
	}
	return known
}

// isLost reports whether all stores of the region of a regional shard answer that the disks of its replicas are gone. It
// is false for an ordinary shard, and while a store of the region does not answer. Concurrent calls share one check, and
// none is made while calls to a store of the region fail, so that callers do not wait for it.
func (c *Client) isLost(shard uint32) bool {
	founding := c.site.Directory().Shard(shard)
	if founding.GetRegion() == "" || c.avoidsAny(c.storesOf(founding.GetRegion())) {
		return false
	}
	lost, _, _ := c.lossChecks.Do(founding.GetRegion(), func() (any, error) { return c.checkLoss(founding), nil })
	return lost.(bool)
}

// checkLoss implements isLost for one regional shard, and records its result.
func (c *Client) checkLoss(founding *rockwindpb.FoundingGroup) bool {
	ctx, cancel := context.WithTimeout(context.Background(), lossCheckTimeout)
	defer cancel()
	identities, err := c.identities(ctx, c.storesOf(founding.GetRegion()))
	lost := err == nil && isDataLost(founding, identities)
	c.mutex.Lock()
	known := c.lost[founding.GetGroup()]
	c.lost[founding.GetGroup()] = lost
	c.mutex.Unlock()
	if lost && !known {
		log.WithField("shard", founding.GetGroup()).WithField("region", founding.GetRegion()).Warn("all disks with the shard's data are gone; its jobs are lost")
	}
	return lost
}

// avoidsAny reports whether any of the stores has recently not answered.
func (c *Client) avoidsAny(stores []*rockwindpb.Machine) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	return slices.ContainsFunc(stores, func(store *rockwindpb.Machine) bool {
		return now.Before(c.avoidedUntil[store.GetAddress()])
	})
}

// wasLost reports whether the data of a shard was lost at the latest check. It is checked again before it is relied on.
func (c *Client) wasLost(shard uint32) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lost[shard]
}

// identities returns the identities of all given stores. It fails if one of them does not answer.
func (c *Client) identities(ctx context.Context, stores []*rockwindpb.Machine) ([]*rockwindpb.IdentityResponse, error) {
	identities := make([]*rockwindpb.IdentityResponse, len(stores))
	calls, ctx := errgroup.WithContext(ctx)
	for i, store := range stores {
		calls.Go(func() (err error) {
			identities[i], err = c.store(store.GetAddress()).replicas.Identity(ctx, &rockwindpb.IdentityRequest{})
			return err
		})
	}
	return identities, calls.Wait()
}

// unlessLost makes a call about a shard and returns its result, or the given one if the data of the shard is lost: no
// store answers such calls, however often they are repeated.
func unlessLost[T any](ctx context.Context, c *Client, shard uint32, ifLost T, attempt func() (T, error)) (T, error) {
	if c.wasLost(shard) && c.isLost(shard) {
		return ifLost, nil
	}
	value, err := attempt()
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) && !isFinal(fault.From(err).Kind) && c.isLost(shard) {
		return ifLost, nil
	}
	return value, err
}
