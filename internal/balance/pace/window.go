package pace

import "time"

const (
	// windowSteps and windowStep bound the window of runs: on the largest sites a server has
	// some five runs a second of all processes together, so that some twenty give its speed
	// to a tenth, while a server that turns slow shows within two seconds.
	windowSteps = 4
	windowStep  = time.Second
)

// window sums up what was seen within the last seconds, step by step.
type window struct {
	sums   [windowSteps]int
	voices [windowSteps]int
	// step is the newest one.
	step int64
}

// turn empties the steps that are over.
func (w *window) turn(now time.Duration) {
	step := int64(now / windowStep)
	for range min(step-w.step, windowSteps) {
		w.step++
		place := w.step % windowSteps
		w.sums[place], w.voices[place] = 0, 0
	}
	w.step = max(w.step, step)
}

func (w *window) add(value int, now time.Duration) {
	w.turn(now)
	place := w.step % windowSteps
	w.sums[place] += value
	w.voices[place]++
}

// total is the sum of the window and how many values it holds.
func (w *window) total(now time.Duration) (sum, voices int) {
	w.turn(now)
	for place := range w.sums {
		sum += w.sums[place]
		voices += w.voices[place]
	}
	return sum, voices
}
