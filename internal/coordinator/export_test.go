package coordinator

import "time"

// Its judgement of which servers are silent, for the tests.
var NewLiveness = newLiveness

func (l *liveness) NoteTold(ids []string, now time.Time) { l.noteTold(ids, now) }

func (l *liveness) Silent(ids []string, patience time.Duration, now time.Time) []string {
	return l.silent(ids, patience, now)
}
