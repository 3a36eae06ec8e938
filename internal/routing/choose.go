package routing

import (
	"math/rand/v2"
	"time"
)

// WeightedVersion is a version that may answer a request, with its part of the
// traffic.
type WeightedVersion struct {
	Name   NameID
	Weight uint32
}

// Hint says that a server probably caches a prefix of the prompt. Cache
// knowledge is late and has gaps, so that it only ever lowers an estimate.
type Hint struct {
	Server int32
	// CachedTokens is the length of the cached prefix.
	CachedTokens int32
}

// Request is what routing needs to know of a request.
type Request struct {
	// Versions lists the versions that may answer; one is drawn by weight.
	Versions []WeightedVersion
	// Adapter must be loaded too; NoName for none.
	Adapter NameID
	// PromptTokens estimates the length of the prompt.
	PromptTokens int32
	// Hints lists servers that may cache the prompt's prefix or hold the
	// session, best first. Only the first MaxHints are considered.
	Hints []Hint
	// AffinityKey names the conversation or document that the prompt belongs to,
	// so that all gateways prefer the same servers for it; zero for none.
	AffinityKey uint64
	// Exclude is a server that already refused this request, plus one; zero
	// excludes none.
	Exclude int32
	// Batch requests avoid servers with online load.
	Batch bool
}

// Decision is the chosen back end.
type Decision struct {
	// Server is an index in View.Servers.
	Server int
	// Version is the version drawn for the request.
	Version NameID
	// Wait estimates the time until the first token, network included.
	Wait time.Duration
	// Hinted tells that the server came from a hint.
	Hinted bool
	// CachedTokens is the part of the prompt that the server probably caches.
	// Callers leave it out of the prompt tokens that they count as sent.
	CachedTokens int32
}

// Policy chooses a back end. Implementations hold no hidden state besides what
// their documentation names.
type Policy interface {
	Choose(view *View, request *Request, now time.Duration, random *rand.Rand) (Decision, bool)
}

// MaxHints bounds the hints that one choice considers.
const MaxHints = 4

// PowerOfChoices samples a few servers of the own zone, adds the hinted ones and
// takes the least estimated wait. Other zones are sampled once the own zone's
// wait exceeds SpillWait.
type PowerOfChoices struct {
	// Choices is the number of servers sampled per zone; at least 1.
	Choices int
	// SpilloverThreshold is the estimated wait in the own zone from which servers of some
	// other zones are considered.
	SpilloverThreshold time.Duration
	// MaxAffinityBonus bounds what a hint may take off an estimate, so that a hot
	// prefix never makes a hot spot.
	MaxAffinityBonus time.Duration
	// AffinityBonus and the prefill of the prompt, at most AffinityLimit together, are
	// taken off the estimate of the server that all gateways of the zone prefer
	// for the request's AffinityKey, and half of that off the next one's.
	AffinityBonus time.Duration
	// BatchPenalty is added to an online request's estimate for each batch
	// request that runs on the server.
	BatchPenalty time.Duration
}

// Default is the policy that gateways use.
var Default = PowerOfChoices{
	Choices:            2,
	SpilloverThreshold: 25 * time.Millisecond,
	MaxAffinityBonus:   150 * time.Millisecond,
	AffinityBonus:      30 * time.Millisecond,
	BatchPenalty:       200 * time.Microsecond,
}

// Choose picks a server with the default policy. It returns false when no
// server may take the request: none has a version and the adapter loaded, or
// all that have are ejected, leaving or excluded.
func Choose(view *View, request *Request, now time.Duration, random *rand.Rand) (Decision, bool) {
	return Default.Choose(view, request, now, random)
}

// Choose implements Policy.
func (p PowerOfChoices) Choose(view *View, request *Request, now time.Duration, random *rand.Rand) (Decision, bool) {
	version, found := drawVersion(request.Versions, random)
	if !found {
		return Decision{}, false
	}
	if decision, found := p.chooseVersion(view, request, version, now, random); found {
		return decision, true
	}
	for _, other := range request.Versions {
		if other.Name == version || other.Weight == 0 {
			continue
		}
		if decision, found := p.chooseVersion(view, request, other.Name, now, random); found {
			return decision, true
		}
	}
	return Decision{}, false
}

// drawVersion draws a version by weight.
func drawVersion(versions []WeightedVersion, random *rand.Rand) (NameID, bool) {
	var total uint32
	for _, version := range versions {
		total += version.Weight
	}
	if total == 0 {
		return NoName, false
	}
	point := random.Uint32N(total)
	for _, version := range versions {
		if point < version.Weight {
			return version.Name, true
		}
		point -= version.Weight
	}
	return NoName, false
}

func (p PowerOfChoices) chooseVersion(view *View, request *Request, version NameID, now time.Duration, random *rand.Rand) (Decision, bool) {
	chosen := best{health: Ejected}
	p.considerHints(view, request, version, now, &chosen)
	p.considerHomes(view, request, version, now, &chosen)
	if len(view.Zones) > 0 {
		p.sampleZone(view, &view.Zones[0], request, version, now, random, &chosen)
	}
	p.spill(view, request, version, now, random, &chosen)
	if !chosen.found() {
		return Decision{}, false
	}
	return Decision{Server: int(chosen.server), Version: version, Wait: chosen.wait, Hinted: chosen.hinted, CachedTokens: chosen.cached}, true
}

