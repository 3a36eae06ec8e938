package balance

const (
	// keeperCount is how many servers are remembered for a part of a prompt, the newest ones.
	keeperCount = 3
	// maximumKeepers bounds the parts remembered in one of two generations: each request adds
	// one of its own at least, so that the two hold those of partFor at 200 requests a second.
	maximumKeepers = 4096
)

// keeperPlaces are the places of the servers that a part was sent to last, the newest first,
// one more than the place so that zero is none.
type keeperPlaces [keeperCount]int32

// keepers remembers where this process sent the parts of prompts, so that a choice finds these
// servers among many. The older generation is dropped as the newer one is full.
type keepers struct {
	newer, older map[uint64]keeperPlaces
}

// note remembers that the parts were sent to the server at a place.
func (k *keepers) note(parts []Part, place int) {
	for _, part := range parts {
		places := k.places(part.ID)
		if places[0] == int32(place)+1 {
			if _, newest := k.newer[part.ID]; newest {
				continue
			}
		}
		k.put(part.ID, places.first(int32(place)+1))
	}
}

// first returns the places with the given one before all others.
func (p keeperPlaces) first(newest int32) keeperPlaces {
	moved := newest
	for i, each := range p {
		p[i], moved = moved, each
		if each == newest {
			break
		}
	}
	return p
}

func (k *keepers) put(part uint64, places keeperPlaces) {
	if k.newer == nil || len(k.newer) >= maximumKeepers {
		k.older, k.newer = k.newer, make(map[uint64]keeperPlaces)
	}
	k.newer[part] = places
}

func (k *keepers) places(part uint64) keeperPlaces {
	if found, newer := k.newer[part]; newer {
		return found
	}
	return k.older[part]
}
