package overload_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/overload"
)

// admitted opens new connections at a rate for a while, with a timer that is late by the given time, and returns the
// fraction that was taken in the last second.
func admitted(gate *overload.ConnectionGate, perInterval int, late, length time.Duration) float64 {
	taken, all := 0, 0
	for passed := time.Duration(0); passed < length; passed += overload.Interval {
		for number := range perInterval {
			isTaken := gate.Admit(0, (float64(number)+0.5)/float64(perInterval))
			if length-passed <= time.Second {
				all++
				if isTaken {
					taken++
				}
			}
		}
		gate.Observe(late)
	}
	return float64(taken) / float64(all)
}

// Guards against a router that reads the requests of a whole zone without time to serve them, and against
// clients that are turned away although there is no flood, or after it.
func TestFloodOfConnectionsIsTurnedAwayWhileTheProcessorIsShort(t *testing.T) {
	const short, punctual = 2 * overload.MaxTimerDelay, time.Millisecond
	gate := overload.NewConnectionGate(overload.ConnectionLimits{})
	if taken := admitted(&gate, 40, short, overload.LearningTime); taken < 1 {
		t.Errorf("%.2f of the connections are taken after the start, when the usual rate is unknown", taken)
	}
	if taken := admitted(&gate, 40, short, time.Minute); taken < 1 {
		t.Errorf("%.2f of a rate that is usual since the start are taken by a slow router", taken)
	}
	gate = overload.NewConnectionGate(overload.ConnectionLimits{})
	if taken := admitted(&gate, 2, short, time.Minute); taken < 1 {
		t.Errorf("%.2f of the usual connections are taken by a slow router", taken)
	}
	if taken := admitted(&gate, 40, punctual, 5*time.Second); taken < 1 {
		t.Errorf("%.2f of a flood are taken by a router with time for them", taken)
	}
	admitted(&gate, 2, punctual, 2*time.Minute)
	if taken := admitted(&gate, 40, short, 3*time.Second); taken > 0.1 {
		t.Errorf("%.2f of a flood are taken by a router without time for them", taken)
	}
	if taken := admitted(&gate, 2, punctual, 5*time.Second); taken < 1 {
		t.Errorf("%.2f of the usual connections are taken after the flood", taken)
	}
}

// Guards against a router that takes more connections than it has descriptors or memory for.
func TestConnectionsAreBoundedByDescriptorsAndMemory(t *testing.T) {
	for name, each := range map[string]struct {
		limits overload.ConnectionLimits
		most   int
	}{
		"descriptors": {overload.ConnectionLimits{Descriptors: 200, MemoryBytes: 1 << 30}, 100},
		"memory":      {overload.ConnectionLimits{Descriptors: 100_000, MemoryBytes: 64 << 20}, 700},
		"tiny":        {overload.ConnectionLimits{Descriptors: 1, MemoryBytes: 1}, 1},
	} {
		gate := overload.NewConnectionGate(each.limits)
		open := 0
		for gate.Admit(open, 0.5) && open < 10_000 {
			open++
		}
		if open == 0 || open > each.most {
			t.Errorf("%s: %d connections are taken, at most %d allowed", name, open, each.most)
		}
	}
	unlimited := overload.NewConnectionGate(overload.ConnectionLimits{})
	if !unlimited.Admit(1_000_000, 0.5) {
		t.Error("a router without limits turns connections away")
	}
}

// Guards against a router that says that it is ready and takes no new connection for seconds.
func TestSomeConnectionsAreTakenDuringAFlood(t *testing.T) {
	const maxPause, full = time.Second, 64
	for name, open := range map[string]int{"processor": 0, "descriptors": full} {
		gate := overload.NewConnectionGate(overload.ConnectionLimits{Descriptors: 2*full + 32})
		admitted(&gate, 1, 0, overload.LearningTime)
		admitted(&gate, 40, 2*overload.MaxTimerDelay, 3*time.Second)
		pause := time.Duration(0)
		for range 100 {
			isTaken := false
			for range 40 {
				isTaken = gate.Admit(open, 0) || isTaken
			}
			gate.Observe(2 * overload.MaxTimerDelay)
			if pause += overload.Interval; isTaken {
				pause = 0
			}
			if pause > maxPause {
				t.Fatalf("%s: no connection is taken for %v", name, pause)
			}
		}
	}
	gate := overload.NewConnectionGate(overload.ConnectionLimits{Descriptors: 2*full + 32})
	for range 100 {
		if gate.Observe(time.Millisecond); gate.Admit(full+full/8, 0.5) {
			t.Fatal("more connections are taken than there are descriptors")
		}
	}
}
