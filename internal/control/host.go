package control

import (
	"context"
	"maps"
	"slices"
	"sync"

	"rockwind.example/rockwind/internal/catalog"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/ledger"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharding"
)

// host runs the replicated groups of this machine.
type host interface {
	// Group returns a group that this machine replicates.
	Group(number uint32) (replica.Group, bool)
	// Service is spoken among the control machines.
	Service() rockwindpb.ReplicaService
	// Run drives the groups until the context ends.
	Run(ctx context.Context) error
	// Drain hands over the leadership of all groups.
	Drain(ctx context.Context) error
}

// localShards is how many job shards a local host has.
const localShards = 4

// localHost keeps its groups in memory, for tests of the services alone.
type localHost struct {
	address string
	groups  []*replica.Local
}

func newLocalHost(address string, create func(group uint32) replica.StateMachine) *localHost {
	created := &localHost{address: address}
	for number := uint32(0); number <= localShards; number++ {
		created.groups = append(created.groups, replica.NewLocal(create(number)))
	}
	return created
}

// Group implements host.
func (h *localHost) Group(number uint32) (replica.Group, bool) {
	if int(number) >= len(h.groups) {
		return nil, false
	}
	return h.groups[number], true
}

// Service implements host.
func (h *localHost) Service() rockwindpb.ReplicaService { return localReplica{host: h} }

// Run implements host.
func (h *localHost) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Drain implements host.
func (h *localHost) Drain(context.Context) error { return nil }

// localReplica answers who the machine is; there is nobody to replicate to.
type localReplica struct {
	rockwindpb.ReplicaService
	host *localHost
}

// Identity implements rockwindpb.ReplicaService.
func (l localReplica) Identity(context.Context, *rockwindpb.IdentityRequest) (*rockwindpb.IdentityResponse, error) {
	identity := &rockwindpb.IdentityResponse{ClusterId: "local"}
	for number, group := range l.host.groups {
		status := group.Status()
		status.Group = uint32(number)
		status.LeaderAddress = l.host.address
		identity.Groups = append(identity.Groups, status)
	}
	return identity, nil
}

// machines makes and keeps the state machines of the groups. Groups may appear
// while the daemon runs, when the machine is founded or joins.
type machines struct {
	mutex  sync.Mutex
	root   *catalog.Machine
	shards map[uint32]*ledger.Ledger
	// created receives the number of each new group.
	created chan uint32
}

// groupLimit bounds the groups of one machine.
const groupLimit = 1024

func newMachines() *machines {
	return &machines{shards: make(map[uint32]*ledger.Ledger), created: make(chan uint32, groupLimit)}
}

// create returns the state machine of a group.
func (m *machines) create(group uint32) replica.StateMachine {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.created <- group
	if group == sharding.RootGroup {
		m.root = catalog.New()
		return m.root
	}
	created := ledger.New(group)
	m.shards[group] = created
	return created
}

// catalog returns the state machine of the root group, nil before it exists.
func (m *machines) catalog() *catalog.Machine {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.root
}

// ledger returns the state machine of a shard, nil before it exists.
func (m *machines) ledger(number uint32) *ledger.Ledger {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.shards[number]
}

// numbers lists the shards that this machine replicates.
func (m *machines) numbers() []uint32 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Sorted(maps.Keys(m.shards))
}

// unknownGroup is the fault for a group that another machine replicates.
func unknownGroup(number uint32) error {
	return fault.Newf(fault.NotLeader, "ask another control machine",
		"this machine does not replicate group %d", number)
}
