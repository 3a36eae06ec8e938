package store

import (
	"context"
	"time"
)

// handover is a planned transfer of a shard's leadership that waits until the received output
// of running items is recorded. Otherwise the next leader would have to run again what was
// received since the last record. Events that arrive between this record and the end of the
// lease are still lost.
type handover struct {
	recorded chan struct{}
}

// prepareHandover records the received output of a shard's running items before a transfer of
// leadership. It returns when that is done or the context ends. It does nothing if this store
// does not lead the shard.
func (s *Store) prepareHandover(ctx context.Context, shard uint32) {
	request := handover{recorded: make(chan struct{})}
	select {
	case s.handoversOf(shard) <- request:
	case <-ctx.Done():
		return
	}
	select {
	case <-request.recorded:
	case <-ctx.Done():
	}
}

func (s *Store) handoversOf(shard uint32) chan handover {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.handovers[shard]
}

// recordForHandovers records progress for pending handovers. If a record is in flight, its
// completion calls this function again.
func (e *executor) recordForHandovers(ctx context.Context) {
	if len(e.pendingHandovers) == 0 || e.recordingProgress {
		return
	}
	waiting := e.pendingHandovers
	e.pendingHandovers = nil
	if e.updateLeadership() {
		e.recordProgressThen(ctx, time.Now(), func() { completeHandovers(waiting) })
		return
	}
	completeHandovers(waiting)
}

func completeHandovers(waiting []handover) {
	for _, request := range waiting {
		close(request.recorded)
	}
}
