package routing

import "time"

// Multipliers of the SplitMix64 finalizer.
const (
	mixMultiplier1 = 0xbf58476d1ce4e5b9
	mixMultiplier2 = 0x94d049bb133111eb
)

// mix is the SplitMix64 finalizer.
func mix(word uint64) uint64 {
	word ^= word >> 30
	word *= mixMultiplier1
	word ^= word >> 27
	word *= mixMultiplier2
	return word ^ word>>31
}

// smallFleetServers is the largest fleet in which affinity servers are selected
// across all zones: the zones of a small fleet have too little cache each.
const smallFleetServers = 40

// affinityRange returns the range of servers from which affinity servers are
// selected.
func (v *View) affinityRange() (from, to int32) {
	if len(v.Servers) <= smallFleetServers {
		return 0, int32(len(v.Servers))
	}
	own := &v.Zones[0]
	return own.First, own.First + own.Count
}

// affinityServers returns the two eligible servers in a range with the highest
// rendezvous hashes for the request's AffinityKey, or -1 where there is none.
// All gateways of a zone select the same servers without coordination.
func (v *View) affinityServers(from, to int32, request *Request, version NameID) (first, second int32) {
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

// considerAffinityServers considers the affinity servers of the request's key.
func (p PowerOfChoices) considerAffinityServers(view *View, request *Request, version NameID, now time.Duration, chosen *candidate) {
	if request.AffinityKey == 0 || len(view.Zones) == 0 {
		return
	}
	from, to := view.affinityRange()
	first, second := view.affinityServers(from, to, request, version)
	// A longer prompt has more to gain from a cached prefix.
	prefill := time.Duration(request.PromptTokens) * view.Cost.PerPromptToken
	bonus := min(p.AffinityBonus+prefill, p.MaxAffinityBonus)
	p.considerAffinityServer(view, first, request, now, bonus, chosen)
	p.considerAffinityServer(view, second, request, now, bonus/2, chosen)
}

func (p PowerOfChoices) considerAffinityServer(view *View, index int32, request *Request, now, bonus time.Duration, chosen *candidate) {
	if index < 0 {
		return
	}
	server := &view.Servers[index]
	wait := view.Estimate(server, request, now)
	chosen.replaceIfBetter(candidate{server: index, health: server.Health, hinted: true, wait: wait, score: p.score(server, request, wait) - bonus})
}
