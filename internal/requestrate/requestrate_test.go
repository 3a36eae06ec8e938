package requestrate_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/requestrate"
)

// warm is a time after which a new owner's buckets are full.
const warm = time.Hour

func ask(limit requestrate.Limit) requestrate.Request {
	return requestrate.NewRequest("tenant", limit, 1)
}

// grants sends a number of requests at once and returns how many are granted.
func grants(limiter *requestrate.Limiter, request requestrate.Request, times int, now time.Duration) int {
	granted := 0
	for range times {
		if limiter.Take(request, now).Granted() {
			granted++
		}
	}
	return granted
}

func TestTenantHasItsBurstAndThenItsRate(t *testing.T) {
	limiter, limit := requestrate.NewLimiter(requestrate.Tolerance{}, 0), requestrate.NewLimit(10, 30)
	if granted := grants(limiter, ask(limit), 100, warm); granted != 30 {
		t.Fatalf("%d of 100 at once were granted", granted)
	}
	if granted := grants(limiter, ask(limit), 100, warm+time.Second); granted != 10 {
		t.Fatalf("%d were granted a second later", granted)
	}
	if granted := grants(limiter, requestrate.NewRequest("other", limit, 1), 100, warm); granted != 30 {
		t.Fatalf("another tenant got %d", granted)
	}
}

func TestLimitWithoutABurstTakesRequestsAsTheyCome(t *testing.T) {
	limiter := requestrate.NewLimiter(requestrate.Tolerance{}, 0)
	if granted := grants(limiter, ask(requestrate.NewLimit(4, 0)), 10, warm); granted != 2 {
		t.Fatalf("%d of 10 at once were granted", granted)
	}
	if granted := grants(limiter, requestrate.NewRequest("small", requestrate.NewLimit(0.1, 0), 1), 10, warm); granted != 1 {
		t.Fatalf("a tenant with a request in ten seconds got %d", granted)
	}
}

// TestNewOwnerBeginsNearlyEmpty: a new owner doesn't know what the former one has granted.
func TestNewOwnerBeginsNearlyEmpty(t *testing.T) {
	limit := requestrate.NewLimit(10, 100)
	if granted := grants(requestrate.NewLimiter(requestrate.Tolerance{}, warm), ask(limit), 100, warm); granted != 5 {
		t.Fatalf("%d were granted at the beginning of a term", granted)
	}
	if granted := grants(requestrate.NewLimiter(requestrate.Tolerance{}, warm), ask(limit), 100, warm+2*time.Second); granted != 25 {
		t.Fatalf("%d were granted two seconds later", granted)
	}
}

// TestNewOwnerUsesAPartOfTheTolerance checks that small tenants start with their whole burst.
func TestNewOwnerUsesAPartOfTheTolerance(t *testing.T) {
	tolerance := requestrate.NewTolerance(5*time.Second, 0.1, 20)
	for burst, want := range map[uint32]int{10: 10, 200: 84} {
		limiter := requestrate.NewLimiter(tolerance, warm)
		if granted := grants(limiter, ask(requestrate.NewLimit(float64(burst), burst)), 300, warm); granted != want {
			t.Errorf("%d of a burst of %d were granted at the beginning of a term, want %d", granted, burst, want)
		}
	}
}

// TestNewOwnerGoesOnFromWhatTheOneBeforeTold checks that a new owner adds what was earned since a
// recent report, up to the burst, and ignores an old one.
func TestNewOwnerGoesOnFromWhatTheOneBeforeTold(t *testing.T) {
	limit := requestrate.NewLimit(10, 100)
	for _, report := range []struct {
		remaining uint32
		age       time.Duration
		want      int
	}{{40, 0, 40}, {40, time.Second, 50}, {95, time.Second, 100}, {40, 2 * time.Second, 5}, {90, time.Minute, 5}, {0, 0, 5}} {
		limiter := requestrate.NewLimiter(requestrate.Tolerance{}, warm)
		if granted := grants(limiter, ask(limit).WithRemaining(report.remaining, report.age), 200, warm); granted != report.want {
			t.Errorf("%d were granted after %+v", granted, report)
		}
	}
}

func TestNewestLimitHolds(t *testing.T) {
	limiter := requestrate.NewLimiter(requestrate.Tolerance{}, 0)
	wide, narrow := requestrate.NewLimit(100, 100), requestrate.NewLimit(1, 3)
	limiter.Take(requestrate.NewRequest("tenant", wide, 7), warm)
	limiter.Take(requestrate.NewRequest("tenant", narrow, 8), warm)
	if granted := grants(limiter, requestrate.NewRequest("tenant", wide, 7), 10, warm); granted != 2 {
		t.Fatalf("a router with an older configuration got %d", granted)
	}
}

