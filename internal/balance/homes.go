package balance

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// homeCount is how many servers are expected to keep a shared part, found by
	// rendezvous hashing.
	homeCount = 2
	// maximumHomes bounds the shared parts whose homes are remembered: some hundred bytes
	// each, and more than the subjects that a site's prompts share.
	maximumHomes = 4096
)

// homeTrust is how likely the first and the second home of a part keep it.
var homeTrust = [homeCount]float64{0.8, 0.5}

// homePlaces are the places of the servers that rank first for a part, -1 where there is
// none.
type homePlaces [homeCount]int

// trust is how likely the server at a place keeps a shared part that this process did not
// send there: the servers that rank first for the part are expected to.
func (p *Pool) trust(place int, part uint64) float64 {
	for i, home := range p.homesOf(part) {
		if home == place {
			return homeTrust[i]
		}
	}
	return 0
}

// homesOf finds the homes of a part. They are remembered until the members change: to rank
// all servers for each of them at each choice took longer than all else.
func (p *Pool) homesOf(part uint64) homePlaces {
	if known, found := p.homes[part]; found {
		return known
	}
	if len(p.homes) >= maximumHomes {
		clear(p.homes)
	}
	found := p.rankHomes(part)
	p.homes[part] = found
	return found
}

func (p *Pool) rankHomes(part uint64) homePlaces {
	homes := homePlaces{-1, -1}
	var ranks [homeCount]uint64
	for place, known := range p.servers {
		if known == nil {
			continue
		}
		candidate, own := place, rank(known.ID, part)
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
