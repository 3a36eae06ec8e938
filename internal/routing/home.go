package routing

import "time"

// Multipliers of the mixing function, from SplitMix64.
const (
	mixFirst  = 0xbf58476d1ce4e5b9
	mixSecond = 0x94d049bb133111eb
)

// mix spreads the bits of a word.
func mix(word uint64) uint64 {
	word ^= word >> 30
	word *= mixFirst
	word ^= word >> 27
	word *= mixSecond
	return word ^ word>>31
}

// smallFleet is the number of servers up to which homes are sought in the whole
// fleet: a zone of so few servers caches too little by itself.
const smallFleet = 40

// homeSet delimits the servers among which homes are sought.
func (v *View) homeSet() (from, to int32) {
	if len(v.Servers) <= smallFleet {
		return 0, int32(len(v.Servers))
	}
	own := &v.Zones[0]
	return own.First, own.First + own.Count
}

// homes finds the two servers from one index up to another with the highest rendezvous scores for a
// key among those that may take the request; absent ones are below zero. All
// gateways of a zone find the same, without a word between them.
func (v *View) homes(from, to int32, request *Request, version NameID) (first, second int32) {
	first, second = -1, -1
	var firstScore, secondScore uint64
	for index := from; index < to; index++ {
		server := &v.Servers[index]
		score := mix(request.AffinityKey ^ server.Key)
		if score <= secondScore || index+1 == request.Exclude || !server.Eligible(request, version) {
			continue
		}
		if score <= firstScore {
			second, secondScore = index, score
			continue
		}
		second, secondScore = first, firstScore
		first, firstScore = index, score
	}
	return first, second
}

// considerHomes offers the homes of the request's key in the own zone.
func (p PowerOfChoices) considerHomes(view *View, request *Request, version NameID, now time.Duration, chosen *best) {
	if request.AffinityKey == 0 || len(view.Zones) == 0 {
		return
	}
	from, to := view.homeSet()
	first, second := view.homes(from, to, request, version)
	// The more of a prompt a home may cache, the longer a wait it is worth.
	prefill := time.Duration(request.PromptTokens) * view.Cost.PerPromptToken
	bonus := min(p.AffinityBonus+prefill, p.MaxAffinityBonus)
	p.offerHome(view, first, request, now, bonus, chosen)
	p.offerHome(view, second, request, now, bonus/2, chosen)
}

func (p PowerOfChoices) offerHome(view *View, index int32, request *Request, now, bonus time.Duration, chosen *best) {
	if index < 0 {
		return
	}
	server := &view.Servers[index]
	wait := view.Estimate(server, request, now)
	chosen.offer(best{server: index, health: server.Health, hinted: true, wait: wait, score: p.score(server, request, wait) - bonus})
}
