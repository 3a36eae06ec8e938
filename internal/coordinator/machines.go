package coordinator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

const (
	// machinePrefix distinguishes machines from servers in liveness records.
	machinePrefix = "machine/"
	// machineRemovalTimeout is how long a machine must be silent before its entry is removed. It
	// announces itself again when it returns.
	machineRemovalTimeout = 12 * time.Second
	// aliveTimeout is how long a machine may be silent and still count as alive.
	aliveTimeout = 7 * time.Second
	// minStoresOfRegion is how many other stores must remain in a region with a shard of its own if a
	// store retires: a single copy of the shard would not survive the loss of a disk.
	minStoresOfRegion = 2
	// identityTimeout bounds the query of all stores for their groups.
	identityTimeout = 400 * time.Millisecond
)

func machineKey(name string) string { return machinePrefix + name }

// removeSilentMachines removes the entries of machines that sent no announcement for machineRemovalTimeout.
func (c *Coordinator) removeSilentMachines(ctx context.Context, view *directory.View, leaderSince, now time.Time) {
	if now.Sub(leaderSince) < machineRemovalTimeout {
		return
	}
	for _, machine := range view.Machines() {
		if machine.GetRetiring() || c.liveness.seenSince(machineKey(machine.GetName()), now.Add(-machineRemovalTimeout)) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, maintenanceCallTimeout)
		err := c.commitOnLeader(callCtx, &rockwindpb.DirectoryCommand{
			Command: &rockwindpb.DirectoryCommand_Forget{Forget: &rockwindpb.ForgetMachine{Name: machine.GetName()}},
		})
		cancel()
		log.WithField("machine", machine.GetName()).WithField("patience", machineRemovalTimeout.String()).WithField("committed", err == nil).Info("machine is forgotten")
	}
}

// Retire marks a store as retiring, so that it hands over its data. It returns fault.NotFound
// for an unknown store and fault.Conflict if too few stores would remain for the site's fault
// tolerance. It is idempotent.
func (c *Coordinator) Retire(ctx context.Context, name string) error {
	if !isForwarded(ctx) {
		if err := c.operatorCall(ctx).checkCaller(); err != nil {
			return err
		}
	}
	if c.isNonMember() {
		_, err := forwardToLeader(ctx, c, untilCommitted, func(ctx context.Context, base string) (*rockwindpb.RetireMachineResponse, error) {
			return c.directoryAt(base).Retire(ctx, &rockwindpb.RetireMachine{Name: name})
		})
		return err
	}
	group, view, err := c.currentState()
	if err != nil {
		return err
	}
	if _, leading := group.Leading(); !leading {
		// Only the leader knows which stores are alive.
		return c.callLeaderDirectory(ctx, func(ctx context.Context, service rockwindpb.DirectoryService) error {
			_, err := service.Retire(ctx, &rockwindpb.RetireMachine{Name: name})
			return err
		})
	}
	machine, known := view.directory.Machine(name)
	if !known || machine.GetRole() != rockwindpb.SiteRole_SITE_ROLE_STORE {
		return fault.Newf(fault.NotFound, "name a store of the site", "no store is named %q", name)
	}
	if machine.GetRetiring() {
		return nil
	}
	remaining := c.countRemaining(view.directory, name, func(*rockwindpb.Machine) bool { return true })
	if wanted := site.GroupSize(c.settings); remaining < wanted {
		return fault.Newf(fault.Conflict, "add a store first", "only %d stores would remain, but the site needs %d", remaining, wanted)
	}
	if err := c.checkRegionOfRetiring(view.directory, machine); err != nil {
		return err
	}
	err = c.commitOnLeader(ctx, &rockwindpb.DirectoryCommand{
		Command: &rockwindpb.DirectoryCommand_Retire{Retire: &rockwindpb.RetireMachine{Name: name}},
	})
	log.WithField("machine", name).WithField("left", remaining).WithField("committed", err == nil).Info("store retires")
	return err
}

// countRemaining counts the wanted stores that are alive and not retiring, without the named one.
func (c *Coordinator) countRemaining(view *directory.View, name string, wanted func(*rockwindpb.Machine) bool) int {
	remaining := 0
	for _, other := range stores(view) {
		alive := c.liveness.seenSince(machineKey(other.GetName()), time.Now().Add(-aliveTimeout))
		if other.GetName() != name && !other.GetRetiring() && alive && wanted(other) {
			remaining++
		}
	}
	return remaining
}

