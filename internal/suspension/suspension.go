// Package suspension tells how long the machine was suspended. The steady clock of a process,
// by which Go measures durations, does not count that time, so that what must not outlive a
// real span (a leader's lease) can't rest on it alone.
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// closeReadings is how far apart two readings of the steady clock may be for the one
	// between them to count, and mostReadings how often that is tried.
	closeReadings = 100 * time.Microsecond
	mostReadings  = 5
)

// Total is how long the machine has been suspended since it started: the difference between
// the clock that counts suspensions and the one that does not (clock_gettime(2)). It is exact
// to closeReadings unless the process is held up in each of the readings; zero where the clocks
// can't be read.
func Total() time.Duration {
	var total time.Duration
	for range mostReadings {
		before, failedBefore := read(unix.CLOCK_MONOTONIC)
		whole, failed := read(unix.CLOCK_BOOTTIME)
		after, failedAfter := read(unix.CLOCK_MONOTONIC)
		if failedBefore != nil || failed != nil || failedAfter != nil {
			return 0
		}
		total = whole - before
		if after-before <= closeReadings {
			break
		}
	}
	return total
}

func read(clock int32) (time.Duration, error) {
	var spec unix.Timespec
	if err := unix.ClockGettime(clock, &spec); err != nil {
		return 0, err
	}
	return time.Duration(spec.Nano()), nil
}
