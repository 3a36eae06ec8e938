package claims_test

import (
	"testing"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/store/claims"
)

func nothing() {}

// TestLateEndOfDroppedTryDoesNotReleaseTheNext: a leader whose lease lapses for a
// moment drops its tries and starts anew in the same term. The end of a dropped
// try then arrives while the next one runs; taking it for the end of that one
// started a third beside it, and two outputs were joined.
func TestLateEndOfDroppedTryDoesNotReleaseTheNext(t *testing.T) {
	table := claims.NewTable()
	key := claims.NewKey("job", 3)
	first, _ := table.Acquire(key, nothing)
	table.Drop()
	second, made := table.Acquire(key, nothing)
	if !made {
		t.Fatal("a dropped item cannot be claimed")
	}
	if table.Current(first) {
		t.Fatal("the dropped claim is current")
	}
	table.Release(first)
	if !table.Current(second) || !table.Held(key) {
		t.Fatal("the end of the dropped try released the next")
	}
	if _, made := table.Acquire(key, nothing); made {
		t.Fatal("the item is in hand twice")
	}
}

func TestCancelEndsOnlyWhatIsUnwanted(t *testing.T) {
	table := claims.NewTable()
	ended := map[uint32]bool{}
	for index := range uint32(3) {
		table.Acquire(claims.NewKey("job", index), func() { ended[index] = true })
	}
	table.Cancel(func(key claims.Key) bool { return key.Index() == 1 })
	if len(ended) != 1 || !ended[1] || table.Len() != 3 {
		t.Fatalf("ended %v with %d claims left", ended, table.Len())
	}
	table.Drop()
	if len(ended) != 3 || table.Len() != 0 {
		t.Fatalf("ended %v with %d claims left", ended, table.Len())
	}
}

// TestAnItemHasOneHolder plays random claims, releases and drops beside an oracle
// that lists every claim with its standing.
func TestAnItemHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := claims.NewTable()
		holder := map[claims.Key]claims.Claim{}
		var made []claims.Claim
		t.Repeat(map[string]func(*rapid.T){
			"make": func(t *rapid.T) {
				key := claims.NewKey("job", rapid.Uint32Range(0, 3).Draw(t, "item"))
				claim, ok := table.Acquire(key, nothing)
				if _, taken := holder[key]; taken == ok {
					t.Fatalf("claim made: %v, held before: %v", ok, taken)
				}
				if ok {
					holder[key] = claim
					made = append(made, claim)
				}
			},
			"release": func(t *rapid.T) {
				if len(made) == 0 {
					t.Skip("nothing was claimed")
				}
				claim := rapid.SampledFrom(made).Draw(t, "claim")
				table.Release(claim)
				if holder[claim.Key()] == claim {
					delete(holder, claim.Key())
				}
			},
			"drop": func(*rapid.T) {
				table.Drop()
				clear(holder)
			},
			"": func(t *rapid.T) {
				if table.Len() != len(holder) {
					t.Fatalf("%d claims, %d expected", table.Len(), len(holder))
				}
				for _, claim := range made {
					if table.Current(claim) != (holder[claim.Key()] == claim) {
						t.Fatalf("claim %v current: %v", claim, table.Current(claim))
					}
				}
			},
		})
	})
}
