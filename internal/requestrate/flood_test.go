package requestrate_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/requestrate"
)

// floodCaller is a client of a tenant that asks for far more than its limit. It comes back
// as told, up to a third of the time that it has left.
type floodCaller struct {
	first time.Duration
	asks  time.Duration
}

const (
	callerObjective = 300 * time.Millisecond
	callerDeadline  = 5 * time.Second
)

// floodOutcome counts callers, and the grants of each tenth of a second.
type floodOutcome struct {
	inTime, late, refused int
	starts                []time.Duration
}

// playFlood has a tenant with 145 requests a second make 900 a second for 5 s, at an owner
// that is told whether requests are late, and how long they may wait.
func playFlood(told bool) floodOutcome {
	const perSecond, burst = 145, 72
	limit := requestrate.NewLimit(perSecond, burst)
	counts := requestrate.NewLimiter(requestrate.Tolerance{}, 0)
	var waiting []floodCaller
	for i := range 4500 {
		at := long + time.Duration(i)*5*time.Second/4500
		waiting = append(waiting, floodCaller{first: at, asks: at})
	}
	var outcome floodOutcome
	for len(waiting) > 0 {
		caller := waiting[0]
		waiting = waiting[1:]
		request := requestrate.NewRequest("tenant", limit, 1)
		late := caller.asks-caller.first > callerObjective*85/100
		if told && late {
			request = request.Late()
		} else if told {
			request = request.WithMaxWait(callerObjective / 4)
		}
		decided := counts.Take(request, caller.asks)
		switch left := callerDeadline - (caller.asks - caller.first); {
		case decided.Granted():
			outcome.starts = append(outcome.starts, caller.asks+decided.Wait())
			if caller.asks+decided.Wait()-caller.first <= callerObjective {
				outcome.inTime++
			} else {
				outcome.late++
			}
		case left < 200*time.Millisecond:
			outcome.refused++
		default:
			caller.asks += min(decided.RetryAfter(), left/3)
			place, _ := slices.BinarySearchFunc(waiting, caller, func(a, b floodCaller) int { return cmp.Compare(a.asks, b.asks) })
			waiting = slices.Insert(waiting, place, caller)
		}
	}
	return outcome
}

// TestFloodServesThoseWhoCanBeInTime: clients that came back late took the room of those that
// had just come.
func TestFloodServesThoseWhoCanBeInTime(t *testing.T) {
	before, after := playFlood(false), playFlood(true)
	t.Logf("by arrival: %d in time, %d late, %d refused", before.inTime, before.late, before.refused)
	t.Logf("those in time first: %d in time, %d late, %d refused", after.inTime, after.late, after.refused)
	if after.inTime < before.inTime*5/4 || after.inTime+after.late < before.inTime+before.late-10 {
		t.Fatalf("%d in time and %d late instead of %d and %d", after.inTime, after.late, before.inTime, before.late)
	}
	slices.Sort(after.starts)
	for from := range after.starts {
		for to := from; to < len(after.starts); to++ {
			span := after.starts[to] - after.starts[from]
			if most := 145*span.Seconds() + 72 + 1; float64(to-from+1) > most {
				t.Fatalf("%d starts within %v, at most %.1f", to-from+1, span, most)
			}
		}
	}
}

// TestLateRequestsGetWhatIsLeft: where those in time ask for less than the limit, the others
// are granted the rest.
func TestLateRequestsGetWhatIsLeft(t *testing.T) {
	limit := requestrate.NewLimit(100, 50)
	counts := requestrate.NewLimiter(requestrate.Tolerance{}, 0)
	timely, late := 0, 0
	for i := range 1000 {
		now := long + time.Duration(i)*5*time.Millisecond
		if i%4 == 0 && counts.Take(ask(limit).WithMaxWait(50*time.Millisecond), now).Granted() {
			timely++
		}
		if counts.Take(ask(limit).Late(), now).Granted() {
			late++
		}
	}
	if timely != 250 || late < 240 {
		t.Fatalf("%d of 250 in time and %d late ones are granted, of 550", timely, late)
	}
}

// TestLateRequestsLeaveRoomForThoseInTime: after a flood its clients come back all the time; a
// dozen requests that come at once found no room beside them.
func TestLateRequestsLeaveRoomForThoseInTime(t *testing.T) {
	limit := requestrate.NewLimit(100, 50)
	counts := requestrate.NewLimiter(requestrate.Tolerance{}, 0)
	asked, timely, late := 0, 0, 0
	for i := range 1000 {
		now := long + time.Duration(i)*5*time.Millisecond
		if counts.Take(ask(limit).Late(), now).Granted() {
			late++
		}
		if i%40 != 39 {
			continue
		}
		for range 12 {
			asked++
			if counts.Take(ask(limit).WithMaxWait(20*time.Millisecond), now).Granted() {
				timely++
			}
		}
	}
	if timely < asked/2 || timely+late < 500 {
		t.Fatalf("%d of %d in time and %d late ones are granted", timely, asked, late)
	}
}

// TestGrantAheadIsWaitedFor until the rate has earned it, and is told again with its wait where
// the answer got lost.
func TestGrantAheadIsWaitedFor(t *testing.T) {
	counts, limit := requestrate.NewLimiter(requestrate.Tolerance{}, 0), requestrate.NewLimit(20, 10)
	grants(counts, ask(limit), 10, long)
	ahead := ask(limit).FromRouter("router", 1, 1).WithMaxWait(75 * time.Millisecond)
	for range 2 {
		if decided := counts.Take(ahead, long); !decided.Granted() || decided.Wait() != 50*time.Millisecond {
			t.Fatalf("granted %v after %v", decided.Granted(), decided.Wait())
		}
	}
	if counts.Take(ask(limit).WithMaxWait(75*time.Millisecond), long).Granted() {
		t.Fatal("granted although the rate earns it too late")
	}
}

// TestGrantsAheadStayWithinTheLimitInEverySpan, counted when they may go to a server, whatever
// is asked when; a change of owners adds what the former one granted ahead.
func TestGrantsAheadStayWithinTheLimitInEverySpan(t *testing.T) {
	const mostWait = 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 200).Draw(t, "rate")
		burst := rapid.Uint32Range(1, 80).Draw(t, "burst")
		limit := requestrate.NewLimit(perSecond, burst)
		counts := requestrate.NewLimiter(requestrate.Tolerance{}, 0)
		now, owners := long, 0
		var starts []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 60).Draw(t, "change") == 0 {
				counts = requestrate.NewLimiter(requestrate.Tolerance{}, now)
				owners++
			}
			request := ask(limit).WithMaxWait(time.Duration(rapid.IntRange(0, int(mostWait.Milliseconds())).Draw(t, "wait")) * time.Millisecond)
			if rapid.Bool().Draw(t, "late") {
				request = request.Late()
			}
			if decided := counts.Take(request, now); decided.Granted() {
				starts = append(starts, now+decided.Wait())
			}
		}
		slices.Sort(starts)
		const fresh, least = 5, 8
		ahead := perSecond * mostWait.Seconds()
		for from := range starts {
			for to := from; to < len(starts); to++ {
				span := (starts[to] - starts[from]).Seconds()
				most := perSecond*span + max(float64(burst), least) + float64(owners)*(fresh+ahead) + 1
				if float64(to-from+1) > most {
					t.Fatalf("%d starts within %.2f s, at most %.1f", to-from+1, span, most)
				}
			}
		}
	})
}
