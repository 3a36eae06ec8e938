package requestrate_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/requestrate"
)

// long is a time after which a new owner's buckets are full.
const long = time.Hour

func ask(limit requestrate.Limit) requestrate.Request {
	return requestrate.NewRequest("tenant", limit, 1)
}

// grants asks so many times at once and counts what is granted.
func grants(counts *requestrate.Limiter, request requestrate.Request, times int, now time.Duration) int {
	granted := 0
	for range times {
		if counts.Take(request, now).Granted() {
			granted++
		}
	}
	return granted
}

func TestTenantHasItsBurstAndThenItsRate(t *testing.T) {
	counts, limit := requestrate.NewLimiter(requestrate.Tolerance{}, 0), requestrate.NewLimit(10, 30)
	if granted := grants(counts, ask(limit), 100, long); granted != 30 {
		t.Fatalf("%d of 100 at once were granted", granted)
	}
	if granted := grants(counts, ask(limit), 100, long+time.Second); granted != 10 {
		t.Fatalf("%d were granted a second later", granted)
	}
	if granted := grants(counts, requestrate.NewRequest("other", limit, 1), 100, long); granted != 30 {
		t.Fatalf("another tenant got %d", granted)
	}
}

func TestLimitWithoutABurstTakesRequestsAsTheyCome(t *testing.T) {
	counts := requestrate.NewLimiter(requestrate.Tolerance{}, 0)
	if granted := grants(counts, ask(requestrate.NewLimit(4, 0)), 10, long); granted != 2 {
		t.Fatalf("%d of 10 at once were granted", granted)
	}
	if granted := grants(counts, requestrate.NewRequest("small", requestrate.NewLimit(0.1, 0), 1), 10, long); granted != 1 {
		t.Fatalf("a tenant with a request in ten seconds got %d", granted)
	}
}

// TestNewOwnerBeginsNearlyEmpty: it does not know what the one before has granted.
func TestNewOwnerBeginsNearlyEmpty(t *testing.T) {
	limit := requestrate.NewLimit(10, 100)
	if granted := grants(requestrate.NewLimiter(requestrate.Tolerance{}, long), ask(limit), 100, long); granted != 5 {
		t.Fatalf("%d were granted at the beginning of a term", granted)
	}
	if granted := grants(requestrate.NewLimiter(requestrate.Tolerance{}, long), ask(limit), 100, long+2*time.Second); granted != 25 {
		t.Fatalf("%d were granted two seconds later", granted)
	}
}

// TestNewOwnerUsesAPartOfTheTolerance, up to the burst: small tenants have all of it.
func TestNewOwnerUsesAPartOfTheTolerance(t *testing.T) {
	tolerance := requestrate.NewTolerance(5*time.Second, 0.1, 20)
	for burst, want := range map[uint32]int{10: 10, 200: 84} {
		counts := requestrate.NewLimiter(tolerance, long)
		if granted := grants(counts, ask(requestrate.NewLimit(float64(burst), burst)), 300, long); granted != want {
			t.Errorf("%d of a burst of %d were granted at the beginning of a term, want %d", granted, burst, want)
		}
	}
}

// TestNewOwnerGoesOnFromWhatTheOneBeforeTold, with what was earned since, up to the burst; not
// from an old word, after which others may have used up what was left.
func TestNewOwnerGoesOnFromWhatTheOneBeforeTold(t *testing.T) {
	limit := requestrate.NewLimit(10, 100)
	for _, told := range []struct {
		remaining uint32
		age       time.Duration
		want      int
	}{{40, 0, 40}, {40, time.Second, 50}, {95, time.Second, 100}, {40, 2 * time.Second, 5}, {90, time.Minute, 5}, {0, 0, 5}} {
		counts := requestrate.NewLimiter(requestrate.Tolerance{}, long)
		if granted := grants(counts, ask(limit).WithRemaining(told.remaining, told.age), 200, long); granted != told.want {
			t.Errorf("%d were granted after %+v", granted, told)
		}
	}
}

func TestNewestLimitHolds(t *testing.T) {
	counts := requestrate.NewLimiter(requestrate.Tolerance{}, 0)
	wide, narrow := requestrate.NewLimit(100, 100), requestrate.NewLimit(1, 3)
	counts.Take(requestrate.NewRequest("tenant", wide, 7), long)
	counts.Take(requestrate.NewRequest("tenant", narrow, 8), long)
	if granted := grants(counts, requestrate.NewRequest("tenant", wide, 7), 10, long); granted != 2 {
		t.Fatalf("a router with an older configuration got %d", granted)
	}
}

