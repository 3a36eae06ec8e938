package balance

import "time"

// sight is what a process takes a server to have in hand at a moment.
type sight struct {
	*server
	// others is what all other processes tell of it.
	others SharedLoad
	// counted is how many requests all processes together have there, with what those that are
	// gone left behind, and load the estimate that covers what the server told itself.
	counted int
	load    int
	// batch is how much batch work it has, of all processes.
	batch int
	// online is the load as an online request counts it.
	online int
}

// see looks at a server. What the server told itself counts beside what processes tell while
// it is new, and for longer where no other process tells anything.
//
// Where requests are paced, an online request leaves out the batch work, which gives way: a
// request that goes to a server full of batch work begins as soon as some of it is cut. Where
// loads are new the request waits for that in the router, and finds a server that others have
// left as well.
func (p *Pool) see(s *server, now time.Duration) sight {
	others := p.shares.At(s.hash)
	seen := sight{server: s, others: others, counted: s.inflight + others.Inflight + p.shares.leftBehind(s.left), batch: s.batch + others.Batch}
	seen.load = seen.counted
	valid := reportFor
	if p.shares.HasPeers() {
		valid = reportBeside
	}
	if s.known && now-s.toldAt <= valid {
		seen.load = max(seen.load, s.told+s.since)
	}
	seen.online = seen.load
	if p.paced() {
		seen.online = max(0, seen.load-seen.batch)
	}
	return seen
}

// room tells whether the server can take a request at once, or where online requests may count
// on so many slots beyond those that it has.
func (s sight) room(batch bool, beyond int, now time.Duration) bool {
	if s.gone || now < s.fullUntil {
		return false
	}
	if s.Slots == 0 {
		return true
	}
	if batch {
		// What servers tell is new and old by turns; added to the counts it would keep
		// slots empty. It only tells of requests that wait at the server.
		return s.counted < s.Slots && s.load <= s.Slots
	}
	return s.online < s.Slots+beyond
}

// free is how many more requests the server is taken to have room for; where its slots are
// not known, the less the more it has.
func (s sight) free(batch bool) float64 {
	load := float64(s.online)
	if batch {
		load = float64(s.load)
	}
	if s.Slots == 0 {
		return 1 / (1 + load)
	}
	return max(leastFree, float64(s.Slots)-load)
}
