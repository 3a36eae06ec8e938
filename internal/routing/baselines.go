package routing

import (
	"math/rand/v2"
	"time"
)

// The baselines below are kept to be measured against. They obey the same rule
// of eligibility as the policy in use.

// RoundRobin takes eligible servers in turn. Next is the position of the next
// choice.
type RoundRobin struct {
	Next int
}

// Choose implements Policy.
func (r *RoundRobin) Choose(view *View, request *Request, now time.Duration, random *rand.Rand) (Decision, bool) {
	version, found := drawVersion(request.Versions, random)
	if !found {
		return Decision{}, false
	}
	count := len(view.Servers)
	for step := range count {
		index := (r.Next + step) % count
		if !view.mayTake(index, request, version) {
			continue
		}
		r.Next = index + 1
		return view.decide(index, request, version, now), true
	}
	return Decision{}, false
}

// Random takes any eligible server.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(view *View, request *Request, now time.Duration, random *rand.Rand) (Decision, bool) {
	version, found := drawVersion(request.Versions, random)
	if !found || len(view.Servers) == 0 {
		return Decision{}, false
	}
	seen := 0
	chosen := -1
	for index := range view.Servers {
		if !view.mayTake(index, request, version) {
			continue
		}
		seen++
		if random.IntN(seen) == 0 {
			chosen = index
		}
	}
	if chosen < 0 {
		return Decision{}, false
	}
	return view.decide(chosen, request, version, now), true
}

// LeastInFlight takes the server with the fewest of this gateway's own requests
// in flight and ignores reports.
type LeastInFlight struct{}

// Choose implements Policy.
func (LeastInFlight) Choose(view *View, request *Request, now time.Duration, random *rand.Rand) (Decision, bool) {
	return chooseLeast(view, request, now, random, func(server *Server) float32 {
		return float32(server.OwnOnline + server.OwnBatch)
	})
}

// FreshOracle takes the least estimated wait over all servers, what a hinted
// server saves included. Given a view with reports of age zero and a hint for
// every server that caches a prefix, it is what perfect information allows.
type FreshOracle struct{}

// Choose implements Policy.
func (FreshOracle) Choose(view *View, request *Request, now time.Duration, random *rand.Rand) (Decision, bool) {
	decision, found := chooseLeast(view, request, now, random, func(server *Server) float32 {
		return float32(view.Estimate(server, request, now))
	})
	if !found {
		return decision, false
	}
	for _, hint := range request.Hints {
		if !view.mayTake(int(hint.Server), request, decision.Version) {
			continue
		}
		rest := *request
		cached := min(hint.CachedTokens, request.PromptTokens)
		rest.PromptTokens -= cached
		wait := view.Estimate(&view.Servers[hint.Server], &rest, now)
		if wait < decision.Wait {
			decision = Decision{Server: int(hint.Server), Version: decision.Version, Wait: wait, Hinted: true, CachedTokens: cached}
		}
	}
	return decision, true
}

// chooseLeast takes the eligible server with the least value, from a random
// start so that ties spread.
func chooseLeast(view *View, request *Request, now time.Duration, random *rand.Rand, value func(*Server) float32) (Decision, bool) {
	version, found := drawVersion(request.Versions, random)
	if !found || len(view.Servers) == 0 {
		return Decision{}, false
	}
	count := len(view.Servers)
	start := random.IntN(count)
	chosen := -1
	var least float32
	for step := range count {
		index := (start + step) % count
		if !view.mayTake(index, request, version) {
			continue
		}
		candidate := value(&view.Servers[index])
		if chosen >= 0 && candidate >= least {
			continue
		}
		chosen = index
		least = candidate
	}
	if chosen < 0 {
		return Decision{}, false
	}
	return view.decide(chosen, request, version, now), true
}

func (v *View) mayTake(index int, request *Request, version NameID) bool {
	if index < 0 || index >= len(v.Servers) {
		return false
	}
	return int32(index)+1 != request.Exclude && v.Servers[index].Eligible(request, version)
}

func (v *View) decide(index int, request *Request, version NameID, now time.Duration) Decision {
	return Decision{Server: index, Version: version, Wait: v.Estimate(&v.Servers[index], request, now)}
}
