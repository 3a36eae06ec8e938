package coordinator

import "time"

var NewLiveness = newLiveness

func (l *liveness) RecordRelayed(ids []string, now time.Time) { l.recordRelayed(ids, now) }

func (l *liveness) Silent(ids []string, timeout time.Duration, now time.Time) []string {
	return l.silentServers(ids, timeout, now)
}
