package balance

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/topology"
)

const (
	// affinityCount is the number of affinity servers of a shared part: the servers, selected by rendezvous hashing,
	// that are expected to cache it.
	affinityCount = 2
	// maxCachedAffinities bounds the number of parts whose affinity servers are cached, at some hundred bytes each.
	maxCachedAffinities = 4096
)

// affinityHitProbabilities are the probabilities that the first and the second affinity server of a part have it
// cached.
var affinityHitProbabilities = [affinityCount]float64{0.8, 0.5}

// affinityKey identifies a part among requests that are restricted to the same regions.
type affinityKey struct {
	part    uint64
	regions string
}

// affinityPlaces are the places of a part's affinity servers, or -1 where there is none.
type affinityPlaces [affinityCount]int

// affinityHitProbability returns the probability that the server at a place has a shared part cached
// that this process did not send there.
func (p *Pool) affinityHitProbability(place int, part uint64, regions topology.RegionSet) float64 {
	for i, each := range p.affinityServers(part, regions) {
		if each == place {
			return affinityHitProbabilities[i]
		}
	}
	return 0
}

// affinityServers returns the affinity servers of a part among the servers in the given regions. They are cached until the
// members change, since ranking all servers for each choice is expensive.
func (p *Pool) affinityServers(part uint64, regions topology.RegionSet) affinityPlaces {
	key := affinityKey{part: part, regions: regions.Key()}
	if cached, found := p.affinities[key]; found {
		return cached
	}
	if len(p.affinities) >= maxCachedAffinities {
		clear(p.affinities)
	}
	ranked := p.rankAffinityServers(part, regions)
	p.affinities[key] = ranked
	return ranked
}

func (p *Pool) rankAffinityServers(part uint64, regions topology.RegionSet) affinityPlaces {
	best := affinityPlaces{-1, -1}
	var ranks [affinityCount]uint64
	near, _ := p.placesByRegion()
	nearOnly := slices.ContainsFunc(near, func(place int) bool { return p.allowedAt(place, regions) })
	for place, srv := range p.servers {
		// Affinity servers in other regions would attract requests there, so each region has its own.
		if srv == nil || !regions.Allows(srv.Region) || (nearOnly && srv.distance == topology.OtherRegion) {
			continue
		}
		candidate, own := place, rank(srv.ID, part)
		for i := range best {
			if best[i] < 0 || own > ranks[i] {
				best[i], candidate = candidate, best[i]
				ranks[i], own = own, ranks[i]
			}
			if candidate < 0 {
				break
			}
		}
	}
	return best
}

func rank(id string, part uint64) uint64 {
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], part)
	digest := xxhash.New()
	_, _ = digest.WriteString(id)
	_, _ = digest.Write(encoded[:])
	return digest.Sum64()
}
