package streamversion

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// RouterHolders and StoreHolders are how many processes of each kind hold the origin of a stream, besides the
	// router that began it; large sites have one store for it. Stores are among them because all routers may be killed
	// together.
	RouterHolders = 2
	StoreHolders  = 2
	// smallSiteStores is the number of stores up to which two of them hold an origin and announcements are repeated.
	// Sites with more begin so many streams that these announcements would exceed the traffic of a store, see
	// docs/CAPACITY.md.
	smallSiteStores = 8
)

// Member is a process that can hold origins.
type Member struct {
	Name    string
	Address netip.AddrPort
	// Store is set for a store, and not for a router.
	Store bool
}

// Holders returns the processes that hold the origin of a stream, by rendezvous hashing. They exclude the router that
// asks; one more router is returned, because the router that began the stream excluded itself.
func Holders(key Key, members []Member, self string) []Member {
	return ranked(key, members, self, RouterHolders+1, StoreHolders)
}

// Announced returns the processes to which the router that began a stream announces its origin.
func Announced(key Key, members []Member, self string) []Member {
	if !isSmall(members) {
		return ranked(key, members, self, RouterHolders, 1)
	}
	return ranked(key, members, self, RouterHolders, StoreHolders)
}

// RepeatsAnnouncements reports whether announcements are sent twice, since they may be lost.
func RepeatsAnnouncements(members []Member) bool { return isSmall(members) }

func isSmall(members []Member) bool {
	stores := 0
	for place := range members {
		if members[place].Store {
			stores++
		}
	}
	return stores <= smallSiteStores
}

// ranked returns the highest-ranked routers and stores other than the named process, each kind in order.
func ranked(key Key, members []Member, self string, routers, stores int) []Member {
	best, bestStores := newTop(routers), newTop(stores)
	for place := range members {
		member := &members[place]
		switch {
		case member.Name == self:
		case member.Store:
			bestStores.add(member, rank(key, member.Name))
		default:
			best.add(member, rank(key, member.Name))
		}
	}
	return append(best.members(), bestStores.members()...)
}

// top holds the highest-ranked members seen, the first one first.
type top struct {
	most    int
	ranking []rankedMember
}

type rankedMember struct {
	member *Member
	rank   uint64
}

func newTop(most int) *top { return &top{most: most, ranking: make([]rankedMember, 0, most+1)} }

func (t *top) add(member *Member, rank uint64) {
	place := len(t.ranking)
	for place > 0 && t.ranking[place-1].rank < rank {
		place--
	}
	if place == t.most {
		return
	}
	t.ranking = slices.Insert(t.ranking, place, rankedMember{member: member, rank: rank})
	t.ranking = t.ranking[:min(len(t.ranking), t.most)]
}

func (t *top) members() []Member {
	var members []Member
	for _, each := range t.ranking {
		members = append(members, *each.member)
	}
	return members
}

// rank orders the processes that may hold the origin of a stream.
func rank(key Key, name string) uint64 {
	var text [8]byte
	for place := range text {
		text[place] = byte(key >> (8 * place))
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(text[:])
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}