// maximumSpillZones bounds the other zones that are sampled while a healthy
// server is known. They are drawn, so that gateways do not all run to the zone
// that was the idlest some seconds ago.
const maximumSpillZones = 4

// spill samples other zones from a random one on, once the own zone's wait is
// too long; all of them while no healthy server was found.
func (p PowerOfChoices) spill(view *View, request *Request, version NameID, now time.Duration, random *rand.Rand, chosen *best) {
	others := len(view.Zones) - 1
	if others <= 0 || chosen.settled(p.SpilloverThreshold) {
		return
	}
	start := random.IntN(others)
	for step := range others {
		if step >= maximumSpillZones && chosen.found() && chosen.health == Healthy {
			return
		}
		p.sampleZone(view, &view.Zones[1+(start+step)%others], request, version, now, random, chosen)
	}
}

// settled tells whether the candidate is healthy and its wait short.
func (b *best) settled(wait time.Duration) bool {
	return b.found() && b.health == Healthy && b.wait < wait
}

// best is the best candidate so far. Healthy beats suspect; then the least
// score wins.
type best struct {
	server int32
	health Health
	hinted bool
	cached int32
	wait   time.Duration
	score  time.Duration
}

func (b *best) found() bool {
	return b.health != Ejected
}

func (b *best) offer(candidate best) {
	if candidate.health > b.health {
		return
	}
	if candidate.health == b.health && candidate.score >= b.score {
		return
	}
	*b = candidate
}

// Eligible tells whether a server may take the request at all.
func (s *Server) Eligible(request *Request, version NameID) bool {
	return !s.Leaving && s.Health != Ejected && s.Loaded.Has(version) && s.Loaded.Has(request.Adapter)
}

func (p PowerOfChoices) considerHints(view *View, request *Request, version NameID, now time.Duration, chosen *best) {
	hints := request.Hints[:min(len(request.Hints), MaxHints)]
	for _, hint := range hints {
		if hint.Server < 0 || int(hint.Server) >= len(view.Servers) || hint.Server+1 == request.Exclude {
			continue
		}
		server := &view.Servers[hint.Server]
		if !server.Eligible(request, version) {
			continue
		}
		wait := view.Estimate(server, request, now)
		cached := min(hint.CachedTokens, request.PromptTokens)
		saved := time.Duration(cached) * view.Cost.PerPromptToken
		score := p.score(server, request, wait) - min(saved, p.MaxAffinityBonus)
		chosen.offer(best{server: hint.Server, health: server.Health, hinted: true, cached: cached, wait: max(0, wait-saved), score: score})
	}
}

// triesPerChoice bounds the random draws for one eligible server before the
// zone is scanned.
const triesPerChoice = 4

func (p PowerOfChoices) sampleZone(view *View, zone *Zone, request *Request, version NameID, now time.Duration, random *rand.Rand, chosen *best) {
	if zone.Count <= 0 {
		return
	}
	wanted := max(1, p.Choices)
	taken := 0
	healthy := false
	for try := 0; try < wanted*triesPerChoice && taken < wanted; try++ {
		index := zone.First + random.Int32N(zone.Count)
		server := &view.Servers[index]
		if index+1 == request.Exclude || !server.Eligible(request, version) || server.skippedInSlowStart(random) {
			continue
		}
		taken++
		healthy = healthy || server.Health == Healthy
		p.offer(view, index, request, now, chosen)
	}
	if !healthy {
		p.scanZone(view, zone, request, version, now, random, chosen)
	}
}

// scanZone offers every eligible server from a random start; it runs only when
// sampling found no healthy server.
func (p PowerOfChoices) scanZone(view *View, zone *Zone, request *Request, version NameID, now time.Duration, random *rand.Rand, chosen *best) {
	start := random.Int32N(zone.Count)
	for step := int32(0); step < zone.Count; step++ {
		index := zone.First + (start+step)%zone.Count
		if index+1 == request.Exclude || !view.Servers[index].Eligible(request, version) {
			continue
		}
		p.offer(view, index, request, now, chosen)
	}
}

func (p PowerOfChoices) offer(view *View, index int32, request *Request, now time.Duration, chosen *best) {
	server := &view.Servers[index]
	wait := view.Estimate(server, request, now)
	chosen.offer(best{server: index, health: server.Health, wait: wait, score: p.score(server, request, wait)})
}

func (p PowerOfChoices) score(server *Server, request *Request, wait time.Duration) time.Duration {
	if request.Batch {
		return wait
	}
	batch := max(float32(server.OwnBatch), server.Report.RunningBatch)
	return wait + time.Duration(batch*float32(p.BatchPenalty))
}

// skippedInSlowStart draws whether a server that warms up sits this choice out.
func (s *Server) skippedInSlowStart(random *rand.Rand) bool {
	if s.SlowStart <= 0 || s.SlowStart >= 1 {
		return false
	}
	return random.Float32() >= s.SlowStart
}
