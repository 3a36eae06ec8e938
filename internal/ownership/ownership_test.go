package ownership_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/ownership"
)

// TestOnlyServersOfALostPeerMove checks that all other servers keep their owners when one peer is
// removed, whatever the order of the peers.
func TestOnlyServersOfALostPeerMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 1, 12, rapid.ID[string]).Draw(t, "peers")
		lost := rapid.SampledFrom(peers).Draw(t, "lost")
		remaining := slices.DeleteFunc(slices.Clone(peers), func(peer string) bool { return peer == lost })
		slices.Reverse(remaining)
		for number := range 40 {
			server := fmt.Sprintf("server-%d", number)
			before := ownership.Owner(peers, server)
			after := ownership.Owner(remaining, server)
			if before != lost && before != after {
				t.Fatalf("%s moved from %s to %s although %s was lost", server, before, after, lost)
			}
			order := ownership.Order(peers, server)
			if order[0] != before {
				t.Fatalf("first of the order is %s, owner is %s", order[0], before)
			}
			if before == lost && len(order) > 1 && order[1] != after {
				t.Fatalf("second of the order is %s, new owner is %s", order[1], after)
			}
		}
	})
}
