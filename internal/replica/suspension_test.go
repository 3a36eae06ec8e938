package replica_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
)

// suspensions simulates how long each machine has been suspended.
type suspensions struct {
	mutex sync.Mutex
	total map[string]time.Duration
}

func (s *suspensions) adjust(o *replica.Options) {
	machine := o.Machine
	o.Suspended = func() time.Duration {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return s.total[machine]
	}
}

func (s *suspensions) suspend(machine string, span time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.total[machine] += span
}

// TestSuspendedLeaderServesNothingStale checks that a leader's lease ends during a suspension, which the
// monotonic clock does not show, so that it serves nothing stale after another machine was elected.
func TestSuspendedLeaderServesNothingStale(t *testing.T) {
	suspended := &suspensions{total: make(map[string]time.Duration)}
	runCluster(t, 3, suspended.adjust, func(f *testCluster) {
		f.add(0, "a")
		old := f.leader(0)
		for _, m := range f.machines {
			if m != old {
				f.links.CutBoth(m.name, old.name)
			}
		}
		if _, leading := old.group(0).Leading(); !leading {
			t.Fatal("the lease is over before the suspension")
		}
		suspended.suspend(old.name, 5*time.Second)
		if _, leading := old.group(0).Leading(); leading {
			t.Fatal("the lease is still valid after a suspension")
		}
		f.expectNotLeader(old)
		f.links.Heal()
		f.add(0, "a")
		read := 0
		f.eventually("the leader serves a read", func() bool {
			current := f.leader(0)
			err := current.group(0).Read(context.Background(), func() { read = current.state(0).get("a") })
			return err == nil || !fault.Is(err, fault.NotLeader)
		})
		if read != 2 {
			t.Fatalf("read %d", read)
		}
	})
}
