package balance

const (
	// placesPerPart is how many servers are remembered for a prompt part, the most recent ones.
	placesPerPart = 3
	// partsPerGeneration bounds the parts of one of the two generations. Each request adds at least
	// one part of its own, so that both generations together cover partTTL at 200 requests a second.
	partsPerGeneration = 4096
)

// partPlaces are the places of the servers that a part was last sent to, the most recent first.
// They are stored plus one, so that zero means none.
type partPlaces [placesPerPart]int32

// partLocations remembers which servers this process sent prompt parts to, so that a choice finds
// these servers among many. The older generation is dropped when the newer one is full.
type partLocations struct {
	newer, older map[uint64]partPlaces
}

// record remembers that the parts were sent to the server at a place.
func (l *partLocations) record(parts []Part, place int) {
	for _, part := range parts {
		places := l.places(part.ID)
		if places[0] == int32(place)+1 {
			if _, newest := l.newer[part.ID]; newest {
				continue
			}
		}
		l.put(part.ID, places.moveToFront(int32(place)+1))
	}
}

// moveToFront returns the places with the given one first.
func (p partPlaces) moveToFront(newest int32) partPlaces {
	moved := newest
	for i, each := range p {
		p[i], moved = moved, each
		if each == newest {
			break
		}
	}
	return p
}

func (l *partLocations) put(part uint64, places partPlaces) {
	if l.newer == nil || len(l.newer) >= partsPerGeneration {
		l.older, l.newer = l.newer, make(map[uint64]partPlaces)
	}
	l.newer[part] = places
}

func (l *partLocations) places(part uint64) partPlaces {
	if found, newer := l.newer[part]; newer {
		return found
	}
	return l.older[part]
}
