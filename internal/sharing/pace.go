package sharing

import (
	"math"
	"slices"
	"time"
)

// Target is the tail of online latency that batch may not lengthen.
type Target struct {
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// PerToken is the mean time of a token after the first.
	PerToken time.Duration
}

// DefaultTarget is the target before anything was measured.
var DefaultTarget = Target{FirstToken: 500 * time.Millisecond, PerToken: 25 * time.Millisecond}

// OnlineTracker follows the online requests on one server: the prompts that wait to be
// processed, and how far answers lag behind the target for a token. The zero
// value follows none. One goroutine owns it.
type OnlineTracker struct {
	// prompts are the requests without a first token, oldest first.
	prompts []waitingPrompt
	// decoding are the requests with a first token, oldest first.
	decoding []decodingAnswer
	// clock is the time that the steps would have taken without batch.
	clock aloneClock
	// leader is the request whose tokens measure the steps; lastToken is when
	// the newest one came.
	leader    uint64
	lastToken time.Duration
	measuring bool
	// debt is the largest time by which any answer that ends now would lag
	// behind the target.
	debt time.Duration
	// promptLoad is the sum of prompt tokens sent, decaying with time.
	promptLoad decaying
	// progressAt is when the processing of the oldest prompt began.
	progressAt time.Duration
}

// aloneClock adds up the leader's tokens, the time that they took, and the part
// of it that batch did not take.
type aloneClock struct {
	tokens int
	whole  time.Duration
	online time.Duration
}

// decodingAnswer is an answer past its first token; begin is the clock at that
// token.
type decodingAnswer struct {
	id    uint64
	begin aloneClock
}

// waitingPrompt is a request without a first token.
type waitingPrompt struct {
	id     uint64
	tokens int
	sentAt time.Duration
}

// RecordSent records a request that is dispatched now, with the prompt tokens that the
// server probably does not cache.
func (p *OnlineTracker) RecordSent(id uint64, promptTokens int, now time.Duration) {
	if len(p.prompts) == 0 {
		p.progressAt = now
	}
	p.promptLoad.add(float64(promptTokens), now)
	p.prompts = append(p.prompts, waitingPrompt{id: id, tokens: promptTokens, sentAt: now})
}

// RecordFirstToken records the first token of a request. measured tells whether its
// later tokens will be recorded.
func (p *OnlineTracker) RecordFirstToken(id uint64, measured bool, now time.Duration) {
	p.drop(id, now)
	if !measured {
		return
	}
	p.decoding = append(p.decoding, decodingAnswer{id: id, begin: p.clock})
	if !p.measuring {
		p.follow(id, now)
	}
}

func (p *OnlineTracker) follow(id uint64, now time.Duration) {
	p.leader, p.lastToken, p.measuring = id, now, true
}

func (p *OnlineTracker) drop(id uint64, now time.Duration) {
	index := slices.IndexFunc(p.prompts, func(prompt waitingPrompt) bool { return prompt.id == id })
	if index < 0 {
		return
	}
	p.prompts = slices.Delete(p.prompts, index, index+1)
	p.progressAt = now
}

// IsSampled tells whether the tokens of a request are wanted.
func (p *OnlineTracker) IsSampled(id uint64) bool {
	return p.measuring && p.leader == id
}

// SampledRequest is the request whose tokens are wanted; zero for none.
func (p *OnlineTracker) SampledRequest() uint64 {
	if !p.measuring {
		return 0
	}
	return p.leader
}

// RecordTokens records that the leader received tokens, while answers should take
// perToken for each. batch is the part of a step that batch took meanwhile.
func (p *OnlineTracker) RecordTokens(id uint64, tokens int, perToken, batch, now time.Duration) {
	if !p.IsSampled(id) {
		return
	}
	p.clock.tokens += tokens
	p.clock.whole += now - p.lastToken
	p.clock.online += max(0, now-p.lastToken-time.Duration(tokens)*batch)
	p.debt = max(0, p.debt+now-p.lastToken-time.Duration(tokens)*perToken)
	p.lastToken = now
}

