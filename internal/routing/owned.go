package routing

import (
	"math/rand/v2"
	"time"
)

// OwnedMargin is the OwnedFirst.Margin that gateways use.
const OwnedMargin = 5 * time.Millisecond

// OwnedFirst picks the server of the local zone with the shortest estimated
// wait behind online requests. Servers to which this gateway assigns batch work
// are preferred by a margin: the gateway knows nearly all of their requests
// without delay, so its estimates are accurate there. Batch requests are not
// counted, since online requests preempt them. If the local zone is slow, it
// falls back to PowerOfChoices, which considers other zones. It must not be
// shared between gateways.
type OwnedFirst struct {
	// Owned lists the servers to which this gateway assigns batch work, all in
	// the local zone.
	Owned []int32
	// Others lists the other servers of the local zone.
	Others []int32
	// Margin is added to the estimate of servers that are not owned.
	Margin time.Duration
	// Backlog returns the number of online prompt tokens that this gateway
	// knows to be waiting on a server.
	Backlog func(server int) int
	// Fallback is used if the wait in the local zone exceeds its
	// SpilloverThreshold.
	Fallback PowerOfChoices
}

// Choose implements Policy.
func (p *OwnedFirst) Choose(view *View, request *Request, now time.Duration, random *rand.Rand) (Decision, bool) {
	version, found := drawVersion(request.Versions, random)
	if !found {
		return Decision{}, false
	}
	chosen := candidate{health: Ejected}
	p.considerAffinityServers(view, request, version, &chosen)
	for _, index := range p.Owned {
		p.considerServer(view, index, 0, request, version, random, &chosen)
	}
	if chosen.health != Healthy || chosen.score > p.minOtherScore(view, request) {
		for _, index := range p.Others {
			p.considerServer(view, index, p.Margin, request, version, random, &chosen)
		}
	}
	if chosen.health != Healthy || chosen.wait > p.Fallback.SpilloverThreshold {
		other, found := p.Fallback.Choose(view, request, now, random)
		if found && (!chosen.found() || other.Wait < chosen.wait) {
			return other, true
		}
	}
	return Decision{Server: int(chosen.server), Version: version, Wait: chosen.wait, Hinted: chosen.hinted, CachedTokens: chosen.cached}, chosen.found()
}

// minOtherScore is the score of an idle server that is not owned and caches
// none of the prompt.
func (p *OwnedFirst) minOtherScore(view *View, request *Request) time.Duration {
	return p.Margin + view.Cost.StepBase + time.Duration(request.PromptTokens)*view.Cost.PerPromptToken
}

// considerAffinityServers considers the affinity servers of the request's key
// and the hinted servers, in any zone.
func (p *OwnedFirst) considerAffinityServers(view *View, request *Request, version NameID, chosen *candidate) {
	for _, hint := range request.Hints[:min(len(request.Hints), MaxHints)] {
		if hint.Server >= 0 && int(hint.Server) < len(view.Servers) && hint.Server+1 != request.Exclude {
			p.considerAffinityServer(view, hint.Server, request, version, 0, chosen)
		}
	}
	if request.AffinityKey == 0 || len(view.Zones) == 0 {
		return
	}
	from, to := view.affinityRange()
	first, second := view.affinityServers(from, to, request, version)
	prefill := time.Duration(request.PromptTokens) * view.Cost.PerPromptToken
	bonus := min(p.Fallback.AffinityBonus+prefill, p.Fallback.MaxAffinityBonus)
	p.considerAffinityServer(view, first, request, version, bonus, chosen)
	p.considerAffinityServer(view, second, request, version, bonus/2, chosen)
}

func (p *OwnedFirst) considerAffinityServer(view *View, index int32, request *Request, version NameID, bonus time.Duration, chosen *candidate) {
	if index < 0 || !view.Servers[index].Eligible(request, version) {
		return
	}
	server := &view.Servers[index]
	cached := cachedTokens(request, index)
	wait := p.estimateWait(view, server, index, int(request.PromptTokens)-cached)
	saved := time.Duration(cached) * view.Cost.PerPromptToken
	margin := p.Margin + max(0, saved-p.Fallback.MaxAffinityBonus) - bonus
	chosen.replaceIfBetter(candidate{server: index, health: server.Health, hinted: true, cached: int32(cached), wait: wait, score: wait + margin})
}

func (p *OwnedFirst) considerServer(view *View, index int32, margin time.Duration, request *Request, version NameID, random *rand.Rand, chosen *candidate) {
	server := &view.Servers[index]
	if index+1 == request.Exclude || !server.Eligible(request, version) || server.skippedInSlowStart(random) {
		return
	}
	cached := cachedTokens(request, index)
	wait := p.estimateWait(view, server, index, int(request.PromptTokens)-cached)
	chosen.replaceIfBetter(candidate{server: index, health: server.Health, hinted: cached > 0, cached: int32(cached), wait: wait, score: wait + margin})
}

// cachedTokens returns the length of the prompt prefix that a server caches
// according to the hints.
func cachedTokens(request *Request, server int32) int {
	for _, hint := range request.Hints[:min(len(request.Hints), MaxHints)] {
		if hint.Server == server {
			return int(min(hint.CachedTokens, request.PromptTokens))
		}
	}
	return 0
}

// estimateWait returns the estimated time to the first token, counting only
// online requests.
func (p *OwnedFirst) estimateWait(view *View, server *Server, index int32, promptTokens int) time.Duration {
	backlog := max(p.Backlog(int(index)), int(server.Report.Waiting*view.Cost.MeanPromptTokens))
	step := float32(view.Cost.StepBase) + server.OnlineRequests()*float32(view.Cost.PerSequence)
	prefill := time.Duration(backlog+promptTokens) * view.Cost.PerPromptToken
	network := view.Zones[server.Zone].ExtraRTT
	return network + (time.Duration(step)+prefill)/time.Duration(max(1, server.Accelerators))
}
