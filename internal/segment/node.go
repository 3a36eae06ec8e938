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
	// replicationFactor is how many machines hold a repaired segment, if there are
	// that many.
	replicationFactor = 3
	// busyRepairDivisor shortens RepairInterval while copies are missing.
	busyRepairDivisor = 5
	// maximumPendingStores bounds the Store calls that wait for the writer.
	maximumPendingStores = 4096
)

// Peer is another machine with a disk.
type Peer struct {
	Machine string
	// Service is the client of its segment service.
	Service rockwindpb.SegmentService
}

// Options of a node.
type Options struct {
	Machine string
	// DiskID is the identity of this machine's disk.
	DiskID string
	Files  FileSystem
	// Peers are the other machines with disks.
	Peers []Peer
	// SegmentBytes is the size at which a segment is sealed; zero means 128 MiB.
	SegmentBytes int64
	// OpenAge is the age from which on nothing is appended to a segment; zero means
	// 1 h.
	OpenAge time.Duration
	// CommitTimeout is how long a commit waits for enough synced copies before it
	// is retried; zero means 2 s.
	CommitTimeout time.Duration
	// RepairBytesPerSecond bounds copying and scrubbing; zero means 32 MiB/s.
	RepairBytesPerSecond int
	// RepairInterval is the time between rounds of repair; zero means 10 s.
	RepairInterval time.Duration
	// ScrubInterval is the time between rounds of scrubbing; zero means 6 h.
	ScrubInterval time.Duration
	// DownGrace is how long a machine may be unreachable before its copies are
	// replaced on other machines; zero means 2 min, a negative value means at once.
	DownGrace time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Random generates segment ids and placement keys; nil means crypto/rand.
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
	// lagging holds the lengths of the unsealed segments whose copy here was missing
	// or too short in the last repair round.
	lagging   map[uint64]int64
	retention retention
	statistics
}

// statistics holds counters since the start of the node.
type statistics struct {
	stored   uint64
	repaired uint64
	damaged  uint64
	removed  uint64
}

// Statistics holds gauges of the disk and counters since the start of the node.
type Statistics struct {
	// Segments counts the segments on this disk.
	Segments int
	// BytesOnDisk is the length of all segments on this disk.
	BytesOnDisk int64
	// StoredBodies counts the bodies that this node acknowledged as the writer.
	StoredBodies uint64
	// RepairedBytes counts the bytes copied from peers.
	RepairedBytes uint64
	// DamagedBytes counts the damaged bytes found by scrubs and reads.
	DamagedBytes uint64
	// RemovedSegments counts the segments removed because no live reference exists.
	RemovedSegments uint64
}

// Open loads the segments of the disk. The writer does not append to any of them:
// it always starts a new segment.
func Open(options Options) (*Node, error) {
	options = withDefaults(options)
	opened, err := openLocalStore(options.Files, options.Now)
	if err != nil {
		return nil, err
	}
	node := &Node{
		options: options,
		store:   opened,
		pending: make(chan *pendingStore, maximumPendingStores),
		limiter: rate.NewLimiter(rate.Limit(options.RepairBytesPerSecond), max(options.RepairBytesPerSecond, chunkBytes)),
		holders: make(map[uint64][]*peer),
		lagging: make(map[uint64]int64),
		retention: retention{
			reports: make(map[uint32]shardReport),
			pinned:  make(map[uint64]time.Time),
		},
	}
	for _, settings := range options.Peers {
		node.peers = append(node.peers, &peer{Peer: settings, lastAnswer: options.Now()})
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

// Run runs the writer, repair and scrubbing until the context ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.runWriter(ctx) })
	group.Go(func() error { return n.runRepair(ctx) })
	group.Go(func() error { return runPeriodically(ctx, n.options.ScrubInterval, n.Scrub) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// runRepair repairs in rounds, with shorter pauses while copies are missing.
func (n *Node) runRepair(ctx context.Context) error {
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

// runPeriodically calls work at once and then after each interval.
func runPeriodically(ctx context.Context, interval time.Duration, work func(context.Context)) error {
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

// Close closes the segment files. Run must have returned.
func (n *Node) Close() error {
	return n.store.close()
}

// Statistics returns the values for metrics.
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
	for _, local := range n.store.all() {
		result.Segments++
		result.BytesOnDisk += local.state().length
	}
	return result
}

// commitQuorum is the number of synced copies, this machine's included, that a body
// needs before it is acknowledged.
func (n *Node) commitQuorum() int {
	machines := len(n.peers) + 1
	return min(machines/2+1, replicationFactor)
}

// targetCopies is the number of copies of a repaired segment.
func (n *Node) targetCopies() int {
	return min(len(n.peers)+1, replicationFactor)
}
