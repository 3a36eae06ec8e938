package ledger

// sampleIntervalMilliseconds is the interval between samples of a job's progress. The
// completion rate covers the last one to two intervals.
const sampleIntervalMilliseconds = 30_000

// sample is the number of recorded items at a point in time.
type sample struct {
	unixMs   int64
	recorded uint32
}

// sampleWindow holds the last two samples, oldest first.
type sampleWindow struct {
	samples []sample
}

// add appends a sample if the last one is at least one interval old.
func (w *sampleWindow) add(now int64, recorded uint32) {
	newest := sample{unixMs: now, recorded: recorded}
	count := len(w.samples)
	switch {
	case count == 0:
		w.samples = append(w.samples, newest)
	case now-w.samples[count-1].unixMs < sampleIntervalMilliseconds:
	case count == 1:
		w.samples = append(w.samples, newest)
	default:
		w.samples[0] = w.samples[1]
		w.samples[1] = newest
	}
}

// estimateEnd extrapolates the rate since the oldest sample and returns when total
// items will be recorded, in Unix milliseconds. It returns zero if there is no
// progress since that sample.
func (w *sampleWindow) estimateEnd(now int64, recorded, total uint32) int64 {
	if len(w.samples) == 0 {
		return 0
	}
	oldest := w.samples[0]
	elapsed := now - oldest.unixMs
	if elapsed <= 0 || recorded <= oldest.recorded {
		return 0
	}
	perItem := float64(elapsed) / float64(recorded-oldest.recorded)
	return now + int64(perItem*float64(total-recorded))
}