func TestRequestsThatDidNotRunAreGivenBack(t *testing.T) {
	counts, limit := requestrate.NewLimiter(requestrate.Tolerance{}, 0), requestrate.NewLimit(1, 10)
	grants(counts, ask(limit), 10, long)
	if !counts.Take(ask(limit).WithReturned(1), long).Granted() {
		t.Fatal("what was given back is not granted again")
	}
	if !counts.Take(ask(limit).WithReturned(100), 2*long).Granted() {
		t.Fatal("refused with a full bucket")
	}
	if granted := grants(counts, ask(limit), 100, 2*long); granted != 9 {
		t.Fatalf("%d more were granted after more was given back than the burst", granted)
	}
}

func TestUnaskedRequestsCount(t *testing.T) {
	counts, limit := requestrate.NewLimiter(requestrate.Tolerance{}, 0), requestrate.NewLimit(10, 10)
	grants(counts, ask(limit), 10, long)
	var passed []uint64
	for number := range uint64(20) {
		passed = append(passed, number+1)
	}
	counts.Take(ask(limit).FromRouter("router", 1, 21).WithUnanswered(passed, nil), long)
	if counts.Take(ask(limit), long+1900*time.Millisecond).Granted() {
		t.Fatal("granted before the unasked requests were made up for")
	}
	if !counts.Take(ask(limit), long+2200*time.Millisecond).Granted() {
		t.Fatal("refused although they were made up for")
	}
}

// TestTimeToComeBackGrowsWithWhatIsAskedBeyondTheLimit, within its bounds.
func TestTimeToComeBackGrowsWithWhatIsAskedBeyondTheLimit(t *testing.T) {
	counts, limit := requestrate.NewLimiter(requestrate.Tolerance{}, 0), requestrate.NewLimit(10, 10)
	grants(counts, ask(limit), 10, long)
	first := counts.Take(ask(limit), long).RetryAfter()
	grants(counts, ask(limit), 30, long)
	later := counts.Take(ask(limit), long).RetryAfter()
	grants(counts, ask(limit), 10_000, long)
	last := counts.Take(ask(limit), long).RetryAfter()
	if first != 200*time.Millisecond || later < 2*time.Second || last != 10*time.Second {
		t.Fatalf("%v, %v, %v", first, later, last)
	}
}

// TestRefusalsOfRoutersCountForTheTimeToComeBack: a router answers for a moment by itself, so
// that the owner saw a part of a flood only and told its tenant to come back at once.
func TestRefusalsOfRoutersCountForTheTimeToComeBack(t *testing.T) {
	counts, limit := requestrate.NewLimiter(requestrate.Tolerance{}, 0), requestrate.NewLimit(10, 10)
	grants(counts, ask(limit), 10, long)
	if comeBack := counts.Take(ask(limit).WithRefused(40), long).RetryAfter(); comeBack < 4*time.Second {
		t.Fatalf("after 40 refusals it is told to come back after %v", comeBack)
	}
}

// TestGrantsStayWithinTheLimitInEverySpan whatever is asked when, also where the owner
// changes.
func TestGrantsStayWithinTheLimitInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 50).Draw(t, "rate")
		burst := rapid.Uint32Range(1, 80).Draw(t, "burst")
		limit := requestrate.NewLimit(perSecond, burst)
		counts := requestrate.NewLimiter(requestrate.Tolerance{}, 0)
		now := long
		owners := 0
		var granted []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 40).Draw(t, "change") == 0 {
				counts = requestrate.NewLimiter(requestrate.Tolerance{}, now)
				owners++
			}
			if counts.Take(ask(limit), now).Granted() {
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

// TestWhatAQuestionTellsCountsOnce however often the question is asked.
func TestWhatAQuestionTellsCountsOnce(t *testing.T) {
	counts, limit := requestrate.NewLimiter(requestrate.Tolerance{}, 0), requestrate.NewLimit(10, 30)
	grants(counts, ask(limit), 30, long)
	request := ask(limit).FromRouter("router", 1, 1).WithReturned(1)
	for i := range 5 {
		if decided := counts.Take(request, long); !decided.Granted() || decided.Remaining() != 0 {
			t.Fatalf("asked %d times: granted %v, %d remain", i+1, decided.Granted(), decided.Remaining())
		}
	}
	refused := ask(limit).FromRouter("router", 1, 2).WithRefused(20)
	first := counts.Take(refused, long).RetryAfter()
	if again := counts.Take(refused, long).RetryAfter(); again > first+100*time.Millisecond {
		t.Fatalf("asked again it is told %v instead of %v", again, first)
	}
}
