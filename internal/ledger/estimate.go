package ledger

// sampleMilliseconds is the length of the window over which the rate of a job's
// completions is measured: one to two windows back.
const sampleMilliseconds = 30_000

// sample is a count of recorded items at a time.
type sample struct {
	unixMs   int64
	recorded uint32
}

// sampleWindow holds the last two samples, older first.
type sampleWindow struct {
	samples []sample
}

// add takes a sample if the last one is a window old.
func (w *sampleWindow) add(now int64, recorded uint32) {
	taken := sample{unixMs: now, recorded: recorded}
	count := len(w.samples)
	switch {
	case count == 0:
		w.samples = append(w.samples, taken)
	case now-w.samples[count-1].unixMs < sampleMilliseconds:
	case count == 1:
		w.samples = append(w.samples, taken)
	default:
		w.samples[0] = w.samples[1]
		w.samples[1] = taken
	}
}

// end estimates when total items will be recorded, in Unix milliseconds, from
// the rate since the older sample. It returns zero while there is no rate.
func (w *sampleWindow) end(now int64, recorded, total uint32) int64 {
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
