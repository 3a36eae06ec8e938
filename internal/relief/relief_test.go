package relief_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/relief"
)

var (
	clock = time.UnixMilli(1_000_000)
	calm  = relief.Sample{TimerDelay: time.Millisecond, InProgress: 10}
	late  = relief.Sample{TimerDelay: 2 * relief.MaxTimerDelay, InProgress: 10}
	zone  = relief.ZonePosition{Position: 0, Routers: 24}
)

// seconds gives a judge the same sample for a while. It returns what came of it.
func seconds(judge *relief.Detector, sample relief.Sample, of relief.ZonePosition, from time.Time, length time.Duration) (last relief.Advice, closed, unready time.Duration) {
	for passed := time.Duration(0); passed < length; passed += relief.Interval {
		last = judge.Observe(sample, of, from.Add(passed))
		if last.Close {
			closed += relief.Interval
		}
		if last.Unready {
			unready += relief.Interval
		}
	}
	return last, closed, unready
}

// TestOrdinaryDaysBringNothing: timers of a machine that has room are a few ms late, a few
// clients are behind, and now and then something takes long.
func TestOrdinaryDaysBringNothing(t *testing.T) {
	var judge relief.Detector
	for i := range 10 * 60 * 60 {
		sample := relief.Sample{TimerDelay: time.Duration(i%20) * time.Millisecond, MemoryFraction: 0.2, DescriptorFraction: 0.3, InProgress: 30, Behind: 3, SendTime: 300 * time.Millisecond}
		if i%4 == 0 {
			sample.TimerDelay = 100 * time.Millisecond
		}
		if advice := judge.Observe(sample, zone, clock.Add(time.Duration(i)*relief.Interval)); advice != (relief.Advice{}) {
			t.Fatalf("sample %d brings %+v", i, advice)
		}
	}
}

// TestFreezeOfSecondsBringsNothing: one timer is late by the whole freeze, and those of the
// half second in which the machine works off what has come.
func TestFreezeOfSecondsBringsNothing(t *testing.T) {
	var judge relief.Detector
	seconds(&judge, calm, zone, clock, 5*time.Second)
	frozen := calm
	frozen.TimerDelay = 4 * time.Second
	judge.Observe(frozen, zone, clock.Add(9*time.Second))
	_, closed, _ := seconds(&judge, late, zone, clock.Add(9*time.Second), 500*time.Millisecond)
	_, after, _ := seconds(&judge, calm, zone, clock.Add(9500*time.Millisecond), 10*time.Second)
	if closed+after > 0 {
		t.Errorf("clients are sent away for %v", closed+after)
	}
}

// TestSlowedMachineSendsClientsAwayUntilItIsWell: it asks clients to come anew, then says
// that it is not ready in its turn, and takes all again when it is well.
func TestSlowedMachineSendsClientsAwayUntilItIsWell(t *testing.T) {
	var judge relief.Detector
	seconds(&judge, calm, zone, clock, 5*time.Second)
	slowed := clock.Add(5 * time.Second)
	last, closed, unready := seconds(&judge, late, zone, slowed, 30*time.Second)
	if last.Shortage != relief.Processor || closed < 27*time.Second {
		t.Errorf("clients are asked to leave for %v, %+v", closed, last)
	}
	if unready < 4*time.Second || unready > 12*time.Second {
		t.Errorf("it is not ready for %v of 30 s", unready)
	}
	last, closed, _ = seconds(&judge, calm, zone, slowed.Add(30*time.Second), 10*time.Second)
	if last != (relief.Advice{}) || closed > 7*time.Second {
		t.Errorf("10 s after it is well, %v of them sending clients away: %+v", closed, last)
	}
}

// TestWholeZoneThatIsShortStaysReady: all routers of a zone are short at once. At any moment
// three quarters stay ready, and in a small zone all.
func TestWholeZoneThatIsShortStaysReady(t *testing.T) {
	for _, routers := range []int{1, 2, 3, 4, 5, 7, 24, 28} {
		judges := make([]relief.Detector, routers)
		most := 0
		for passed := time.Duration(0); passed < time.Minute; passed += relief.Interval {
			unready := 0
			for position := range judges {
				if judges[position].Observe(late, relief.ZonePosition{Position: position, Routers: routers}, clock.Add(passed)).Unready {
					unready++
				}
			}
			most = max(most, unready)
		}
		if most != routers/4 {
			t.Errorf("of %d routers %d are not ready at once", routers, most)
		}
	}
}

// TestEachLackIsSeen: what a router is short of is told.
func TestEachLackIsSeen(t *testing.T) {
	for _, each := range []struct {
		want   relief.Shortage
		sample relief.Sample
	}{
		{relief.Processor, late},
		{relief.Memory, relief.Sample{MemoryFraction: 0.8}},
		{relief.Descriptors, relief.Sample{DescriptorFraction: 0.9}},
		{relief.Link, relief.Sample{SendTime: 200 * time.Millisecond, InProgress: 20, Behind: 15}},
		// A part of the clients is slow.
		{relief.None, relief.Sample{SendTime: 200 * time.Millisecond, InProgress: 40, Behind: 15}},
		// A few slow clients are all that an idle router has.
		{relief.None, relief.Sample{SendTime: 2 * time.Second, Behind: 3}},
	} {
		var judge relief.Detector
		if last, _, _ := seconds(&judge, each.sample, zone, clock, 3*time.Second); last.Shortage != each.want {
			t.Errorf("%+v is taken for a lack of %q", each.sample, last.Shortage)
		}
	}
}
