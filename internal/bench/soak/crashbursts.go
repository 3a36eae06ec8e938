package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/retry"
)

const (
	// burstPause is the mean time between two bursts, in which all backends are killed burstWaves times.
	burstPause = 12 * time.Second
	burstWaves = 3
	// waveInterval is the time between two waves, and waveDowntime how long the backends are down in each.
	waveInterval = 500 * time.Millisecond
	waveDowntime = 200 * time.Millisecond
)

// crashInBursts kills all backends several times in a short time, so that they crash under sound items, until the
// context ends.
func (r *run) crashInBursts(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.seed, uint64(len("bursts"))))
	for retry.Pause(ctx, time.Duration(random.Int64N(2*int64(burstPause)))) {
		r.witness.Count("bursts of crashes")
		for range burstWaves {
			var wave sync.WaitGroup
			for _, target := range r.endpoints {
				wave.Go(func() { r.injectServerFault(ctx, Fault{kind: KindServerKill, duration: waveDowntime}, target) })
			}
			wave.Wait()
			if !retry.Pause(ctx, waveInterval-waveDowntime) {
				return
			}
		}
	}
}
