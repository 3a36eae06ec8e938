package routing

import (
	"math/rand/v2"
	"time"
)

// WeightedVersion is a version that may serve a request, with its traffic
// weight.
type WeightedVersion struct {
	Name   NameID
	Weight uint32
}

// Hint says that a server probably caches a prefix of the prompt. Cache
// information is delayed and incomplete, so a hint only ever lowers an
// estimate.
type Hint struct {
	// Server is an index into View.Servers.
	Server int32
	// CachedTokens is the length of the prompt prefix that the server probably
	// caches. Callers don't include it in the prompt tokens that they record as
	// sent.
	CachedTokens int32
}

// Request describes a request to be routed.
type Request struct {
	// Versions lists the versions that may serve the request; one is drawn by
	// weight.
	Versions []WeightedVersion
	// Adapter must also be loaded; NoName for none.
	Adapter NameID
	// PromptTokens is the estimated prompt length.
	PromptTokens int32
	// Hints lists servers that may cache a prefix of the prompt, best first.
	// Only the first MaxHints are considered.
	Hints []Hint
	// AffinityKey identifies the conversation or document of the prompt, so
	// that all gateways prefer the same servers for it; zero for none.
	AffinityKey uint64
	// Exclude is the index, plus one, of a server that already refused this
	// request; zero excludes none.
	Exclude int32
	// Batch marks a batch request, to which BatchPenalty does not apply.
	Batch bool
}

// Decision is the chosen server.
type Decision struct {
	// Server is an index in View.Servers.
	Server int
	// Version is the version drawn for the request.
	Version NameID
	// Wait is the estimated time to the first token, including the network.
	Wait time.Duration
	// Hinted is true if the server was chosen for its cache or affinity.
	Hinted bool
	// CachedTokens is the part of the prompt that the server probably caches.
	// Callers leave it out of the prompt tokens that they count as sent.
	CachedTokens int32
}

// Policy chooses a server for a request. Implementations keep no state other
// than their documented fields.
type Policy interface {
	Choose(view *View, request *Request, now time.Duration, random *rand.Rand) (Decision, bool)
}

// MaxHints is the number of hints considered per request.
const MaxHints = 4

// PowerOfChoices samples a few servers of the local zone, adds those with a
// hint or affinity, and picks the shortest estimated wait. It also samples
// other zones if the wait in the local zone reaches SpilloverThreshold.
type PowerOfChoices struct {
	// Choices is the number of servers sampled per zone; at least 1.
	Choices int
	// SpilloverThreshold is the estimated wait in the local zone from which
	// servers of other zones are considered.
	SpilloverThreshold time.Duration
	// MaxAffinityBonus limits how much a hint or affinity lowers an estimate,
	// so that a popular prefix does not overload one server.
	MaxAffinityBonus time.Duration
	// AffinityBonus is subtracted from the estimate of the first affinity
	// server of the request's AffinityKey, together with the prefill time of
	// the prompt and up to MaxAffinityBonus. The second affinity server gets
	// half of the total.
	AffinityBonus time.Duration
	// BatchPenalty is added to the estimate of an online request for each batch
	// request running on the server.
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

// Choose picks a server with the default policy. It returns false if no server
// may take the request: none has a version and the adapter loaded, or all that
// do are ejected, leaving or excluded.
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

// drawVersion draws a version at random by weight.
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
	chosen := candidate{health: Ejected}
	p.considerHints(view, request, version, now, &chosen)
	p.considerAffinityServers(view, request, version, now, &chosen)
	if len(view.Zones) > 0 {
		p.sampleZone(view, &view.Zones[0], request, version, now, random, &chosen)
	}
	p.sampleOtherZones(view, request, version, now, random, &chosen)
	if !chosen.found() {
		return Decision{}, false
	}
	return Decision{Server: int(chosen.server), Version: version, Wait: chosen.wait, Hinted: chosen.hinted, CachedTokens: chosen.cached}, true
}

// maxSpilloverZones limits how many other zones are sampled once a healthy
// server is known. They are drawn at random, because gateways that all picked
// the zone with the lowest reported load would overload it.
const maxSpilloverZones = 4

