package routing

import "time"

// RequestHistory records when this gateway sent requests to a server and when
// they ended, so that a delayed load report can be corrected by what happened
// after it was taken. The zero value is empty.
type RequestHistory struct {
	sent  []time.Duration
	ended []time.Duration
}

// RecordSent records a request sent at the given time.
func (r *RequestHistory) RecordSent(now time.Duration) {
	r.sent = append(r.sent, now)
}

// RecordEnd records a request that ended at the given time.
func (r *RequestHistory) RecordEnd(now time.Duration) {
	r.ended = append(r.ended, now)
}

// CountSince returns how many requests were sent and ended after a report was
// taken. It discards all earlier times, so it must only be called with the
// newest report.
func (r *RequestHistory) CountSince(takenAt time.Duration) (sent, ended int) {
	r.sent = after(r.sent, takenAt)
	r.ended = after(r.ended, takenAt)
	return len(r.sent), len(r.ended)
}

// after removes the times up to a limit from an ascending list in place.
func after(times []time.Duration, limit time.Duration) []time.Duration {
	first := 0
	for first < len(times) && times[first] <= limit {
		first++
	}
	if first == 0 {
		return times
	}
	kept := copy(times, times[first:])
	return times[:kept]
}
