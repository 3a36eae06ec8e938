package serverview

import (
	"slices"
	"sync/atomic"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/upstream"
)

// Requirements is what a request needs of a back end.
type Requirements struct {
	// Model is the model's name without an adapter; empty for services.
	Model string
	// Adapter must be loaded too; empty for none.
	Adapter string
	// Service is the service's name; empty for models.
	Service string
	// PromptTokens estimates the length of the prompt.
	PromptTokens int
	// Prefixes are prefixes of the prompt, longest first.
	Prefixes []routing.Prefix
	// AffinityKey names the conversation or document of the prompt; zero for
	// none.
	AffinityKey uint64
	// Streamed tells that FirstToken will be called as soon as the first token
	// arrives.
	Streamed bool
}

// Choice is a back end chosen for one attempt. The request counts as sent to it
// until Ended is called.
type Choice struct {
	// Target is the back end.
	Target upstream.Target
	// Version is the version that answers, as "model@version".
	Version string
	// Wait estimates the time until the first token.
	Wait time.Duration
	// Attempt names the attempt in FirstToken, Tokens and Ended.
	Attempt Attempt
}

// Attempt names one attempt of an online request at a server.
type Attempt struct {
	ticket uint64
	// promptTokens is the part of the prompt that the server probably has to
	// compute, as it was counted as sent.
	promptTokens int
	// awaited tells that the server's silence counts while the first token does
	// not come.
	awaited bool
	// sentAt is when the back end was chosen.
	sentAt time.Duration
	// leader is the ticket whose tokens the server's pace is taken from.
	leader *atomic.Uint64
}

// Leads tells whether the tokens of the attempt are wanted now. It takes no
// lock.
func (a Attempt) Leads() bool {
	return a.leader != nil && a.leader.Load() == a.ticket
}

// Estimate tells how long a request would wait for its first token now, and
// whether any back end may take it.
func (v *View) Estimate(wanted Requirements) (time.Duration, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	decision, ok := v.decide(wanted, nil, v.now())
	return decision.Wait, ok
}

// Choose picks the back end of an online request and counts it as sent.
func (v *View) Choose(wanted Requirements, tried []string) (Choice, error) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	decision, ok := v.decide(wanted, tried, now)
	if !ok {
		return Choice{}, noBackEnd(wanted)
	}
	e := v.entries[decision.Server]
	promptTokens := max(1, wanted.PromptTokens-int(decision.CachedTokens))
	v.routing.RecordSent(decision.Server, promptTokens, false)
	e.history.sent.add(now)
	if wanted.Streamed {
		v.tracker.Sent(e.slot, decision.Wait, now)
	}
	v.tickets++
	defer v.changed(e)
	e.batch.pace.Sent(v.tickets, promptTokens, now)
	for _, prefix := range wanted.Prefixes {
		v.prefixes.Add(prefix.Block, int32(e.slot))
	}
	return Choice{
		Target:  upstream.Target{Name: e.name, Address: e.address},
		Version: v.names.Name(decision.Version),
		Wait:    decision.Wait,
		Attempt: Attempt{ticket: v.tickets, promptTokens: promptTokens, awaited: wanted.Streamed, sentAt: now, leader: &e.batch.leader},
	}, nil
}

// noBackEndRetryAfter is the advice to callers while no server may take work.
const noBackEndRetryAfter = time.Second

func noBackEnd(wanted Requirements) error {
	name := wanted.Model
	if name == "" {
		name = wanted.Service
	}
	return fault.Newf(fault.Unavailable, "send the request again later",
		"no back end that serves %q can take the request now", name).
		WithRan(fault.NotRun).WithRetryAfter(noBackEndRetryAfter)
}

// decide asks routing, with the servers tried before left out.
func (v *View) decide(wanted Requirements, tried []string, now time.Duration) (routing.Decision, bool) {
	request, ok := v.request(wanted)
	if !ok {
		return routing.Decision{}, false
	}
	var hidden []int
	for _, name := range tried {
		e := v.byName[name]
		if e != nil && !v.routing.Servers[e.index].Leaving {
			v.routing.Servers[e.index].Leaving = true
			hidden = append(hidden, e.index)
		}
	}
	decision, ok := v.route(wanted, &request, now)
	for _, index := range hidden {
		v.routing.Servers[index].Leaving = false
	}
	return decision, ok
}

// route chooses among the servers: of models by what this gateway knows itself,
// of services by sampling. It names the policies, so that nothing is allocated.
func (v *View) route(wanted Requirements, request *routing.Request, now time.Duration) (routing.Decision, bool) {
	if wanted.Service != "" {
		return routing.Default.Choose(&v.routing, request, now, v.random)
	}
	return v.ownedFirst.Choose(&v.routing, request, now, v.random)
}

func (v *View) request(wanted Requirements) (routing.Request, bool) {
	key := modelKey(wanted.Model)
	if wanted.Service != "" {
		key = serviceKey(wanted.Service)
	}
	known, ok := v.models[key]
	if !ok || len(known.versions) == 0 {
		return routing.Request{}, false
	}
	request := routing.Request{
		Versions: known.versions, Adapter: routing.NoName, PromptTokens: int32(wanted.PromptTokens),
		AffinityKey: wanted.AffinityKey,
	}
	if wanted.Adapter != "" {
		if request.Adapter, ok = known.adapters[wanted.Adapter]; !ok {
			return routing.Request{}, false
		}
	}
	request.Hints = v.hintsFor(wanted)
	return request, true
}

// RecordFirstToken tells that the first token of an attempt came, or that none will.
// Streamed tells that Tokens will be called for the rest of the answer.
func (v *View) RecordFirstToken(target upstream.Target, attempt Attempt, streamed, came bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if e := v.byName[target.Name]; e != nil {
		v.routing.RecordFirstToken(e.index, attempt.promptTokens)
		if attempt.awaited {
			v.tracker.FirstToken(e.slot, came, v.now())
		}
		e.batch.pace.FirstToken(attempt.ticket, streamed, v.now())
		if streamed && came && e.kind == rockwindpb.BackEndKind_BACK_END_KIND_ENGINE {
			v.tail.FirstToken(v.now() - attempt.sentAt)
		}
		v.changed(e)
		e.batch.publishLeader()
	}
}

// RecordTokens tells that so many more tokens of a streamed answer arrived.
func (v *View) RecordTokens(target upstream.Target, attempt Attempt, count int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if e := v.byName[target.Name]; e != nil {
		e.batch.pace.Token(attempt.ticket, count, v.target().PerToken, e.batch.batchPart(), v.now())
	}
}

// RecordEnded counts an online request down and hands the evidence to the owner.
// FirstToken must have been called before, also when none came.
func (v *View) RecordEnded(target upstream.Target, attempt Attempt, report upstream.Report) {
	v.mutex.Lock()
	if e := v.byName[target.Name]; e != nil {
		if mean, known := e.batch.pace.Ended(attempt.ticket, v.routing.Cost.StepBase, v.now()); known {
			v.tail.PerToken(mean)
		}
		v.changed(e)
		e.batch.publishLeader()
		v.routing.RecordEnded(e.index, false)
		e.history.ended.add(v.now())
	}
	v.mutex.Unlock()
	v.note(target, report)
}

// AvailableModels tells which of the models can be answered by some server now.
func (v *View) AvailableModels(names []string) []string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		_, ok := v.decide(Requirements{Model: name}, nil, v.now())
		return !ok
	})
}
