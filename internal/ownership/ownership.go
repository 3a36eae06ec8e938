// Package ownership assigns each server to one of the live gateways of a zone by rendezvous
// hashing. All gateways with the same list of peers compute the same owners, and adding or removing
// a peer changes the owners of few other servers.
package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the peer with the highest score for a server, or the empty string if there are no
// peers. The order of the peers does not matter.
func Owner(peers []string, server string) string {
	owner := ""
	var highest uint64
	for _, peer := range peers {
		score := Score(peer, server)
		if owner == "" || score > highest || (score == highest && peer < owner) {
			owner = peer
			highest = score
		}
	}
	return owner
}

// Order returns the peers by decreasing score for a key. The first one is the owner, and each
// following one takes over if the ones before it are lost.
func Order(peers []string, key string) []string {
	ordered := slices.Clone(peers)
	slices.SortFunc(ordered, func(left, right string) int {
		return compare(left, right, key)
	})
	return ordered
}

// Score returns the rendezvous hash of a peer and a key.
func Score(peer, key string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(peer)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

func compare(left, right, key string) int {
	leftScore := Score(left, key)
	rightScore := Score(right, key)
	switch {
	case leftScore > rightScore:
		return -1
	case leftScore < rightScore:
		return 1
	case left < right:
		return -1
	case left > right:
		return 1
	default:
		return 0
	}
}
