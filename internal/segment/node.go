package segment

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Defaults of Options.
const (
	defaultSegmentBytes   = 128 << 20
	defaultRepairRate     = 32 << 20
	defaultRepairInterval = 10 * time.Second
	defaultScrubInterval  = 6 * time.Hour
	defaultDownGrace      = 2 * time.Minute
	defaultOpenAge        = time.Hour
	defaultCommitTimeout  = 2 * time.Second
	// wantedCopies is how many copies a segment has once it is repaired.
	wantedCopies = 3
	// busyRepairDivisor shortens the time between rounds of repair while copies are
	// missing.
	busyRepairDivisor = 5
	// pendingStores is how many Store calls may wait for the writer.
	pendingStores = 4096
)

// Peer is another machine with a disk.
type Peer struct {
	// Machine is its name.
	Machine string
	// Service reaches its segments.
	Service rockwindpb.SegmentService
}

// Options of a node.
type Options struct {
	// Machine is the name of this machine.
	Machine string
	// DiskID is the identity of this machine's disk.
	DiskID string
	Files  FileSystem
	// Peers are the other machines with disks.
	Peers []Peer
	// SegmentBytes is the size at which a segment is sealed; zero means 128 MiB.
	SegmentBytes int64
	// OpenAge is the longest time that a segment takes appends; zero means 1 h.
	OpenAge time.Duration
	// CommitTimeout is how long a commit waits for enough copies before it goes
	// on in another segment at other machines; zero means 2 s.
	CommitTimeout time.Duration
	// RepairBytesPerSecond bounds copying and scrubbing; zero means 32 MiB/s.
	RepairBytesPerSecond int
	// RepairInterval is the time between rounds of repair; zero means 10 s.
	RepairInterval time.Duration
	// ScrubInterval is the time between rounds of scrubbing; zero means 6 h.
	ScrubInterval time.Duration
	// DownGrace is how long a machine may be unreachable before its copies are
	// made again elsewhere; zero means 2 min, below zero means at once.
	DownGrace time.Duration
	// Now tells the time; nil means time.Now.
	Now func() time.Time
	// Random draws segment ids; nil means a random source seeded by the system.
	Random func() uint64
}

// Node stores bodies on this machine and its peers.
type Node struct {
	options Options
	store   *localStore
	pending chan *pendingStore
	limiter *rate.Limiter
	peers   []*peer

	mutex   sync.Mutex
	holders map[uint64][]*peer
	// lagging holds the lengths of unsealed segments that were too short here in
	// the last round of repair.
	lagging   map[uint64]int64
	retention retention
	statistics
}

// statistics counts what a node did since it started.
type statistics struct {
	stored   uint64
	repaired uint64
	damaged  uint64
	removed  uint64
}

// Statistics describes a node.
type Statistics struct {
	// Segments on this disk.
	Segments int
	// BytesOnDisk of all segments.
	BytesOnDisk int64
	// StoredBodies acknowledged by this node as writer.
	StoredBodies uint64
	// RepairedBytes copied from peers.
	RepairedBytes uint64
	// DamagedBytes found by scrubbing and reading.
	DamagedBytes uint64
	// RemovedSegments past their retention.
	RemovedSegments uint64
}

// Open reads the segments of the disk. Nothing is appended to the segments that
// this node wrote before: a writer that restarts goes on in a new one.
func Open(options Options) (*Node, error) {
	options = withDefaults(options)
	opened, err := openLocalStore(options.Files, options.Now)
	if err != nil {
		return nil, err
	}
	node := &Node{
		options: options,
		store:   opened,
		pending: make(chan *pendingStore, pendingStores),
		limiter: rate.NewLimiter(rate.Limit(options.RepairBytesPerSecond), max(options.RepairBytesPerSecond, copyBytes)),
		holders: make(map[uint64][]*peer),
		lagging: make(map[uint64]int64),
		retention: retention{
			reports: make(map[uint32]shardReport),
			pinned:  make(map[uint64]time.Time),
		},
	}
	for _, settings := range options.Peers {
		node.peers = append(node.peers, &peer{Peer: settings, heard: options.Now()})
	}
	return node, nil
}

func withDefaults(options Options) Options {
	options.SegmentBytes = orDefault(options.SegmentBytes, defaultSegmentBytes)
	options.OpenAge = orDefault(options.OpenAge, defaultOpenAge)
	options.CommitTimeout = orDefault(options.CommitTimeout, defaultCommitTimeout)
	options.RepairBytesPerSecond = orDefault(options.RepairBytesPerSecond, defaultRepairRate)
	options.RepairInterval = orDefault(options.RepairInterval, defaultRepairInterval)
	options.ScrubInterval = orDefault(options.ScrubInterval, defaultScrubInterval)
	if options.DownGrace == 0 {
		options.DownGrace = defaultDownGrace
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Random == nil {
		options.Random = randomID
	}
	return options
}

func orDefault[Number int | int64 | time.Duration](value, fallback Number) Number {
	if value > 0 {
		return value
	}
	return fallback
}

// Run writes, repairs and scrubs until the context ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.write(ctx) })
	group.Go(func() error { return n.keepRepairing(ctx) })
	group.Go(func() error { return every(ctx, n.options.ScrubInterval, n.Scrub) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// keepRepairing repairs in rounds, which follow each other faster while copies are
// missing.
func (n *Node) keepRepairing(ctx context.Context) error {
	for {
		pause := n.options.RepairInterval
		if n.Repair(ctx) {
			pause /= busyRepairDivisor
		}
		if !retry.Pause(ctx, pause) {
			return ctx.Err()
		}
	}
}

// every calls work at once and then after each interval.
func every(ctx context.Context, interval time.Duration, work func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Close closes the files; nothing may be running.
func (n *Node) Close() error {
	return n.store.close()
}

// Statistics returns counts for metrics.
func (n *Node) Statistics() Statistics {
	n.mutex.Lock()
	counted := n.statistics
	n.mutex.Unlock()
	result := Statistics{
		StoredBodies:    counted.stored,
		RepairedBytes:   counted.repaired,
		DamagedBytes:    counted.damaged,
		RemovedSegments: counted.removed,
	}
	for _, held := range n.store.all() {
		result.Segments++
		result.BytesOnDisk += held.extent().length
	}
	return result
}

// syncedCopies is how many synced copies acknowledge a body, this machine's
// included.
func (n *Node) syncedCopies() int {
	machines := len(n.peers) + 1
	return min(machines/2+1, wantedCopies)
}

// fullCopies is how many copies a segment has once it is repaired.
func (n *Node) fullCopies() int {
	return min(len(n.peers)+1, wantedCopies)
}
