package requestrate_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/requestrate"
)

// floodClient is a client of a tenant far above its limit. It retries as advised, but no later than
// after a third of its remaining time.
type floodClient struct {
	firstAttempt time.Duration
	next         time.Duration
}

const (
	clientObjective = 300 * time.Millisecond
	clientTimeout   = 5 * time.Second
)

// floodOutcome counts requests and lists the times at which granted ones may start.
type floodOutcome struct {
	inTime, late, refused int
	starts                []time.Duration
}

// simulateFlood sends 900 requests a second for 5 s for a tenant with a limit of 145. If informed,
// the owner knows which requests are late and how long the others may wait.
func simulateFlood(informed bool) floodOutcome {
	const perSecond, burst = 145, 72
	limit := requestrate.NewLimit(perSecond, burst)
	limiter := requestrate.NewLimiter(requestrate.Tolerance{}, 0)
	var waiting []floodClient
	for i := range 4500 {
		at := warm + time.Duration(i)*5*time.Second/4500
		waiting = append(waiting, floodClient{firstAttempt: at, next: at})
	}
	var outcome floodOutcome
	for len(waiting) > 0 {
		client := waiting[0]
		waiting = waiting[1:]
		request := requestrate.NewRequest("tenant", limit, 1)
		late := client.next-client.firstAttempt > clientObjective*85/100
		if informed && late {
			request = request.Late()
		} else if informed {
			request = request.WithMaxWait(clientObjective / 4)
		}
		decided := limiter.Take(request, client.next)
		switch left := clientTimeout - (client.next - client.firstAttempt); {
		case decided.Granted():
			outcome.starts = append(outcome.starts, client.next+decided.Wait())
			if client.next+decided.Wait()-client.firstAttempt <= clientObjective {
				outcome.inTime++
			} else {
				outcome.late++
			}
		case left < 200*time.Millisecond:
			outcome.refused++
		default:
			client.next += min(decided.RetryAfter(), left/3)
			index, _ := slices.BinarySearchFunc(waiting, client, func(a, b floodClient) int { return cmp.Compare(a.next, b.next) })
			waiting = slices.Insert(waiting, index, client)
		}
	}
	return outcome
}

// TestFloodServesThoseWhoCanBeInTime guards against late retries that take the room of new requests.
func TestFloodServesThoseWhoCanBeInTime(t *testing.T) {
	before, after := simulateFlood(false), simulateFlood(true)
	t.Logf("by arrival: %d in time, %d late, %d refused", before.inTime, before.late, before.refused)
	t.Logf("timely requests first: %d in time, %d late, %d refused", after.inTime, after.late, after.refused)
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

// TestLateRequestsGetWhatIsLeft checks that late requests get what timely ones leave of the limit.
func TestLateRequestsGetWhatIsLeft(t *testing.T) {
	limit := requestrate.NewLimit(100, 50)
	limiter := requestrate.NewLimiter(requestrate.Tolerance{}, 0)
	timely, late := 0, 0
	for i := range 1000 {
		now := warm + time.Duration(i)*5*time.Millisecond
		if i%4 == 0 && limiter.Take(ask(limit).WithMaxWait(50*time.Millisecond), now).Granted() {
			timely++
		}
		if limiter.Take(ask(limit).Late(), now).Granted() {
			late++
		}
	}
	if timely != 250 || late < 240 {
		t.Fatalf("%d of 250 timely and %d late requests are granted, of 550", timely, late)
	}
}

// TestLateRequestsLeaveRoomForThoseInTime guards against continuous late retries that leave no room
// for bursts of timely requests.
func TestLateRequestsLeaveRoomForThoseInTime(t *testing.T) {
	limit := requestrate.NewLimit(100, 50)
	limiter := requestrate.NewLimiter(requestrate.Tolerance{}, 0)
	asked, timely, late := 0, 0, 0
	for i := range 1000 {
		now := warm + time.Duration(i)*5*time.Millisecond
		if limiter.Take(ask(limit).Late(), now).Granted() {
			late++
		}
		if i%40 != 39 {
			continue
		}
		for range 12 {
			asked++
			if limiter.Take(ask(limit).WithMaxWait(20*time.Millisecond), now).Granted() {
				timely++
			}
		}
	}
	if timely < asked/2 || timely+late < 500 {
		t.Fatalf("%d of %d timely and %d late requests are granted", timely, asked, late)
	}
}

// TestGrantAheadHasAWait checks that a grant ahead of the rate comes with a wait, also if the
// router repeats the request because the response was lost.
func TestGrantAheadHasAWait(t *testing.T) {
	limiter, limit := requestrate.NewLimiter(requestrate.Tolerance{}, 0), requestrate.NewLimit(20, 10)
	grants(limiter, ask(limit), 10, warm)
	ahead := ask(limit).FromRouter("router", 1, 1).WithMaxWait(75 * time.Millisecond)
	for range 2 {
		if decided := limiter.Take(ahead, warm); !decided.Granted() || decided.Wait() != 50*time.Millisecond {
			t.Fatalf("granted %v after %v", decided.Granted(), decided.Wait())
		}
	}
	if limiter.Take(ask(limit).WithMaxWait(75*time.Millisecond), warm).Granted() {
		t.Fatal("granted although the rate earns the token too late")
	}
}

// TestGrantsAheadStayWithinTheLimitInEverySpan counts grants by the time at which they may start. A
// change of owners adds what the former owner granted ahead.
func TestGrantsAheadStayWithinTheLimitInEverySpan(t *testing.T) {
	const mostWait = 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 200).Draw(t, "rate")
		burst := rapid.Uint32Range(1, 80).Draw(t, "burst")
		limit := requestrate.NewLimit(perSecond, burst)
		limiter := requestrate.NewLimiter(requestrate.Tolerance{}, 0)
		now, owners := warm, 0
		var starts []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 60).Draw(t, "change") == 0 {
				limiter = requestrate.NewLimiter(requestrate.Tolerance{}, now)
				owners++
			}
			request := ask(limit).WithMaxWait(time.Duration(rapid.IntRange(0, int(mostWait.Milliseconds())).Draw(t, "wait")) * time.Millisecond)
			if rapid.Bool().Draw(t, "late") {
				request = request.Late()
			}
			if decided := limiter.Take(request, now); decided.Granted() {
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
