package routing

import (
	"math/rand/v2"
	"time"
)

// The baselines below are kept to be measured against. They obey the same rule
// of eligibility as the policy in use.

// RoundRobin takes eligible servers in turn. Like the other policies in this
// file, it is a baseline for benchmarks and simulations, with the same
// eligibility rule as the default policy.
type RoundRobin struct {
	// Next is the index from which the next choice searches.
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
		if !view.canServe(index, request, version) {
			continue
		}
		r.Next = index + 1
		return view.decisionFor(index, request, version, now), true
	}
	return Decision{}, false
}

// Random picks an eligible server uniformly.
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
		if !view.canServe(index, request, version) {
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
	return view.decisionFor(chosen, request, version, now), true
}

// LeastInFlight picks the server with the fewest in-flight requests of this
// gateway and ignores load reports.
type LeastInFlight struct{}

// Choose implements Policy.
func (LeastInFlight) Choose(view *View, request *Request, now time.Duration, random *rand.Rand) (Decision, bool) {
	return chooseLeast(view, request, now, random, func(server *Server) float32 {
		return float32(server.OwnOnline + server.OwnBatch)
	})
}

// FreshOracle picks the shortest estimated wait over all servers, including the
// prefill time that a cached prefix saves. With load reports of age zero and a
// hint for every server that caches a prefix, it bounds what any policy can
// achieve.
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
		if !view.canServe(int(hint.Server), request, decision.Version) {
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

// chooseLeast picks the eligible server with the smallest value. It starts at a
// random server so that ties are spread.
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
		if !view.canServe(index, request, version) {
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
	return view.decisionFor(chosen, request, version, now), true
}

// canServe reports whether the server at an index is eligible and not excluded
// by the request.
func (v *View) canServe(index int, request *Request, version NameID) bool {
	if index < 0 || index >= len(v.Servers) {
		return false
	}
	return int32(index)+1 != request.Exclude && v.Servers[index].Eligible(request, version)
}

func (v *View) decisionFor(index int, request *Request, version NameID, now time.Duration) Decision {
	return Decision{Server: index, Version: version, Wait: v.Estimate(&v.Servers[index], request, now)}
}
