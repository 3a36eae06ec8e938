package control

import (
	"sync"

	"rockwind.example/rockwind/internal/catalog"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/ledger"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/sharding"
)

// stateMachines creates and holds the state machines of the groups. Groups are added
// while the daemon runs if a cluster is founded or the machine joins one.
type stateMachines struct {
	mutex  sync.Mutex
	root   *catalog.Machine
	shards map[uint32]*ledger.Ledger
	// created receives the number of each new group.
	created chan uint32
}

// groupLimit is the maximum number of groups on one machine.
const groupLimit = 1024

func newStateMachines() *stateMachines {
	return &stateMachines{shards: make(map[uint32]*ledger.Ledger), created: make(chan uint32, groupLimit)}
}

// create returns a new state machine for a group.
func (m *stateMachines) create(group uint32) replica.StateMachine {
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

// catalog returns the state machine of the root group, or nil if there is none.
func (m *stateMachines) catalog() *catalog.Machine {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.root
}

// ledger returns the state machine of a shard, or nil if there is none.
func (m *stateMachines) ledger(number uint32) *ledger.Ledger {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.shards[number]
}

// notReplicatedFault is returned for groups that only other machines replicate.
func notReplicatedFault(number uint32) error {
	return fault.Newf(fault.NotLeader, "ask another control machine",
		"this machine does not replicate group %d", number)
}
