package requestrate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/requestrate"
)

// lastResponse is what an owner last reported to a router.
type lastResponse struct {
	remaining uint32
	at        time.Duration
	valid     bool
}

// TestNewerReportLowersTheInitialLevel: the first router to ask a new owner may have an outdated
// remaining count.
func TestNewerReportLowersTheInitialLevel(t *testing.T) {
	limit := requestrate.NewLimit(10, 100)
	limiter := requestrate.NewLimiter(requestrate.Tolerance{}, warm)
	limiter.Take(ask(limit).WithRemaining(90, 900*time.Millisecond), warm)
	limiter.Take(ask(limit).WithRemaining(2, 400*time.Millisecond), warm)
	if granted := grants(limiter, ask(limit), 200, warm); granted != 4 {
		t.Fatalf("%d more are granted, want the 4 that the newer report left", granted)
	}
	limiter = requestrate.NewLimiter(requestrate.Tolerance{}, warm)
	limiter.Take(ask(limit).WithRemaining(90, 400*time.Millisecond), warm)
	limiter.Take(ask(limit).WithRemaining(2, 900*time.Millisecond), warm)
	limiter.Take(ask(limit).WithRemaining(2, 0), warm+10*time.Millisecond)
	if granted := grants(limiter, ask(limit), 200, warm+10*time.Millisecond); granted != 91 {
		t.Fatalf("%d more are granted, want 91: the reports are older, or this owner's own", granted)
	}
}

// TestFloodStaysWithinTheToleranceWhereOwnersChange: a flood has drained the burst at some routers
// before the owner fails, and routers that still report a full burst ask the new owner too.
func TestFloodStaysWithinTheToleranceWhereOwnersChange(t *testing.T) {
	for seed := range uint64(400) {
		simulateOwnerChanges(t, rand.New(rand.NewPCG(seed, 1)))
	}
}

// simulateOwnerChanges runs up to three changes of owners during floods at a random site.
func simulateOwnerChanges(t *testing.T, random *rand.Rand) {
	t.Helper()
	const window = 5 * time.Second
	perSecond, burst := 1+100*random.Float64(), 8+random.Uint32N(400)
	limit, tolerance := requestrate.NewLimit(perSecond, burst), requestrate.NewTolerance(window, 0.1, 20)
	responses := make([]lastResponse, 2+random.IntN(49))
	flooded := 1 + random.IntN(len(responses))
	limiter := requestrate.NewLimiter(tolerance, 0)
	now := warm
	var granted []time.Duration
	take := func(router int) {
		request := ask(limit)
		if known := responses[router]; known.valid {
			request = request.WithRemaining(known.remaining, now-known.at)
		}
		decided := limiter.Take(request, now)
		if decided.Granted() {
			granted = append(granted, now)
		}
		responses[router] = lastResponse{remaining: decided.Remaining(), at: now, valid: true}
	}
	flood := func(routers int) {
		spacing := time.Duration(float64(time.Second) / (perSecond*(2+8*random.Float64()) + 200))
		for end := now + time.Duration(100+random.IntN(3000))*time.Millisecond; now < end; now += spacing {
			take(random.IntN(routers))
		}
	}
	for range 1 + random.IntN(3) {
		// All routers make occasional requests until the flood begins at some of them.
		now += 2 * window
		for router := range responses {
			take(router)
		}
		now += time.Duration(random.IntN(10_000)) * time.Millisecond
		flood(flooded)
		now += time.Duration(100+random.IntN(1400)) * time.Millisecond
		limiter = requestrate.NewLimiter(tolerance, now)
		flood(len(responses))
	}
	most := (perSecond*window.Seconds()+float64(burst))*1.1 + 20
	from := 0
	for to, at := range granted {
		for at-granted[from] > window {
			from++
		}
		if float64(to-from+1) > most {
			t.Fatalf("%.1f a second and %d at once: %d grants within %v, at most %.1f", perSecond, burst, to-from+1, at-granted[from], most)
		}
	}
}
