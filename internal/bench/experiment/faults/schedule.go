package faults

import (
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault that the experiment brings about.
type Kind string

// The kinds of fault. The first group strikes control machines, the second
// what stands around them.
const (
	// KillControl kills a control daemon without warning and starts it again.
	KillControl Kind = "kill-control"
	// FreezeControl stops a control daemon for a while without its noticing.
	FreezeControl Kind = "freeze-control"
	// CutControl cuts a control daemon off from the others in silence, for long.
	CutControl Kind = "cut-control"
	// StopControl stops a control daemon as planned and starts it again.
	StopControl Kind = "stop-control"
	// LoseDisk kills a control daemon and empties its disk.
	LoseDisk Kind = "lose-disk"
	// LoseTwoDisks empties the disks of two control daemons at once.
	LoseTwoDisks Kind = "lose-two-disks"
	// LoseDiskAfterRepair empties a second disk right after the first has been
	// repaired.
	LoseDiskAfterRepair Kind = "lose-disk-after-repair"
	// LoseDiskWhileCut empties the disk of a control daemon while another one is cut
	// off.
	LoseDiskWhileCut Kind = "lose-disk-while-cut"
	// KillGateway kills a gateway with items in flight and starts it again.
	KillGateway Kind = "kill-gateway"
	// StopGateway stops a gateway as planned and starts it again.
	StopGateway Kind = "stop-gateway"
	// FreezeGateway stops a gateway for longer than its leases last.
	FreezeGateway Kind = "freeze-gateway"
	// CutGateway cuts a gateway off from all control machines in silence, for longer
	// than its leases last.
	CutGateway Kind = "cut-gateway"
	// MissChanges keeps a gateway down while hundreds of configurations pass.
	MissChanges Kind = "miss-changes"
	// KillEngine kills an engine with requests in flight and starts it again.
	KillEngine Kind = "kill-engine"
	// FreezeEngine stops an engine for a while.
	FreezeEngine Kind = "freeze-engine"
)

// controlKinds strike control machines, edgeKinds all others. One of each may
// strike at the same time.
var (
	controlKinds = []Kind{KillControl, FreezeControl, CutControl, StopControl, LoseDisk, LoseTwoDisks, LoseDiskAfterRepair, LoseDiskWhileCut}
	edgeKinds    = []Kind{KillGateway, StopGateway, FreezeGateway, CutGateway, MissChanges, KillEngine, FreezeEngine}
)

// Bounds of a fault's length and of the gap between two on one track.
const (
	shortestFault = 500 * time.Millisecond
	longestFault  = 6 * time.Second
	shortestGap   = 200 * time.Millisecond
	longestGap    = 2 * time.Second
)

// Fault is one planned fault.
type Fault struct {
	Kind Kind
	// Target picks the victim, modulo the number of candidates; Second picks
	// another one.
	Target, Second int
	// Length is how long the fault lasts before it is healed.
	Length time.Duration
	// Gap is the time until the next fault of the same track.
	Gap time.Duration
}

// track makes an endless stream of faults of the given kinds. All kinds come
// once, in random order, before any comes again.
type track struct {
	random *rand.Rand
	kinds  []Kind
	left   []Kind
}

func newTrack(seed uint64, stream uint64, kinds []Kind) *track {
	return &track{random: rand.New(rand.NewPCG(seed, stream)), kinds: kinds}
}

func (t *track) next() Fault {
	if len(t.left) == 0 {
		t.left = append([]Kind(nil), t.kinds...)
		t.random.Shuffle(len(t.left), func(i, j int) { t.left[i], t.left[j] = t.left[j], t.left[i] })
	}
	kind := t.left[0]
	t.left = t.left[1:]
	return Fault{
		Kind:   kind,
		Target: t.random.IntN(1 << 16),
		Second: t.random.IntN(1 << 16),
		Length: between(t.random, shortestFault, longestFault),
		Gap:    between(t.random, shortestGap, longestGap),
	}
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}
