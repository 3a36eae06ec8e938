package simulator

import (
	"math/rand/v2"
	"time"
)

// streamHops is the stream of the noise of hops. The gateways' streams count
// upwards from the others and stay below it.
const streamHops = 1 << 32

// hopNoise draws how much longer a hop takes than its delay.
type hopNoise struct {
	samples []time.Duration
	random  *rand.Rand
}

func newHopNoise(scenario *Scenario, seed uint64) hopNoise {
	return hopNoise{samples: scenario.HopJitter, random: newRandom(seed, streamHops)}
}

func (h *hopNoise) draw() time.Duration {
	if len(h.samples) == 0 {
		return 0
	}
	return h.samples[h.random.IntN(len(h.samples))]
}