func TestRequestsThatDidNotRunAreGivenBack(t *testing.T) {
	limiter, limit := requestrate.NewLimiter(requestrate.Tolerance{}, 0), requestrate.NewLimit(1, 10)
	grants(limiter, ask(limit), 10, warm)
	if !limiter.Take(ask(limit).WithReturned(1), warm).Granted() {
		t.Fatal("the returned request is not granted again")
	}
	if !limiter.Take(ask(limit).WithReturned(100), 2*warm).Granted() {
		t.Fatal("refused with a full bucket")
	}
	if granted := grants(limiter, ask(limit), 100, 2*warm); granted != 9 {
		t.Fatalf("%d more were granted after more than the burst was returned", granted)
	}
}

func TestUncheckedRequestsCount(t *testing.T) {
	limiter, limit := requestrate.NewLimiter(requestrate.Tolerance{}, 0), requestrate.NewLimit(10, 10)
	grants(limiter, ask(limit), 10, warm)
	var passed []uint64
	for number := range uint64(20) {
		passed = append(passed, number+1)
	}
	limiter.Take(ask(limit).FromRouter("router", 1, 21).WithUnanswered(passed, nil), warm)
	if limiter.Take(ask(limit), warm+1900*time.Millisecond).Granted() {
		t.Fatal("granted before the rate made up for the unchecked requests")
	}
	if !limiter.Take(ask(limit), warm+2200*time.Millisecond).Granted() {
		t.Fatal("refused although the rate made up for the unchecked requests")
	}
}

// TestRetryAfterGrowsWithRefusals checks the retry delay and its bounds.
func TestRetryAfterGrowsWithRefusals(t *testing.T) {
	limiter, limit := requestrate.NewLimiter(requestrate.Tolerance{}, 0), requestrate.NewLimit(10, 10)
	grants(limiter, ask(limit), 10, warm)
	first := limiter.Take(ask(limit), warm).RetryAfter()
	grants(limiter, ask(limit), 30, warm)
	later := limiter.Take(ask(limit), warm).RetryAfter()
	grants(limiter, ask(limit), 10_000, warm)
	last := limiter.Take(ask(limit), warm).RetryAfter()
	if first != 200*time.Millisecond || later < 2*time.Second || last != 10*time.Second {
		t.Fatalf("%v, %v, %v", first, later, last)
	}
}

// TestRouterRefusalsCountForRetryAfter guards against retry delays that ignore the requests
// which routers refuse from their cache.
func TestRouterRefusalsCountForRetryAfter(t *testing.T) {
	limiter, limit := requestrate.NewLimiter(requestrate.Tolerance{}, 0), requestrate.NewLimit(10, 10)
	grants(limiter, ask(limit), 10, warm)
	if retryAfter := limiter.Take(ask(limit).WithRefused(40), warm).RetryAfter(); retryAfter < 4*time.Second {
		t.Fatalf("after 40 refusals the retry delay is %v", retryAfter)
	}
}

// TestGrantsStayWithinTheLimitInEverySpan checks this for any arrivals and changes of owners.
func TestGrantsStayWithinTheLimitInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 50).Draw(t, "rate")
		burst := rapid.Uint32Range(1, 80).Draw(t, "burst")
		limit := requestrate.NewLimit(perSecond, burst)
		limiter := requestrate.NewLimiter(requestrate.Tolerance{}, 0)
		now := warm
		owners := 0
		var granted []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 40).Draw(t, "change") == 0 {
				limiter = requestrate.NewLimiter(requestrate.Tolerance{}, now)
				owners++
			}
			if limiter.Take(ask(limit), now).Granted() {
				granted = append(granted, now)
			}
		}
		const fresh, least = 5, 8
		for from := range granted {
			for to := from; to < len(granted); to++ {
				span := (granted[to] - granted[from]).Seconds()
				most := perSecond*span + max(float64(burst), least) + float64(owners)*fresh + 1
				if float64(to-from+1) > most {
					t.Fatalf("%d grants within %.2f s, at most %.1f", to-from+1, span, most)
				}
			}
		}
	})
}

// TestRepeatedRequestIsAppliedOnce checks that a repeated request is applied once.
func TestRepeatedRequestIsAppliedOnce(t *testing.T) {
	limiter, limit := requestrate.NewLimiter(requestrate.Tolerance{}, 0), requestrate.NewLimit(10, 30)
	grants(limiter, ask(limit), 30, warm)
	request := ask(limit).FromRouter("router", 1, 1).WithReturned(1)
	for i := range 5 {
		if decided := limiter.Take(request, warm); !decided.Granted() || decided.Remaining() != 0 {
			t.Fatalf("sent %d times: granted %v, %d remain", i+1, decided.Granted(), decided.Remaining())
		}
	}
	refused := ask(limit).FromRouter("router", 1, 2).WithRefused(20)
	first := limiter.Take(refused, warm).RetryAfter()
	if again := limiter.Take(refused, warm).RetryAfter(); again > first+100*time.Millisecond {
		t.Fatalf("the repeated request has a retry delay of %v instead of %v", again, first)
	}
}
