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
	// machinePrefix marks machines among what was heard.
	machinePrefix = "machine/"
	// forgetPatience is how long a machine must be silent before it is forgotten. It
	// announces itself again when it is back.
	forgetPatience = 12 * time.Second
	// livePatience is how long a machine may be silent and still count as alive.
	livePatience = 7 * time.Second
	// identityTimeout bounds the question to one store about its groups.
	identityTimeout = 400 * time.Millisecond
)

func machineKey(name string) string { return machinePrefix + name }

// forgetMachines removes the entries of machines that were not heard for long.
func (c *Coordinator) forgetMachines(ctx context.Context, view *directory.View, ledSince, now time.Time) {
	if now.Sub(ledSince) < forgetPatience {
		return
	}
	for _, machine := range view.Machines() {
		if machine.GetRetiring() || c.live.heardSince(machineKey(machine.GetName()), now.Add(-forgetPatience)) {
			continue
		}
		calling, cancel := context.WithTimeout(ctx, keepTimeout)
		err := c.change(calling, &rockwindpb.DirectoryCommand{
			Command: &rockwindpb.DirectoryCommand_Forget{Forget: &rockwindpb.ForgetMachine{Name: machine.GetName()}},
		})
		cancel()
		log.WithField("machine", machine.GetName()).WithField("patience", forgetPatience.String()).WithField("committed", err == nil).Info("machine is forgotten")
	}
}

// Retire has a store hand over all it keeps. It fails with fault.NotFound for a
// store that is not known, and with fault.Conflict where too few would be left to
// bear the losses that the site tolerates. It may be repeated.
func (c *Coordinator) Retire(ctx context.Context, name string) error {
	if c.outside() {
		_, err := passOnToLeader(ctx, c, toCommit, func(ctx context.Context, base string) (*rockwindpb.RetireMachineResponse, error) {
			return c.directoryAt(base).Retire(ctx, &rockwindpb.RetireMachine{Name: name})
		})
		return err
	}
	group, view, err := c.current()
	if err != nil {
		return err
	}
	if _, leading := group.Leading(); !leading {
		// Only the leader knows which stores are alive.
		return c.elsewhere(ctx, func(ctx context.Context, service rockwindpb.DirectoryService) error {
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
	left := 0
	for _, other := range stores(view.directory) {
		alive := c.live.heardSince(machineKey(other.GetName()), time.Now().Add(-livePatience))
		if other.GetName() != name && !other.GetRetiring() && alive {
			left++
		}
	}
	if wanted := site.Places(c.settings); left < wanted {
		return fault.Newf(fault.Conflict, "add a store first", "%d stores would be left, and the site needs %d", left, wanted)
	}
	err = c.change(ctx, &rockwindpb.DirectoryCommand{
		Command: &rockwindpb.DirectoryCommand_Retire{Retire: &rockwindpb.RetireMachine{Name: name}},
	})
	log.WithField("machine", name).WithField("left", left).WithField("committed", err == nil).Info("store retires")
	return err
}

// elsewhere makes a call at the leader of the root group, which is another machine.
func (c *Coordinator) elsewhere(ctx context.Context, call func(context.Context, rockwindpb.DirectoryService) error) error {
	return c.atLeader(ctx, func() error {
		return fault.New(fault.Conflict, "leadership has changed", "send the order again")
	}, func(ctx context.Context, base string) error {
		return call(ctx, c.directoryAt(base))
	})
}

func stores(view *directory.View) []*rockwindpb.Machine {
	return view.WithRole(rockwindpb.SiteRole_SITE_ROLE_STORE)
}

// Retired tells whether a store that retires keeps nothing any more: the leaders
// of all shards say that it is no member.
func (c *Coordinator) Retired(ctx context.Context, name string) (bool, error) {
	view, err := c.currentDirectory(ctx)
	if err != nil {
		return false, err
	}
	machine, known := view.Machine(name)
	if !known || !machine.GetRetiring() {
		return false, fault.Newf(fault.NotFound, "ask the store to retire first", "no store named %q retires", name)
	}
	led := c.ledShards(ctx, stores(view))
	for _, group := range view.StoreCluster().GetGroups() {
		status := led[group.GetGroup()]
		if status == nil || hasMember(status.GetMembership(), name) {
			return false, nil
		}
	}
	return true, nil
}

// currentDirectory returns the directory as it is known here, or by a member of the root group
// where this coordinator is outside.
func (c *Coordinator) currentDirectory(ctx context.Context) (*directory.View, error) {
	if c.outside() {
		response, err := passOn(ctx, c, passTimeout, func(ctx context.Context, base string) (*rockwindpb.WatchDirectoryResponse, error) {
			return c.directoryAt(base).Watch(ctx, &rockwindpb.WatchDirectoryRequest{})
		})
		if err != nil {
			return nil, err
		}
		return directory.Merge(nil, response), nil
	}
	_, view, err := c.current()
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

// ledShards asks all stores for the shards that they lead, and returns what the
// leader of the highest term says of each.
func (c *Coordinator) ledShards(ctx context.Context, asked []*rockwindpb.Machine) map[uint32]*rockwindpb.GroupStatus {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	var mutex sync.Mutex
	var answers sync.WaitGroup
	led := make(map[uint32]*rockwindpb.GroupStatus)
	for _, store := range asked {
		answers.Go(func() {
			service := rockwindpb.NewReplicaServiceProtobufClient("http://"+store.GetAddress(), c.carrier())
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

// isMachineKey tells machines from servers among what was heard.
func isMachineKey(key string) bool { return strings.HasPrefix(key, machinePrefix) }
