package requestrate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/requestrate"
)

// word is what an owner told a router last.
type word struct {
	remaining uint32
	at        time.Duration
	told      bool
}

// TestNewerWordLowersWhatANewOwnerBeganWith: the router that asks first had not seen the flood.
func TestNewerWordLowersWhatANewOwnerBeganWith(t *testing.T) {
	limit := requestrate.NewLimit(10, 100)
	counts := requestrate.NewLimiter(requestrate.Tolerance{}, long)
	counts.Take(ask(limit).WithRemaining(90, 900*time.Millisecond), long)
	counts.Take(ask(limit).WithRemaining(2, 400*time.Millisecond), long)
	if granted := grants(counts, ask(limit), 200, long); granted != 4 {
		t.Fatalf("%d more are granted, want 4 of what the newer word left", granted)
	}
	counts = requestrate.NewLimiter(requestrate.Tolerance{}, long)
	counts.Take(ask(limit).WithRemaining(90, 400*time.Millisecond), long)
	counts.Take(ask(limit).WithRemaining(2, 900*time.Millisecond), long)
	counts.Take(ask(limit).WithRemaining(2, 0), long+10*time.Millisecond)
	if granted := grants(counts, ask(limit), 200, long+10*time.Millisecond); granted != 91 {
		t.Fatalf("%d more are granted, want 91: the words are older, or this owner's own", granted)
	}
}

// TestFloodStaysWithinTheToleranceWhereOwnersChange: a flood has drained the burst at some
// routers before the owner died; others, which know of a full one, ask the next owner too.
func TestFloodStaysWithinTheToleranceWhereOwnersChange(t *testing.T) {
	for seed := range uint64(400) {
		playOwners(t, rand.New(rand.NewPCG(seed, 1)))
	}
}

// playOwners plays up to three changes of owners, each amid a flood, at a site drawn at random.
func playOwners(t *testing.T, random *rand.Rand) {
	t.Helper()
	const window = 5 * time.Second
	perSecond, burst := 1+100*random.Float64(), 8+random.Uint32N(400)
	limit, tolerance := requestrate.NewLimit(perSecond, burst), requestrate.NewTolerance(window, 0.1, 20)
	words := make([]word, 2+random.IntN(49))
	flooded := 1 + random.IntN(len(words))
	counts := requestrate.NewLimiter(tolerance, 0)
	now := long
	var granted []time.Duration
	take := func(router int) {
		request := ask(limit)
		if known := words[router]; known.told {
			request = request.WithRemaining(known.remaining, now-known.at)
		}
		decided := counts.Take(request, now)
		if decided.Granted() {
			granted = append(granted, now)
		}
		words[router] = word{remaining: decided.Remaining(), at: now, told: true}
	}
	flood := func(routers int) {
		spacing := time.Duration(float64(time.Second) / (perSecond*(2+8*random.Float64()) + 200))
		for end := now + time.Duration(100+random.IntN(3000))*time.Millisecond; now < end; now += spacing {
			take(random.IntN(routers))
		}
	}
	for range 1 + random.IntN(3) {
		// All routers ask now and then, until the flood begins at some.
		now += 2 * window
		for router := range words {
			take(router)
		}
		now += time.Duration(random.IntN(10_000)) * time.Millisecond
		flood(flooded)
		now += time.Duration(100+random.IntN(1400)) * time.Millisecond
		counts = requestrate.NewLimiter(tolerance, now)
		flood(len(words))
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
