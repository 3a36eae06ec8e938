package routing

import "time"

// RequestHistory remembers when this gateway sent requests to a server and when they
// ended, so that a report that arrives late can be corrected by what happened
// after it was taken. The zero value is empty.
type RequestHistory struct {
	sent  []time.Duration
	ended []time.Duration
}

// RecordSent records a request sent now.
func (r *RequestHistory) RecordSent(now time.Duration) {
	r.sent = append(r.sent, now)
}

// RecordEnded records a request that ended now.
func (r *RequestHistory) RecordEnded(now time.Duration) {
	r.ended = append(r.ended, now)
}

// CountSince returns how many requests were sent and ended after a report was taken,
// and forgets what came before: pass it the newest report only.
func (r *RequestHistory) CountSince(takenAt time.Duration) (sent, ended int) {
	r.sent = after(r.sent, takenAt)
	r.ended = after(r.ended, takenAt)
	return len(r.sent), len(r.ended)
}

// after drops the times up to a limit from an ascending list in place.
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
