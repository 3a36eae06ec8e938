package replica_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
)

// suspensions tells the machines of a fleet how long they were suspended.
type suspensions struct {
	mutex sync.Mutex
	by    map[string]time.Duration
}

func (s *suspensions) adjust(o *replica.Options) {
	machine := o.Machine
	o.Suspended = func() time.Duration {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return s.by[machine]
	}
}

func (s *suspensions) suspend(machine string, span time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.by[machine] += span
}

// TestSuspendedLeaderServesNothingStale: the steady clock of a machine that was suspended
// says that the lease goes on, while the others have elected another leader.
func TestSuspendedLeaderServesNothingStale(t *testing.T) {
	suspended := &suspensions{by: make(map[string]time.Duration)}
	inBubble(t, 3, suspended.adjust, func(f *fleet) {
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
			t.Fatal("the lease outlives a suspension")
		}
		f.refuses(old)
		f.links.Heal()
		f.add(0, "a")
		read := 0
		f.eventually("the machine serves again what is newest", func() bool {
			current := f.leader(0)
			err := current.group(0).Read(context.Background(), func() { read = current.state(0).get("a") })
			return err == nil || !fault.Is(err, fault.NotLeader)
		})
		if read != 2 {
			t.Fatalf("read %d", read)
		}
	})
}