// checkRegionOfRetiring fails with fault.Conflict if too few stores would remain in the region of a
// store for the shard of the region. Fewer than the site's fault tolerance needs are enough, since
// no store of another region may replace one of the region.
func (c *Coordinator) checkRegionOfRetiring(view *directory.View, retiring *rockwindpb.Machine) error {
	regions := site.Topology(c.settings)
	region := regions.Region(retiring.GetZone())
	if _, found := view.RegionalShard(region); !found {
		return nil
	}
	remaining := c.countRemaining(view, retiring.GetName(), func(other *rockwindpb.Machine) bool {
		return regions.Region(other.GetZone()) == region
	})
	if remaining < minStoresOfRegion {
		return fault.Newf(fault.Conflict, "add a store in the region first", "only %d stores would remain in region %s, but its shard needs %d", remaining, region, minStoresOfRegion)
	}
	return nil
}

// callLeaderDirectory calls the directory service of a remote leader of the root group.
func (c *Coordinator) callLeaderDirectory(ctx context.Context, call func(context.Context, rockwindpb.DirectoryService) error) error {
	return c.runOnLeader(ctx, func() error {
		return fault.New(fault.Conflict, "leadership has changed", "retry the request")
	}, func(ctx context.Context, base string) error {
		return call(ctx, c.directoryAt(base))
	})
}

func stores(view *directory.View) []*rockwindpb.Machine {
	return view.WithRole(rockwindpb.SiteRole_SITE_ROLE_STORE)
}

// Retired reports whether a retiring store holds no data any more: the leaders of all shards that it
// may be a member of are known, and none lists it as a member.
func (c *Coordinator) Retired(ctx context.Context, name string) (bool, error) {
	view, err := c.currentDirectory(ctx)
	if err != nil {
		return false, err
	}
	machine, known := view.Machine(name)
	if !known || !machine.GetRetiring() {
		return false, fault.Newf(fault.NotFound, "ask the store to retire first", "no store named %q is retiring", name)
	}
	led := c.ledShards(ctx, stores(view))
	region := site.Topology(c.settings).Region(machine.GetZone())
	for _, group := range view.StoreCluster().GetGroups() {
		if group.GetRegion() != "" && group.GetRegion() != region && !directory.HasWitnesses(group.GetMembership()) {
			continue
		}
		status := led[group.GetGroup()]
		if status == nil || hasMember(status.GetMembership(), name) {
			return false, nil
		}
	}
	return true, nil
}

// currentDirectory returns the local directory, or that of a member on a non-member.
func (c *Coordinator) currentDirectory(ctx context.Context) (*directory.View, error) {
	if c.isNonMember() {
		response, err := forward(ctx, c, forwardTimeout, func(ctx context.Context, base string) (*rockwindpb.WatchDirectoryResponse, error) {
			return c.directoryAt(base).Watch(ctx, &rockwindpb.WatchDirectoryRequest{})
		})
		if err != nil {
			return nil, err
		}
		return directory.Merge(nil, response), nil
	}
	_, view, err := c.currentState()
	if err != nil {
		return nil, err
	}
	return view.directory, nil
}

func hasMember(membership *rockwindpb.Membership, machine string) bool {
	return slices.ContainsFunc(membership.GetMembers(), func(member *rockwindpb.Member) bool {
		return member.GetMachine() == machine
	})
}

// ledShards queries all stores and returns, for each shard, the status from the leader with the
// highest term.
func (c *Coordinator) ledShards(ctx context.Context, machines []*rockwindpb.Machine) map[uint32]*rockwindpb.GroupStatus {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	var mutex sync.Mutex
	var answers sync.WaitGroup
	led := make(map[uint32]*rockwindpb.GroupStatus)
	for _, store := range machines {
		answers.Go(func() {
			service := rockwindpb.NewReplicaServiceProtobufClient("http://"+store.GetAddress(), c.twirpClient())
			identity, err := service.Identity(ctx, &rockwindpb.IdentityRequest{})
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			for _, status := range identity.GetGroups() {
				leads := status.GetLeader() == identity.GetDiskId() && status.GetHearsLeader()
				if leads && status.GetTerm() >= led[status.GetGroup()].GetTerm() {
					led[status.GetGroup()] = status
				}
			}
		})
	}
	answers.Wait()
	return led
}

// isMachineKey reports whether a liveness key belongs to a machine.
func isMachineKey(key string) bool { return strings.HasPrefix(key, machinePrefix) }