// sampleOtherZones samples the other zones, starting at a random one, if the
// wait in the local zone is too long. It continues through all of them until a
// healthy server is found.
func (p PowerOfChoices) sampleOtherZones(view *View, request *Request, version NameID, now time.Duration, random *rand.Rand, chosen *candidate) {
	others := len(view.Zones) - 1
	if others <= 0 || chosen.isAcceptable(p.SpilloverThreshold) {
		return
	}
	start := random.IntN(others)
	for step := range others {
		if step >= maxSpilloverZones && chosen.found() && chosen.health == Healthy {
			return
		}
		p.sampleZone(view, &view.Zones[1+(start+step)%others], request, version, now, random, chosen)
	}
}

// isAcceptable reports whether the candidate is healthy and its wait is below
// the limit.
func (c *candidate) isAcceptable(maxWait time.Duration) bool {
	return c.found() && c.health == Healthy && c.wait < maxWait
}

// candidate is a server under consideration. A healthy server beats a suspect
// one; among equals the lowest score wins. Health Ejected means that no server
// was found.
type candidate struct {
	server int32
	health Health
	hinted bool
	cached int32
	wait   time.Duration
	score  time.Duration
}

func (c *candidate) found() bool {
	return c.health != Ejected
}

func (c *candidate) replaceIfBetter(other candidate) {
	if other.health > c.health {
		return
	}
	if other.health == c.health && other.score >= c.score {
		return
	}
	*c = other
}

// Eligible reports whether the server may take a request with a version.
func (s *Server) Eligible(request *Request, version NameID) bool {
	return !s.Leaving && s.Health != Ejected && s.Loaded.Has(version) && s.Loaded.Has(request.Adapter)
}

func (p PowerOfChoices) considerHints(view *View, request *Request, version NameID, now time.Duration, chosen *candidate) {
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
		chosen.replaceIfBetter(candidate{server: hint.Server, health: server.Health, hinted: true, cached: cached, wait: max(0, wait-saved), score: score})
	}
}

// maxDrawsPerChoice limits the random draws per wanted server before the whole
// zone is scanned.
const maxDrawsPerChoice = 4

func (p PowerOfChoices) sampleZone(view *View, zone *Zone, request *Request, version NameID, now time.Duration, random *rand.Rand, chosen *candidate) {
	if zone.Count <= 0 {
		return
	}
	wanted := max(1, p.Choices)
	taken := 0
	healthy := false
	for try := 0; try < wanted*maxDrawsPerChoice && taken < wanted; try++ {
		index := zone.First + random.Int32N(zone.Count)
		server := &view.Servers[index]
		if index+1 == request.Exclude || !server.Eligible(request, version) || server.skippedInSlowStart(random) {
			continue
		}
		taken++
		healthy = healthy || server.Health == Healthy
		p.considerServer(view, index, request, now, chosen)
	}
	if !healthy {
		p.scanZone(view, zone, request, version, now, random, chosen)
	}
}

// scanZone considers every eligible server of a zone, starting at a random one.
// It runs only if sampling found no healthy server.
func (p PowerOfChoices) scanZone(view *View, zone *Zone, request *Request, version NameID, now time.Duration, random *rand.Rand, chosen *candidate) {
	start := random.Int32N(zone.Count)
	for step := int32(0); step < zone.Count; step++ {
		index := zone.First + (start+step)%zone.Count
		if index+1 == request.Exclude || !view.Servers[index].Eligible(request, version) {
			continue
		}
		p.considerServer(view, index, request, now, chosen)
	}
}

func (p PowerOfChoices) considerServer(view *View, index int32, request *Request, now time.Duration, chosen *candidate) {
	server := &view.Servers[index]
	wait := view.Estimate(server, request, now)
	chosen.replaceIfBetter(candidate{server: index, health: server.Health, wait: wait, score: p.score(server, request, wait)})
}

func (p PowerOfChoices) score(server *Server, request *Request, wait time.Duration) time.Duration {
	if request.Batch {
		return wait
	}
	batch := max(float32(server.OwnBatch), server.Report.RunningBatch)
	return wait + time.Duration(batch*float32(p.BatchPenalty))
}

// skippedInSlowStart reports, by a random draw, whether a server in slow start
// is left out of this choice.
func (s *Server) skippedInSlowStart(random *rand.Rand) bool {
	if s.SlowStart <= 0 || s.SlowStart >= 1 {
		return false
	}
	return random.Float32() >= s.SlowStart
}
