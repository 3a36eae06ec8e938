package store

import (
	"context"
	"time"
)

// leadershipTransfer is a planned transfer of a shard's leadership that waits until the received output
// of running items is recorded. Otherwise the next leader would have to run again what was
// received since the last record. Events that arrive between this record and the end of the
// lease are still lost.
type leadershipTransfer struct {
	recorded chan struct{}
}

// prepareLeadershipTransfer records the received output of a shard's running items before a transfer of
// leadership. It returns when that is done or the context ends. It does nothing if this store
// does not lead the shard.
func (s *Store) prepareLeadershipTransfer(ctx context.Context, shard uint32) {
	request := leadershipTransfer{recorded: make(chan struct{})}
	select {
	case s.transfersOf(shard) <- request:
	case <-ctx.Done():
		return
	}
	select {
	case <-request.recorded:
	case <-ctx.Done():
	}
}

func (s *Store) transfersOf(shard uint32) chan leadershipTransfer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.transfers[shard]
}

// recordForTransfers records progress for pending transfers. If a record is in flight, its
// completion calls this function again.
func (e *executor) recordForTransfers(ctx context.Context) {
	if len(e.pendingTransfers) == 0 || e.recordingProgress {
		return
	}
	waiting := e.pendingTransfers
	e.pendingTransfers = nil
	if e.updateLeadership(time.Now()) {
		e.recordProgressThen(ctx, time.Now(), func() { completeTransfers(waiting) })
		return
	}
	completeTransfers(waiting)
}

func completeTransfers(waiting []leadershipTransfer) {
	for _, request := range waiting {
		close(request.recorded)
	}
}
