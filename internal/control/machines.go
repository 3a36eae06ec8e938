package control

import (
	"sync"

	"rockwind.example/rockwind/internal/catalog"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/ledger"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/sharding"
)

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

// unknownGroup is the fault for a group that another machine replicates.
func unknownGroup(number uint32) error {
	return fault.Newf(fault.NotLeader, "ask another control machine",
		"this machine does not replicate group %d", number)
}
