package store

import (
	"context"
	"time"
)

// parting is a planned hand-over of a shard's lead that waits until what was received of
// running items is recorded. A record every progressInterval leaves up to that much of each
// running item to be made again by the next leader; on plan nothing need be. What comes between
// this record and the end of the lease is made again, some milliseconds.
type parting struct {
	recorded chan struct{}
}

// part records what running items of a shard received, before its lead is handed over. It returns
// when that is done, or the context ends. A shard that this store doesn't lead has nothing to
// record.
func (s *Store) part(ctx context.Context, shard uint32) {
	told := parting{recorded: make(chan struct{})}
	select {
	case s.partingsOf(shard) <- told:
	case <-ctx.Done():
		return
	}
	select {
	case <-told.recorded:
	case <-ctx.Done():
	}
}

func (s *Store) partingsOf(shard uint32) chan parting {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.partings[shard]
}

// notePartings records for hand-overs that wait. A record under way may not hold all, so it is
// waited for; its end leads here again.
func (e *executor) notePartings(ctx context.Context) {
	if len(e.parted) == 0 || e.noting {
		return
	}
	waiting := e.parted
	e.parted = nil
	if e.lead() {
		e.noteThen(ctx, time.Now(), func() { endPartings(waiting) })
		return
	}
	endPartings(waiting)
}

func endPartings(waiting []parting) {
	for _, told := range waiting {
		close(told.recorded)
	}
}
