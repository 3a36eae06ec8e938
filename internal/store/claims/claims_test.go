package claims_test

import (
	"testing"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/store/claims"
)

func nothing() {}

// TestLateReleaseOfDroppedClaimIsIgnored: a leader whose lease lapses drops its claims and may
// attempt the items again in the same term. The late end of a dropped attempt must not release
// the new claim, or a third attempt would run at the same time.
func TestLateReleaseOfDroppedClaimIsIgnored(t *testing.T) {
	table := claims.NewTable()
	key := claims.NewKey("job", 3)
	first, _ := table.Acquire(key, nothing)
	table.Drop()
	second, ok := table.Acquire(key, nothing)
	if !ok {
		t.Fatal("a dropped item cannot be claimed again")
	}
	if table.Current(first) {
		t.Fatal("the dropped claim is current")
	}
	table.Release(first)
	if !table.Current(second) || !table.Held(key) {
		t.Fatal("the dropped claim released the current one")
	}
	if _, ok := table.Acquire(key, nothing); ok {
		t.Fatal("the item is claimed twice")
	}
}

func TestCancelCancelsOnlyUnwanted(t *testing.T) {
	table := claims.NewTable()
	ended := map[uint32]bool{}
	for index := range uint32(3) {
		table.Acquire(claims.NewKey("job", index), func() { ended[index] = true })
	}
	table.Cancel(func(key claims.Key) bool { return key.Index() == 1 })
	if len(ended) != 1 || !ended[1] || table.Len() != 3 {
		t.Fatalf("canceled %v with %d claims left", ended, table.Len())
	}
	table.Drop()
	if len(ended) != 3 || table.Len() != 0 {
		t.Fatalf("canceled %v with %d claims left", ended, table.Len())
	}
}

// TestAnItemHasOneHolder compares random operations with an oracle of all claims.
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
