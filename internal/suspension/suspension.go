// Package suspension measures how long the machine was suspended. Go measures durations with the
// monotonic clock, which stops during a suspension, so it is not sufficient for limits in real
// time, such as a leader's lease.
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maximumDelay is how far apart two readings of the monotonic clock may be for the reading of
	// the other clock between them to be used, and maximumAttempts how often this is tried.
	maximumDelay    = 100 * time.Microsecond
	maximumAttempts = 5
)

// Total returns how long the machine has been suspended since boot: the difference between
// CLOCK_BOOTTIME and CLOCK_MONOTONIC (see clock_gettime(2)). The error is at most maximumDelay
// unless the process is delayed in every attempt. Total returns zero if a clock can't be read.
func Total() time.Duration {
	var total time.Duration
	for range maximumAttempts {
		before, failedBefore := read(unix.CLOCK_MONOTONIC)
		boot, failed := read(unix.CLOCK_BOOTTIME)
		after, failedAfter := read(unix.CLOCK_MONOTONIC)
		if failedBefore != nil || failed != nil || failedAfter != nil {
			return 0
		}
		total = boot - before
		if after-before <= maximumDelay {
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
