package balance_test

import (
	"testing"
	"time"
)

// TestManyProcessesDoNotChooseTheSameServers guards against requests queueing at full servers
// because many processes with the same outdated digests choose the same servers as least loaded.
func TestManyProcessesDoNotChooseTheSameServers(t *testing.T) {
	const (
		most  = 0.05
		limit = 100 * time.Millisecond
	)
	for seed := uint64(1); seed <= 3; seed++ {
		f := newFleet(seed, 64, 90, 8, 700*time.Millisecond, 200*time.Millisecond)
		f.generate(func(time.Duration) float64 { return 750 }, 20*time.Second)
		f.run(25 * time.Second)
		t.Logf("seed %d: late %.4f, p99 %v, %d requests", seed, f.lateFraction(limit), f.waitQuantile(0.99), len(f.waits))
		if late := f.lateFraction(limit); late > most {
			t.Errorf("seed %d: %.4f of the requests wait for a slot for more than %v, p99 %v", seed, late, limit, f.waitQuantile(0.99))
		}
	}
}

// TestFewProcessesUseTheEmptiestServer checks that few processes with recent digests hardly queue
// at servers.
func TestFewProcessesUseTheEmptiestServer(t *testing.T) {
	const (
		most  = 0.02
		limit = 100 * time.Millisecond
	)
	f := newFleet(1, 8, 12, 8, 650*time.Millisecond, 80*time.Millisecond)
	f.generate(func(time.Duration) float64 { return 105 }, 20*time.Second)
	f.run(25 * time.Second)
	t.Logf("late %.4f, p99 %v, %d requests", f.lateFraction(limit), f.waitQuantile(0.99), len(f.waits))
	if late := f.lateFraction(limit); late > most {
		t.Errorf("%.4f of the requests wait for a slot for more than %v, p99 %v", late, limit, f.waitQuantile(0.99))
	}
}
