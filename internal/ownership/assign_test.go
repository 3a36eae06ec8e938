package ownership_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/ownership"
)

func numbered(prefix string, count int) []string {
	var names []string
	for number := range count {
		names = append(names, fmt.Sprintf("%s-%d", prefix, number))
	}
	return names
}

// TestAssignIsEvenAndIndependentOfOrder checks that every server has one owner, that no peer owns
// more than its equal share, rounded up, and that the order of the arguments does not matter.
func TestAssignIsEvenAndIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := numbered(rapid.StringMatching(`[a-z]{1,4}`).Draw(t, "prefix"), rapid.IntRange(1, 15).Draw(t, "peers"))
		servers := numbered("server", rapid.IntRange(0, 60).Draw(t, "servers"))
		owners := ownership.Assign(peers, servers)
		owned := make(map[string]int)
		for _, server := range servers {
			if !slices.Contains(peers, owners[server]) {
				t.Fatalf("%s is owned by %q", server, owners[server])
			}
			owned[owners[server]]++
		}
		for peer, count := range owned {
			if even := (len(servers) + len(peers) - 1) / len(peers); count > even {
				t.Fatalf("%s owns %d of %d servers, more than its share of %d", peer, count, len(servers), even)
			}
		}
		slices.Reverse(peers)
		slices.Reverse(servers)
		if again := ownership.Assign(peers, servers); !maps.Equal(owners, again) {
			t.Fatalf("another order of the arguments gives %v instead of %v", again, owners)
		}
	})
}

// TestAssignMovesFewServers checks that the loss of one of eleven peers moves, on average, at most
// three times as many servers as the peer owned.
func TestAssignMovesFewServers(t *testing.T) {
	const peers, servers, trials, limit = 11, 37, 200, 3 * 37.0 / 11
	moved := 0
	for trial := range trials {
		all := numbered(fmt.Sprintf("gateway-%d", trial), peers)
		before := ownership.Assign(all, numbered("server", servers))
		after := ownership.Assign(all[1:], numbered("server", servers))
		for server, owner := range before {
			if after[server] != owner {
				moved++
			}
		}
	}
	if mean := float64(moved) / trials; mean > limit {
		t.Fatalf("%.1f servers move on average, more than %.1f", mean, limit)
	} else {
		t.Logf("%.1f of %d servers move on average", mean, servers)
	}
}