// RecordEnd records the end of a request. It returns the mean time per token that
// the answer would have had without batch, and false where it is not known.
// stepBase is the length of an empty step.
func (p *OnlineTracker) RecordEnd(id uint64, stepBase, now time.Duration) (time.Duration, bool) {
	p.drop(id, now)
	mean, known := p.aloneMean(id, stepBase)
	p.decoding = slices.DeleteFunc(p.decoding, func(answer decodingAnswer) bool { return answer.id == id })
	if !p.IsSampled(id) {
		return mean, known
	}
	p.measuring = false
	if len(p.decoding) > 0 {
		p.follow(p.decoding[0].id, now)
		return mean, known
	}
	p.debt = 0
	return mean, known
}

// shortAnswer is the number of tokens from which an answer's mean counts.
const shortAnswer = 16

// aloneMean is the mean time per token that an answer would have had without
// batch. Longer steps hold more requests and prompts in proportion, so that the
// part of online beyond an empty step would have been shorter as well.
func (p *OnlineTracker) aloneMean(id uint64, stepBase time.Duration) (time.Duration, bool) {
	for _, answer := range p.decoding {
		tokens := p.clock.tokens - answer.begin.tokens
		if answer.id != id || tokens < shortAnswer {
			continue
		}
		whole := float64(p.clock.whole-answer.begin.whole) / float64(tokens)
		online := float64(p.clock.online-answer.begin.online) / float64(tokens)
		load := max(0, online-float64(stepBase)) / whole
		return time.Duration(min(whole, float64(stepBase)/(1-min(load, maximumPromptPart)))), true
	}
	return 0, false
}

// MaximumLag is the largest time by which an answer that ends now would lag behind
// the target.
func (p *OnlineTracker) MaximumLag() time.Duration {
	return p.debt
}

// Decoding is the number of measured requests past their first token.
func (p *OnlineTracker) Decoding() int {
	return len(p.decoding)
}

// Prompts is the number of requests without a first token.
func (p *OnlineTracker) Prompts() int {
	return len(p.prompts)
}

// PromptLoad is the part of the server's time that prompts took lately; it
// exceeds 1 where prompts arrive faster than they are processed.
func (p *OnlineTracker) PromptLoad(perToken, now time.Duration) float64 {
	return p.promptLoad.value(now) * float64(perToken) / float64(loadMemory)
}

// PromptTokens sums the prompts that wait to be processed.
func (p *OnlineTracker) PromptTokens() int {
	sum := 0
	for _, prompt := range p.prompts {
		sum += prompt.tokens
	}
	return sum
}

// LongestStepForPrompts is the longest step with which every waiting request gets its
// first token within the target, and false where none waits. It is short or
// negative where a request is late already. chunk is the prompt tokens of a step
// and step an estimate of a step's length.
func (p *OnlineTracker) LongestStepForPrompts(target time.Duration, chunk int, step, now time.Duration) (time.Duration, bool) {
	if len(p.prompts) == 0 {
		return 0, false
	}
	done := float64(now-p.progressAt) / float64(max(1, step)) * float64(chunk)
	ahead := -min(done, float64(p.prompts[0].tokens))
	least := time.Duration(1<<62 - 1)
	for _, prompt := range p.prompts {
		ahead += float64(prompt.tokens)
		steps := 1 + ahead/float64(chunk)
		left := target - (now - prompt.sentAt)
		least = min(least, time.Duration(float64(left)/steps))
	}
	return least, true
}

// loadMemory is the time constant of recent load.
const loadMemory = 700 * time.Millisecond

// decaying is a sum that decays exponentially with loadMemory.
type decaying struct {
	sum float64
	at  time.Duration
}

func (d *decaying) add(amount float64, now time.Duration) {
	d.sum = d.value(now) + amount
	d.at = now
}

func (d *decaying) value(now time.Duration) float64 {
	return d.sum * math.Exp(-float64(now-d.at)/float64(loadMemory))
}
