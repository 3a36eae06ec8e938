package segment

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/ownership"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// maximumBatchBytes is the size at which a group commit takes no more calls.
	maximumBatchBytes = 8 << 20
	// maximumCommitAttempts bounds the attempts to commit a batch.
	maximumCommitAttempts = 3
	// idleSealDelay is the time without appends after which the writer seals its
	// segment, before other machines consider it orphaned.
	idleSealDelay = 20 * time.Second
	// orphanSealDelay is the time without appends after which any machine seals its
	// copy.
	orphanSealDelay = 60 * time.Second
)

// pendingStore is a Store call that waits for the writer.
type pendingStore struct {
	bodies [][]byte
	size   int
	done   chan storeResult
}

type storeResult struct {
	references []*rockwindpb.BodyReference
	err        error
}

// Store replicates bodies and returns their references once enough copies are
// synced. Concurrent calls are committed together. A failed call may be repeated:
// no reference to its bodies exists.
func (n *Node) Store(ctx context.Context, bodies [][]byte) ([]*rockwindpb.BodyReference, error) {
	if len(bodies) == 0 {
		return nil, nil
	}
	waiting := &pendingStore{bodies: bodies, done: make(chan storeResult, 1)}
	for _, body := range bodies {
		if len(body) > MaximumBodyBytes {
			return nil, fault.Newf(fault.InvalidArgument, "split the body",
				"a body of %d bytes exceeds the maximum of %d", len(body), MaximumBodyBytes)
		}
		waiting.size += len(body)
	}
	select {
	case n.pending <- waiting:
	default:
		return nil, fault.New(fault.Overloaded, "too many calls to store bodies are pending",
			"store at another control machine or later").WithRan(fault.NotRun)
	}
	select {
	case result := <-waiting.done:
		return result.references, result.err
	case <-ctx.Done():
		return nil, fault.New(fault.OutcomeUnknown, "the call ended before the bodies were synced",
			"store them again").WithRan(fault.RanUnknown)
	}
}

// writer is the state of the goroutine that commits batches.
type writer struct {
	node    *Node
	current *openSegment
}

// runWriter commits the bodies of Store calls until the context ends.
func (n *Node) runWriter(ctx context.Context) error {
	w := &writer{node: n}
	defer w.finishCurrent()
	idle := time.NewTicker(idleSealDelay / 2)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle.C:
			w.sealIdle()
		case first := <-n.pending:
			w.commit(ctx, n.collectBatch(first))
		}
	}
}

// collectBatch returns the first call and further pending ones, until the batch has
// maximumBatchBytes.
func (n *Node) collectBatch(first *pendingStore) []*pendingStore {
	batch := []*pendingStore{first}
	size := first.size
	for size < maximumBatchBytes {
		select {
		case next := <-n.pending:
			batch = append(batch, next)
			size += next.size
		default:
			return batch
		}
	}
	return batch
}

// commit stores a batch, with retries, and returns the results to its calls.
func (w *writer) commit(ctx context.Context, batch []*pendingStore) {
	var references []*rockwindpb.BodyReference
	var err error
	for range maximumCommitAttempts {
		references, err = w.tryCommit(ctx, batch)
		if err == nil || ctx.Err() != nil {
			break
		}
		w.abandonFailed()
	}
	position := 0
	for _, call := range batch {
		if err != nil {
			call.done <- storeResult{err: err}
			continue
		}
		next := position + len(call.bodies)
		call.done <- storeResult{references: references[position:next:next]}
		position = next
	}
	if err == nil {
		w.node.updateStatistics(func(counted *statistics) { counted.stored += uint64(len(references)) })
	}
}

func (n *Node) updateStatistics(change func(*statistics)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change(&n.statistics)
}

// tryCommit appends a batch to the current segment and waits for enough synced
// copies.
func (w *writer) tryCommit(ctx context.Context, batch []*pendingStore) ([]*rockwindpb.BodyReference, error) {
	open, err := w.open(ctx)
	if err != nil {
		return nil, err
	}
	local := open.local
	start := local.state().length
	encoded, references := encodeBatch(local.header.segment, start, batch)
	if err := local.write(start, encoded, w.node.options.Now()); err != nil {
		return nil, err
	}
	end := start + int64(len(encoded))
	open.setTarget(end)
	if err := local.sync(); err != nil {
		return nil, err
	}
	if err := open.awaitCopies(ctx, end); err != nil {
		return nil, err
	}
	return references, nil
}

func encodeBatch(segment uint64, start int64, batch []*pendingStore) ([]byte, []*rockwindpb.BodyReference) {
	var encoded []byte
	var references []*rockwindpb.BodyReference
	for _, call := range batch {
		for _, body := range call.bodies {
			references = append(references, &rockwindpb.BodyReference{
				Segment:  segment,
				Offset:   uint64(start) + uint64(len(encoded)),
				Length:   uint32(len(body)),
				Checksum: checksum(body),
			})
			encoded = appendRecord(encoded, body)
		}
	}
	return encoded, references
}

// open returns the segment to append to: the current one, or a new one if the
// current one is full, old or failed.
func (w *writer) open(ctx context.Context) (*openSegment, error) {
	if w.current != nil && w.current.usable() {
		return w.current, nil
	}
	w.finishCurrent()
	node := w.node
	followers := node.chooseFollowers()
	if node.availablePeers()+1 < node.commitQuorum() {
		return nil, fault.Newf(fault.Unavailable, "start the control machines that are down, or try again in a few seconds",
			"a body needs %d synced copies, but only %d machines are available", node.commitQuorum(), node.availablePeers()+1).
			WithRetryAfter(peerPause)
	}
	header := fileHeader{segment: node.options.Random() >> 1, createdUnixMs: node.options.Now().UnixMilli()}
	local, err := node.store.create(header)
	if err != nil {
		return nil, err
	}
	w.current = newOpenSegment(ctx, node, local, followers)
	return w.current, nil
}

// chooseFollowers selects the followers of the next segment by rendezvous hashing
// with a random key, without paused peers where there are enough peers.
func (n *Node) chooseFollowers() []*peer {
	now := n.options.Now()
	key := strconv.FormatUint(n.options.Random(), 16)
	candidates := slices.Clone(n.peers)
	if len(n.peers) >= replicationFactor {
		candidates = slices.DeleteFunc(candidates, func(candidate *peer) bool { return candidate.paused(now) })
	}
	slices.SortFunc(candidates, func(left, right *peer) int {
		return cmp.Compare(ownership.Score(right.Machine, key), ownership.Score(left.Machine, key))
	})
	return candidates[:min(len(candidates), n.targetCopies()-1)]
}

// availablePeers counts the peers that are not paused.
func (n *Node) availablePeers() int {
	now := n.options.Now()
	count := 0
	for _, candidate := range n.peers {
		if !candidate.paused(now) {
			count++
		}
	}
	return count
}

// abandonFailed finishes the current segment after a failed commit if it is no
// longer usable, or if there are other machines to choose followers from.
func (w *writer) abandonFailed() {
	others := len(w.node.peers) >= w.node.targetCopies()
	if w.current != nil && (others || !w.current.usable()) {
		w.finishCurrent()
	}
}

// finishCurrent seals the current segment; its replicators bring the followers up to
// its end.
func (w *writer) finishCurrent() {
	if w.current == nil {
		return
	}
	w.current.finish()
	w.current = nil
}

func (w *writer) sealIdle() {
	if w.current == nil {
		return
	}
	state := w.current.local.state()
	if w.node.options.Now().Sub(state.lastWrite) >= idleSealDelay {
		w.finishCurrent()
	}
}
