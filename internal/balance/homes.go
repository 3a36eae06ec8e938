package balance

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// homeCount is how many servers, selected by rendezvous hashing, are expected to cache a shared
	// part.
	homeCount = 2
	// maxCachedHomes bounds the number of parts whose homes are cached, at some hundred bytes each.
	maxCachedHomes = 4096
)

// homeHitProbabilities are the probabilities that the first and the second home of a part have it
// cached.
var homeHitProbabilities = [homeCount]float64{0.8, 0.5}

// homePlaces are the places of a part's homes, or -1 where there is none.
type homePlaces [homeCount]int

// homeHitProbability returns the probability that the server at a place has a shared part cached
// that this process did not send there.
func (p *Pool) homeHitProbability(place int, part uint64) float64 {
	for i, home := range p.homesOf(part) {
		if home == place {
			return homeHitProbabilities[i]
		}
	}
	return 0
}

// homesOf returns the homes of a part. They are cached until the members change, since ranking all
// servers for each choice is expensive.
func (p *Pool) homesOf(part uint64) homePlaces {
	if cached, found := p.homes[part]; found {
		return cached
	}
	if len(p.homes) >= maxCachedHomes {
		clear(p.homes)
	}
	homes := p.rankHomes(part)
	p.homes[part] = homes
	return homes
}

func (p *Pool) rankHomes(part uint64) homePlaces {
	homes := homePlaces{-1, -1}
	var ranks [homeCount]uint64
	for place, srv := range p.servers {
		if srv == nil {
			continue
		}
		candidate, own := place, rank(srv.ID, part)
		for i := range homes {
			if homes[i] < 0 || own > ranks[i] {
				homes[i], candidate = candidate, homes[i]
				ranks[i], own = own, ranks[i]
			}
			if candidate < 0 {
				break
			}
		}
	}
	return homes
}

func rank(id string, part uint64) uint64 {
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], part)
	digest := xxhash.New()
	_, _ = digest.WriteString(id)
	_, _ = digest.Write(encoded[:])
	return digest.Sum64()
}
