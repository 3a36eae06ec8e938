package ownership

import (
	"cmp"
	"slices"
)

// Assign assigns servers to peers so that no peer owns more than an equal share, rounded up. It
// returns the owner of each server, or an empty map if there are no peers. Pairs of servers and
// peers are processed by decreasing score and skipped if the server has an owner or the peer has
// its share. The result does not depend on the order of the arguments, and adding or removing a
// peer moves few servers of other peers.
func Assign(peers, servers []string) map[string]string {
	owners := make(map[string]string, len(servers))
	if len(peers) == 0 {
		return owners
	}
	room := (len(servers) + len(peers) - 1) / len(peers)
	owned := make(map[string]int, len(peers))
	for _, candidate := range pairs(peers, servers) {
		_, taken := owners[candidate.server]
		if taken || owned[candidate.peer] == room {
			continue
		}
		owners[candidate.server] = candidate.peer
		owned[candidate.peer]++
	}
	return owners
}

// pair is a server and its possible owner.
type pair struct {
	score        uint64
	peer, server string
}

// pairs returns all pairs by decreasing score.
func pairs(peers, servers []string) []pair {
	all := make([]pair, 0, len(peers)*len(servers))
	for _, peer := range peers {
		for _, server := range servers {
			all = append(all, pair{score: Score(peer, server), peer: peer, server: server})
		}
	}
	slices.SortFunc(all, func(left, right pair) int {
		return cmp.Or(
			cmp.Compare(right.score, left.score),
			cmp.Compare(left.peer, right.peer),
			cmp.Compare(left.server, right.server),
		)
	})
	return all
}
