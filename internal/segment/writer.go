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
	// batchBytes bounds the bodies of one group commit.
	batchBytes = 8 << 20
	// commitAttempts is how many segments a batch is tried in.
	commitAttempts = 3
	// idleSeal is after how long without appends the writer seals its segment,
	// so that followers need not guess whether the writer is gone.
	idleSeal = 20 * time.Second
	// orphanSeal is after how long without appends any holder seals a segment.
	orphanSeal = 60 * time.Second
)

// pendingStore is one Store call that waits for the writer.
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
// synced. Bodies of calls that wait together are synced together. A failed call
// may be repeated; it leaves no reference behind.
func (n *Node) Store(ctx context.Context, bodies [][]byte) ([]*rockwindpb.BodyReference, error) {
	if len(bodies) == 0 {
		return nil, nil
	}
	waiting := &pendingStore{bodies: bodies, done: make(chan storeResult, 1)}
	for _, body := range bodies {
		if len(body) > MaximumBodyBytes {
			return nil, fault.Newf(fault.InvalidArgument, "split the body",
				"a body of %d bytes is longer than %d", len(body), MaximumBodyBytes)
		}
		waiting.size += len(body)
	}
	select {
	case n.pending <- waiting:
	default:
		return nil, fault.New(fault.Overloaded, "too many bodies wait for the disk",
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

// writer is the state of the goroutine that appends.
type writer struct {
	node    *Node
	current *openSegment
}

// write serves Store calls until the context ends.
func (n *Node) write(ctx context.Context) error {
	w := &writer{node: n}
	defer w.leave()
	idle := time.NewTicker(idleSeal / 2)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle.C:
			w.sealIdle()
		case first := <-n.pending:
			w.commit(ctx, n.gather(first))
		}
	}
}

// gather takes the calls that wait, up to the bound of a batch.
func (n *Node) gather(first *pendingStore) []*pendingStore {
	batch := []*pendingStore{first}
	size := first.size
	for size < batchBytes {
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

// commit stores a batch and answers its calls.
func (w *writer) commit(ctx context.Context, batch []*pendingStore) {
	var references []*rockwindpb.BodyReference
	var err error
	for range commitAttempts {
		references, err = w.attempt(ctx, batch)
		if err == nil || ctx.Err() != nil {
			break
		}
		w.moveOn()
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
		w.node.count(func(counted *statistics) { counted.stored += uint64(len(references)) })
	}
}

func (n *Node) count(change func(*statistics)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	change(&n.statistics)
}

// attempt appends a batch to the current segment and waits for enough copies.
func (w *writer) attempt(ctx context.Context, batch []*pendingStore) ([]*rockwindpb.BodyReference, error) {
	open, err := w.open(ctx)
	if err != nil {
		return nil, err
	}
	local := open.local
	start := local.extent().length
	encoded, references := encodeBatch(local.header.segment, start, batch)
	if err := local.write(start, encoded, w.node.options.Now()); err != nil {
		return nil, err
	}
	end := start + int64(len(encoded))
	open.announce(end)
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

// open returns the segment to append to, a new one where the current one is
// full, old or failed.
func (w *writer) open(ctx context.Context) (*openSegment, error) {
	if w.current != nil && w.current.usable() {
		return w.current, nil
	}
	w.leave()
	node := w.node
	followers := node.chooseFollowers()
	if node.answering()+1 < node.syncedCopies() {
		return nil, fault.Newf(fault.Unavailable, "start the control machines that are down, or try again in a few seconds",
			"a body needs %d synced copies and only %d machines can take one", node.syncedCopies(), node.answering()+1).
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

// chooseFollowers returns the machines that take copies of the next segment:
// those that answered lately, spread by rendezvous.
func (n *Node) chooseFollowers() []*peer {
	now := n.options.Now()
	key := strconv.FormatUint(n.options.Random(), 16)
	candidates := slices.Clone(n.peers)
	if len(n.peers) >= wantedCopies {
		candidates = slices.DeleteFunc(candidates, func(candidate *peer) bool { return candidate.paused(now) })
	}
	slices.SortFunc(candidates, func(left, right *peer) int {
		return cmp.Compare(ownership.Score(right.Machine, key), ownership.Score(left.Machine, key))
	})
	return candidates[:min(len(candidates), n.fullCopies()-1)]
}

// answering counts the peers that did not fail lately.
func (n *Node) answering() int {
	now := n.options.Now()
	count := 0
	for _, candidate := range n.peers {
		if !candidate.paused(now) {
			count++
		}
	}
	return count
}

// moveOn leaves a segment whose commit failed where other machines can take the
// next one.
func (w *writer) moveOn() {
	others := len(w.node.peers) >= w.node.fullCopies()
	if w.current != nil && (others || !w.current.usable()) {
		w.leave()
	}
}

// leave seals the current segment; the lanes bring the followers up to its end.
func (w *writer) leave() {
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
	extent := w.current.local.extent()
	if w.node.options.Now().Sub(extent.touched) >= idleSeal {
		w.leave()
	}
}
