package simulator

import (
	"math/rand/v2"
	"time"
)

// streamHops is the random stream of the hop jitter. It is higher than the streams
// of all gateways, which are numbered from streamGateways.
const streamHops = 1 << 32

// hopJitter draws the time that a hop takes in addition to its delay.
type hopJitter struct {
	samples []time.Duration
	random  *rand.Rand
}

func newHopJitter(scenario *Scenario, seed uint64) hopJitter {
	return hopJitter{samples: scenario.HopJitter, random: newRandom(seed, streamHops)}
}

func (h *hopJitter) draw() time.Duration {
	if len(h.samples) == 0 {
		return 0
	}
	return h.samples[h.random.IntN(len(h.samples))]
}
