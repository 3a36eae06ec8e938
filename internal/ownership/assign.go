package ownership

import (
	"cmp"
	"slices"
)

// Assign divides the servers among the peers so that no peer owns more than its
// even part, rounded up, and returns each server's owner. Pairs are taken in the
// order of their scores, the highest first, as long as the server is free and
// the peer has room; so the result does not depend on the order of the
// arguments, and a change of one peer moves few servers besides that peer's own.
// It is empty where there are no peers.
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

// pair is a possible owner of a server.
type pair struct {
	score        uint64
	peer, server string
}

// pairs lists all pairs, the highest score first.
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
