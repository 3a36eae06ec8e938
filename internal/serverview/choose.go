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

// Requirements describes what a request needs of a server.
type Requirements struct {
	// Model is the model's name without an adapter; empty for services.
	Model string
	// Adapter must also be loaded; empty for none.
	Adapter string
	// Service is the service's name; empty for models.
	Service string
	// PromptTokens is the estimated prompt length.
	PromptTokens int
	// Prefixes lists prefixes of the prompt, longest first.
	Prefixes []routing.Prefix
	// AffinityKey identifies the conversation or document of the prompt; zero
	// for none.
	AffinityKey uint64
	// Streamed means that RecordFirstToken will be called as soon as the first
	// token arrives.
	Streamed bool
}

// Choice is the server chosen for one attempt. The request counts as in flight
// until RecordEnd is called.
type Choice struct {
	Target upstream.Target
	// Version is the chosen version, as "model@version".
	Version string
	// Wait is the estimated time to the first token.
	Wait time.Duration
	// Attempt identifies the attempt in RecordFirstToken, RecordTokens and
	// RecordEnd.
	Attempt Attempt
}

// Attempt identifies one attempt of an online request.
type Attempt struct {
	id uint64
	// promptTokens is the number of prompt tokens recorded as sent: those that
	// the server probably doesn't cache.
	promptTokens int
	// awaited means that the health tracker monitors the delay of the first
	// token.
	awaited bool
	// sentAt is when the server was chosen.
	sentAt time.Duration
	// sampled holds the ID of the attempt on this server whose tokens are
	// sampled.
	sampled *atomic.Uint64
}

// IsSampled reports whether RecordTokens must be called for this attempt's
// tokens now. It takes no lock.
func (a Attempt) IsSampled() bool {
	return a.sampled != nil && a.sampled.Load() == a.id
}

// Estimate returns the estimated time to the first token of a request, and
// whether any server may take it.
func (v *View) Estimate(requirements Requirements) (time.Duration, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	decision, ok := v.decide(requirements, nil, v.now())
	return decision.Wait, ok
}

// Choose picks the server of an online request, except those already tried, and
// records the request as sent.
func (v *View) Choose(requirements Requirements, tried []string) (Choice, error) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	decision, ok := v.decide(requirements, tried, now)
	if !ok {
		return Choice{}, noBackEnd(requirements)
	}
	e := v.entries[decision.Server]
	promptTokens := max(1, requirements.PromptTokens-int(decision.CachedTokens))
	v.routing.RecordSent(decision.Server, promptTokens, false)
	e.history.sent.add(now)
	if requirements.Streamed {
		v.tracker.RecordSent(e.slot, decision.Wait, now)
	}
	v.lastAttemptID++
	defer v.notifyOnlineChanged(e)
	e.batch.online.RecordSent(v.lastAttemptID, promptTokens, now)
	for _, prefix := range requirements.Prefixes {
		v.prefixes.Add(prefix.Block, int32(e.slot))
	}
	return Choice{
		Target:  upstream.Target{Name: e.name, Address: e.address},
		Version: v.names.Name(decision.Version),
		Wait:    decision.Wait,
		Attempt: Attempt{id: v.lastAttemptID, promptTokens: promptTokens, awaited: requirements.Streamed, sentAt: now, sampled: &e.batch.sampled},
	}, nil
}

// noBackEndRetryAfter is the retry delay suggested to callers if no server can
// take a request.
const noBackEndRetryAfter = time.Second

func noBackEnd(requirements Requirements) error {
	name := requirements.Model
	if name == "" {
		name = requirements.Service
	}
	return fault.Newf(fault.Unavailable, "send the request again later",
		"no back end that serves %q can take the request now", name).
		WithRan(fault.NotRun).WithRetryAfter(noBackEndRetryAfter)
}

// decide picks a server, leaving out those already tried. The caller holds the
// lock.
func (v *View) decide(requirements Requirements, tried []string, now time.Duration) (routing.Decision, bool) {
	request, ok := v.request(requirements)
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
	decision, ok := v.route(requirements, &request, now)
	for _, index := range hidden {
		v.routing.Servers[index].Leaving = false
	}
	return decision, ok
}

// route applies the OwnedFirst policy to models and the default policy to
// services. Calling the concrete types instead of a Policy avoids an
// allocation.
func (v *View) route(requirements Requirements, request *routing.Request, now time.Duration) (routing.Decision, bool) {
	if requirements.Service != "" {
		return routing.Default.Choose(&v.routing, request, now, v.random)
	}
	return v.ownedFirst.Choose(&v.routing, request, now, v.random)
}

func (v *View) request(requirements Requirements) (routing.Request, bool) {
	key := modelKey(requirements.Model)
	if requirements.Service != "" {
		key = serviceKey(requirements.Service)
	}
	known, ok := v.models[key]
	if !ok || len(known.versions) == 0 {
		return routing.Request{}, false
	}
	request := routing.Request{
		Versions: known.versions, Adapter: routing.NoName, PromptTokens: int32(requirements.PromptTokens),
		AffinityKey: requirements.AffinityKey,
	}
	if requirements.Adapter != "" {
		if request.Adapter, ok = known.adapters[requirements.Adapter]; !ok {
			return routing.Request{}, false
		}
	}
	request.Hints = v.hintsFor(requirements)
	return request, true
}

// RecordFirstToken records that the first token of an attempt arrived, or that
// none will if came is false. streamed means that RecordTokens will be called
// for the rest of the response.
func (v *View) RecordFirstToken(target upstream.Target, attempt Attempt, streamed, came bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if e := v.byName[target.Name]; e != nil {
		v.routing.RecordFirstToken(e.index, attempt.promptTokens)
		if attempt.awaited {
			v.tracker.RecordFirstToken(e.slot, came, v.now())
		}
		e.batch.online.RecordFirstToken(attempt.id, streamed, v.now())
		if streamed && came && e.kind == rockwindpb.BackEndKind_BACK_END_KIND_ENGINE {
			v.tail.RecordFirstToken(v.now() - attempt.sentAt)
		}
		v.notifyOnlineChanged(e)
		e.batch.publishSampled()
	}
}

// RecordTokens records that more tokens of a streamed response arrived. Only
// those of a sampled attempt are needed.
func (v *View) RecordTokens(target upstream.Target, attempt Attempt, count int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if e := v.byName[target.Name]; e != nil {
		e.batch.online.RecordTokens(attempt.id, count, v.latencyTarget().PerToken, e.batch.batchStepTime(), v.now())
	}
}

// RecordEnd records the end of an online request and reports its outcome to the
// owner goroutine. RecordFirstToken must have been called before, even if no
// token arrived.
func (v *View) RecordEnd(target upstream.Target, attempt Attempt, report upstream.Report) {
	v.mutex.Lock()
	if e := v.byName[target.Name]; e != nil {
		if mean, known := e.batch.online.RecordEnd(attempt.id, v.routing.Cost.StepBase, v.now()); known {
			v.tail.RecordPerToken(mean)
		}
		v.notifyOnlineChanged(e)
		e.batch.publishSampled()
		v.routing.RecordEnd(e.index, false)
		e.history.ended.add(v.now())
	}
	v.mutex.Unlock()
	v.reportOutcome(target, report)
}

// AvailableModels returns those of the models that some server can serve now.
func (v *View) AvailableModels(names []string) []string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		_, ok := v.decide(Requirements{Model: name}, nil, v.now())
		return !ok
	})
}
