package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/wal"
)

const (
	// writeQueue is how many groups may wait for the writer without blocking.
	writeQueue = 1024
	// fullDiskRetry is the pause before a write is tried again on a full disk.
	fullDiskRetry = 200 * time.Millisecond
)

// write is an update and the goroutine that waits for it.
type write struct {
	update wal.Update
	// done is called on the writer's goroutine once the update is durable.
	done func()
}

// writer is the one goroutine that writes the log. It takes all updates that
// wait, of all groups, and makes them durable with one sync: while one sync
// runs the next batch gathers.
type writer struct {
	log   *wal.Log
	queue chan write
	// full tells that the disk refused the last write for lack of room.
	full atomic.Bool
	// pin is called with the groups that keep old segments.
	pin func(groups []uint32)
}

// keptSegments is how many segments may stand before groups are asked for
// snapshots that let the oldest go.
const keptSegments = 4

func newWriter(log *wal.Log, pin func(groups []uint32)) *writer {
	return &writer{log: log, queue: make(chan write, writeQueue), pin: pin}
}

// submit queues an update. It gives up when the context ends.
func (w *writer) submit(ctx context.Context, update wal.Update, done func()) {
	select {
	case w.queue <- write{update: update, done: done}:
	case <-ctx.Done():
	}
}

// run writes until the context ends, or until the disk fails for good.
func (w *writer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-w.queue:
			if err := w.writeAll(ctx, w.gather(first)); err != nil {
				return err
			}
		}
	}
}

func (w *writer) gather(first write) []write {
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
	if err := w.persist(ctx, updates); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return nil
	}
	for position := range batch {
		batch[position].done()
	}
	w.pin(w.log.PinningGroups(keptSegments))
	return nil
}

// persist writes until there is room on the disk. Nothing is acknowledged
// meanwhile; see Log.Write for why a full disk may be tried again and a failed
// sync may not.
func (w *writer) persist(ctx context.Context, updates []wal.Update) error {
	for {
		err := w.log.Write(updates)
		if err == nil {
			w.full.Store(false)
			return nil
		}
		if w.log.Err() != nil || !wal.IsDiskFull(err) {
			return err
		}
		if !w.full.Swap(true) {
			log.WithError(err).Error("control state cannot be written")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(fullDiskRetry):
		}
	}
}
