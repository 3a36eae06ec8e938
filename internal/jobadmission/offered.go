package jobadmission

import "time"

// offeredWindow is how long a number of offered slots counts. It covers several bursts of online
// requests, which last some seconds, and the absence of a server that restarts.
const offeredWindow = 20 * time.Second

// OfferedSlots holds the largest number of slots that were offered to batch work recently. It is an upper
// bound of what will be offered if online work does not fall below its recent minimum, and counts slots
// that were lost a moment ago. The zero value is empty. It is not safe for concurrent use.
type OfferedSlots struct {
	// observed holds falling numbers, the oldest first, since smaller ones before a larger one do not
	// matter.
	observed []offered
	since    time.Time
}

type offered struct {
	slots int
	at    time.Time
}

// Observe records the number of slots that are offered now, or zero if it is not known. Unknown numbers
// start a new window.
func (o *OfferedSlots) Observe(slots int, now time.Time) {
	if slots <= 0 {
		*o = OfferedSlots{}
		return
	}
	if o.since.IsZero() {
		o.since = now
	}
	for len(o.observed) > 0 && o.observed[len(o.observed)-1].slots <= slots {
		o.observed = o.observed[:len(o.observed)-1]
	}
	o.observed = append(o.observed, offered{slots: slots, at: now})
	for now.Sub(o.observed[0].at) > offeredWindow {
		o.observed = o.observed[1:]
	}
}

// Most returns the largest number of slots in the window. It is not known before the whole window was
// observed.
func (o *OfferedSlots) Most(now time.Time) (slots int, known bool) {
	if o.since.IsZero() || now.Sub(o.since) < offeredWindow {
		return 0, false
	}
	return o.observed[0].slots, true
}
