package overload_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/overload"
)

var (
	clock = time.UnixMilli(1_000_000)
	calm  = overload.Sample{TimerDelay: time.Millisecond, InProgress: 10}
	late  = overload.Sample{TimerDelay: 2 * overload.MaxTimerDelay, InProgress: 10}
	zone  = overload.ZonePosition{Position: 0, Routers: 24}
)

// observe feeds a detector the same sample for a while. It returns the last advice and for how
// long clients were asked to reconnect and the router was not ready.
func observe(detector *overload.Detector, sample overload.Sample, of overload.ZonePosition, from time.Time, length time.Duration) (last overload.Advice, closed, unready time.Duration) {
	for passed := time.Duration(0); passed < length; passed += overload.Interval {
		last = detector.Observe(sample, of, from.Add(passed))
		if last.Close {
			closed += overload.Interval
		}
		if last.Unready {
			unready += overload.Interval
		}
	}
	return last, closed, unready
}

// TestNormalLoadGivesNoAdvice: small timer delays, a few slow clients and single long delays
// must be ignored.
func TestNormalLoadGivesNoAdvice(t *testing.T) {
	var detector overload.Detector
	for i := range 10 * 60 * 60 {
		sample := overload.Sample{TimerDelay: time.Duration(i%20) * time.Millisecond, MemoryFraction: 0.2, DescriptorFraction: 0.3, InProgress: 30, Behind: 3, SendTime: 300 * time.Millisecond}
		if i%4 == 0 {
			sample.TimerDelay = 100 * time.Millisecond
		}
		if advice := detector.Observe(sample, zone, clock.Add(time.Duration(i)*overload.Interval)); advice != (overload.Advice{}) {
			t.Fatalf("sample %d causes %+v", i, advice)
		}
	}
}

// TestFreezeOfSecondsGivesNoAdvice: one timer is late by the whole freeze, and the timers of the
// next half second are late while the backlog is processed.
func TestFreezeOfSecondsGivesNoAdvice(t *testing.T) {
	var detector overload.Detector
	observe(&detector, calm, zone, clock, 5*time.Second)
	frozen := calm
	frozen.TimerDelay = 4 * time.Second
	detector.Observe(frozen, zone, clock.Add(9*time.Second))
	_, closed, _ := observe(&detector, late, zone, clock.Add(9*time.Second), 500*time.Millisecond)
	_, after, _ := observe(&detector, calm, zone, clock.Add(9500*time.Millisecond), 10*time.Second)
	if closed+after > 0 {
		t.Errorf("clients were asked to reconnect for %v", closed+after)
	}
}

// TestSlowedMachineSendsClientsAwayUntilItRecovers: it must first ask clients to reconnect, then
// also report itself as not ready in its turn, and accept all clients again after it recovers.
func TestSlowedMachineSendsClientsAwayUntilItRecovers(t *testing.T) {
	var detector overload.Detector
	observe(&detector, calm, zone, clock, 5*time.Second)
	slowed := clock.Add(5 * time.Second)
	last, closed, unready := observe(&detector, late, zone, slowed, 30*time.Second)
	if last.Shortage != overload.Processor || closed < 27*time.Second {
		t.Errorf("clients were asked to reconnect for %v, %+v", closed, last)
	}
	if unready < 4*time.Second || unready > 12*time.Second {
		t.Errorf("not ready for %v of 30 s", unready)
	}
	last, closed, _ = observe(&detector, calm, zone, slowed.Add(30*time.Second), 10*time.Second)
	if last != (overload.Advice{}) || closed > 7*time.Second {
		t.Errorf("10 s after recovery, with clients asked to reconnect for %v: %+v", closed, last)
	}
}

// TestOverloadedZoneStaysMostlyReady: if all routers of a zone are overloaded, three quarters must
// stay ready at any moment, and all of them in a small zone.
func TestOverloadedZoneStaysMostlyReady(t *testing.T) {
	for _, routers := range []int{1, 2, 3, 4, 5, 7, 24, 28} {
		detectors := make([]overload.Detector, routers)
		most := 0
		for passed := time.Duration(0); passed < time.Minute; passed += overload.Interval {
			unready := 0
			for position := range detectors {
				if detectors[position].Observe(late, overload.ZonePosition{Position: position, Routers: routers}, clock.Add(passed)).Unready {
					unready++
				}
			}
			most = max(most, unready)
		}
		if most != routers/4 {
			t.Errorf("%[2]d of %[1]d routers are not ready at the same time", routers, most)
		}
	}
}

func TestEachShortageIsDetected(t *testing.T) {
	for _, each := range []struct {
		want   overload.Shortage
		sample overload.Sample
	}{
		{overload.Processor, late},
		{overload.Memory, overload.Sample{MemoryFraction: 0.8}},
		{overload.Descriptors, overload.Sample{DescriptorFraction: 0.9}},
		{overload.Link, overload.Sample{SendTime: 200 * time.Millisecond, InProgress: 20, Behind: 15}},
		// Only some of the clients are slow.
		{overload.None, overload.Sample{SendTime: 200 * time.Millisecond, InProgress: 40, Behind: 15}},
		// A few slow clients of an idle router.
		{overload.None, overload.Sample{SendTime: 2 * time.Second, Behind: 3}},
	} {
		var detector overload.Detector
		if last, _, _ := observe(&detector, each.sample, zone, clock, 3*time.Second); last.Shortage != each.want {
			t.Errorf("%+v is reported as a shortage of %q", each.sample, last.Shortage)
		}
	}
}
