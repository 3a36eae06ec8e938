package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/wal"
)

const (
	// writeQueueSize is how many updates can be queued without blocking.
	writeQueueSize = 1024
	// fullDiskRetry is the delay between write attempts while the disk is full.
	fullDiskRetry = 200 * time.Millisecond
)

// write is an update and its completion callback.
type write struct {
	update wal.Update
	// done is called on the writer's goroutine once the update is durable.
	done func()
}

// writer is the only goroutine that writes the log. It makes all queued updates, of
// all groups, durable with one sync. Updates that arrive during a sync form the next
// batch.
type writer struct {
	log   *wal.Log
	queue chan write
	// diskFull is set while the disk rejects writes for lack of space.
	diskFull atomic.Bool
	// writing is when the write in progress began, as a Unix time in nanoseconds, or 0.
	writing atomic.Int64
	// requestSnapshots is called with the groups that keep old segments in use.
	requestSnapshots func(groups []uint32)
}

// maxRetainedSegments is how many segments may exist before snapshots are requested
// from the groups that keep the oldest ones in use.
const maxRetainedSegments = 4

func newWriter(log *wal.Log, requestSnapshots func(groups []uint32)) *writer {
	return &writer{log: log, queue: make(chan write, writeQueueSize), requestSnapshots: requestSnapshots}
}

// submit queues an update. It returns early if the context ends.
func (w *writer) submit(ctx context.Context, update wal.Update, done func()) {
	select {
	case w.queue <- write{update: update, done: done}:
	case <-ctx.Done():
	}
}

// run writes batches until the context ends or a write fails permanently.
func (w *writer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-w.queue:
			if err := w.writeAll(ctx, w.nextBatch(first)); err != nil {
				return err
			}
		}
	}
}

func (w *writer) nextBatch(first write) []write {
	batch := []write{first}
	for {
		select {
		case next := <-w.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
}

func (w *writer) writeAll(ctx context.Context, batch []write) error {
	updates := make([]wal.Update, len(batch))
	for position := range batch {
		updates[position] = batch[position].update
	}
	if err := w.writeUntilRoom(ctx, updates); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return nil
	}
	for position := range batch {
		batch[position].done()
	}
	w.requestSnapshots(w.log.PinningGroups(maxRetainedSegments))
	return nil
}

// writeUntilRoom retries the write while the disk is full. Nothing is acknowledged
// meanwhile. See Log.Write for why a write to a full disk may be retried but a
// failed sync may not.
func (w *writer) writeUntilRoom(ctx context.Context, updates []wal.Update) error {
	for {
		w.writing.Store(time.Now().UnixNano())
		err := w.log.Write(updates)
		w.writing.Store(0)
		if err == nil {
			w.diskFull.Store(false)
			return nil
		}
		if w.log.Err() != nil || !wal.IsDiskFull(err) {
			return err
		}
		if !w.diskFull.Swap(true) {
			log.WithError(err).Error("cannot write control state; retrying")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(fullDiskRetry):
		}
	}
}

// writeAge returns how long the write in progress has taken, or 0.
func (w *writer) writeAge(now time.Time) time.Duration {
	if began := w.writing.Load(); began != 0 {
		return now.Sub(time.Unix(0, began))
	}
	return 0
}
