package routing

import (
	"math/rand/v2"
	"time"
)

// OwnedMargin is the margin that gateways use.
const OwnedMargin = 5 * time.Millisecond

// OwnedFirst takes the server of the own zone with the least estimated wait
// behind online requests. Servers that this gateway feeds with batch work come
// before the others by a margin: of these it knows nearly every request at once,
// so that neither herds nor surprises come up there. Batch work does not count:
// it gives way. Where the own zone is slow it asks PowerOfChoices, which knows
// the other zones. One gateway owns an OwnedFirst.
type OwnedFirst struct {
	// Owned lists the servers that this gateway feeds, all of the own zone.
	Owned []int32
	// Others lists the other servers of the own zone.
	Others []int32
	// Margin is added to the estimate of servers that are not owned.
	Margin time.Duration
	// Backlog returns the online prompt tokens that this gateway knows to wait
	// on a server.
	Backlog func(server int) int
	// Fallback chooses where the wait in the own zone exceeds its SpillWait.
	Fallback PowerOfChoices
}

// Choose implements Policy.
func (p *OwnedFirst) Choose(view *View, request *Request, now time.Duration, random *rand.Rand) (Decision, bool) {
	version, found := drawVersion(request.Versions, random)
	if !found {
		return Decision{}, false
	}
	chosen := best{health: Ejected}
	p.considerHomes(view, request, version, &chosen)
	for _, index := range p.Owned {
		p.offer(view, index, 0, request, version, random, &chosen)
	}
	if chosen.health != Healthy || chosen.score > p.leastOther(view, request) {
		for _, index := range p.Others {
			p.offer(view, index, p.Margin, request, version, random, &chosen)
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

// leastOther is the score of an idle server that is not owned and caches none of
// the prompt.
func (p *OwnedFirst) leastOther(view *View, request *Request) time.Duration {
	return p.Margin + view.Cost.StepBase + time.Duration(request.PromptTokens)*view.Cost.PerPromptToken
}

// considerHomes offers the homes of the request's key and the servers that
// probably cache a prefix, wherever they are.
func (p *OwnedFirst) considerHomes(view *View, request *Request, version NameID, chosen *best) {
	for _, hint := range request.Hints[:min(len(request.Hints), MaxHints)] {
		if hint.Server >= 0 && int(hint.Server) < len(view.Servers) && hint.Server+1 != request.Exclude {
			p.offerHome(view, hint.Server, request, version, 0, chosen)
		}
	}
	if request.AffinityKey == 0 || len(view.Zones) == 0 {
		return
	}
	from, to := view.homeSet()
	first, second := view.homes(from, to, request, version)
	prefill := time.Duration(request.PromptTokens) * view.Cost.PerPromptToken
	bonus := min(p.Fallback.AffinityBonus+prefill, p.Fallback.MaxAffinityBonus)
	p.offerHome(view, first, request, version, bonus, chosen)
	p.offerHome(view, second, request, version, bonus/2, chosen)
}

func (p *OwnedFirst) offerHome(view *View, index int32, request *Request, version NameID, bonus time.Duration, chosen *best) {
	if index < 0 || !view.Servers[index].Eligible(request, version) {
		return
	}
	server := &view.Servers[index]
	cached := cachedTokens(request, index)
	wait := p.wait(view, server, index, int(request.PromptTokens)-cached)
	saved := time.Duration(cached) * view.Cost.PerPromptToken
	margin := p.Margin + max(0, saved-p.Fallback.MaxAffinityBonus) - bonus
	chosen.offer(best{server: index, health: server.Health, hinted: true, cached: int32(cached), wait: wait, score: wait + margin})
}

func (p *OwnedFirst) offer(view *View, index int32, margin time.Duration, request *Request, version NameID, random *rand.Rand, chosen *best) {
	server := &view.Servers[index]
	if index+1 == request.Exclude || !server.Eligible(request, version) || server.skippedInSlowStart(random) {
		return
	}
	cached := cachedTokens(request, index)
	wait := p.wait(view, server, index, int(request.PromptTokens)-cached)
	chosen.offer(best{server: index, health: server.Health, hinted: cached > 0, cached: int32(cached), wait: wait, score: wait + margin})
}

// cachedTokens is the length of the prefix that a hint says a server caches.
func cachedTokens(request *Request, server int32) int {
	for _, hint := range request.Hints[:min(len(request.Hints), MaxHints)] {
		if hint.Server == server {
			return int(min(hint.CachedTokens, request.PromptTokens))
		}
	}
	return 0
}

// wait estimates the time to the first token behind online requests alone.
func (p *OwnedFirst) wait(view *View, server *Server, index int32, promptTokens int) time.Duration {
	backlog := max(p.Backlog(int(index)), int(server.Report.Waiting*view.Cost.MeanPromptTokens))
	step := float32(view.Cost.StepBase) + server.OnlineRequests()*float32(view.Cost.PerSequence)
	prefill := time.Duration(backlog+promptTokens) * view.Cost.PerPromptToken
	network := view.Zones[server.Zone].ExtraRTT
	return network + (time.Duration(step)+prefill)/time.Duration(max(1, server.Accelerators))
}
