package faults

import (
	"math/rand/v2"
	"time"
)

// Kind is a kind of injected fault.
type Kind string

// The kinds of fault. The first group affects control machines, the second gateways
// and engines.
const (
	// KillControl kills a control daemon and starts it again.
	KillControl Kind = "kill-control"
	// FreezeControl suspends the process of a control daemon for a while.
	FreezeControl Kind = "freeze-control"
	// CutControl drops the traffic between a control daemon and the others, without
	// closing connections.
	CutControl Kind = "cut-control"
	// StopControl stops a control daemon gracefully and starts it again.
	StopControl Kind = "stop-control"
	// LoseDisk kills a control daemon, wipes its disk and starts it again.
	LoseDisk Kind = "lose-disk"
	// LoseTwoDisks wipes the disks of two control daemons at once.
	LoseTwoDisks Kind = "lose-two-disks"
	// LoseDiskAfterRepair wipes a second disk right after the first is repaired.
	LoseDiskAfterRepair Kind = "lose-disk-after-repair"
	// LoseDiskWhileCut wipes the disk of a control daemon while another one is
	// isolated.
	LoseDiskWhileCut Kind = "lose-disk-while-cut"
	// KillGateway kills a gateway with items in flight and starts it again.
	KillGateway Kind = "kill-gateway"
	// StopGateway stops a gateway gracefully and starts it again.
	StopGateway Kind = "stop-gateway"
	// FreezeGateway suspends the process of a gateway for up to twice the longest
	// fault, so that its leases can expire.
	FreezeGateway Kind = "freeze-gateway"
	// CutGateway drops the traffic from a gateway to all control machines, for as
	// long as FreezeGateway.
	CutGateway Kind = "cut-gateway"
	// MissChanges keeps a gateway down while hundreds of configurations are applied.
	MissChanges Kind = "miss-changes"
	// KillEngine kills an engine with requests in flight and starts it again.
	KillEngine Kind = "kill-engine"
	// FreezeEngine suspends the process of an engine for a while.
	FreezeEngine Kind = "freeze-engine"
)

// controlKinds affect control machines, edgeKinds gateways and engines. One fault of
// each list may be active at the same time.
var (
	controlKinds = []Kind{KillControl, FreezeControl, CutControl, StopControl, LoseDisk, LoseTwoDisks, LoseDiskAfterRepair, LoseDiskWhileCut}
	edgeKinds    = []Kind{KillGateway, StopGateway, FreezeGateway, CutGateway, MissChanges, KillEngine, FreezeEngine}
)

// Bounds of the length of a fault and of the gap between two faults of one generator.
const (
	shortestFault = 500 * time.Millisecond
	longestFault  = 6 * time.Second
	shortestGap   = 200 * time.Millisecond
	longestGap    = 2 * time.Second
)

// Fault is one planned fault.
type Fault struct {
	Kind Kind
	// Target selects the affected process, modulo the number of candidates; Second
	// selects another one.
	Target, Second int
	// Length is the time until the fault is reverted.
	Length time.Duration
	// Gap is the time until the next fault of the same generator.
	Gap time.Duration
}

// faultGenerator generates an endless sequence of faults of the given kinds. Every
// kind occurs once, in random order, before any is repeated.
type faultGenerator struct {
	random    *rand.Rand
	kinds     []Kind
	remaining []Kind
}

func newFaultGenerator(seed uint64, stream uint64, kinds []Kind) *faultGenerator {
	return &faultGenerator{random: rand.New(rand.NewPCG(seed, stream)), kinds: kinds}
}

func (g *faultGenerator) next() Fault {
	if len(g.remaining) == 0 {
		g.remaining = append([]Kind(nil), g.kinds...)
		g.random.Shuffle(len(g.remaining), func(i, j int) { g.remaining[i], g.remaining[j] = g.remaining[j], g.remaining[i] })
	}
	kind := g.remaining[0]
	g.remaining = g.remaining[1:]
	return Fault{
		Kind:   kind,
		Target: g.random.IntN(1 << 16),
		Second: g.random.IntN(1 << 16),
		Length: randomDuration(g.random, shortestFault, longestFault),
		Gap:    randomDuration(g.random, shortestGap, longestGap),
	}
}

func randomDuration(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}
