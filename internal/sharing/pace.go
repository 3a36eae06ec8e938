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

// DefaultTarget is the target without a configuration.
var DefaultTarget = Target{FirstToken: 500 * time.Millisecond, PerToken: 25 * time.Millisecond}

// Pace follows the online requests on one server: the prompts that wait to be
// processed, and how far answers lag behind the target for a token. The zero
// value follows none. One goroutine owns it.
type Pace struct {
	// prompts are the requests without a first token, oldest first.
	prompts []waitingPrompt
	// decoding are the requests with a first token, oldest first.
	decoding []uint64
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

// waitingPrompt is a request without a first token.
type waitingPrompt struct {
	id     uint64
	tokens int
	sentAt time.Duration
}

// Sent records a request that is dispatched now, with the prompt tokens that the
// server probably does not cache.
func (p *Pace) Sent(id uint64, promptTokens int, now time.Duration) {
	if len(p.prompts) == 0 {
		p.progressAt = now
	}
	p.promptLoad.add(float64(promptTokens), now)
	p.prompts = append(p.prompts, waitingPrompt{id: id, tokens: promptTokens, sentAt: now})
}

// FirstToken records the first token of a request. measured tells whether its
// later tokens will be recorded.
func (p *Pace) FirstToken(id uint64, measured bool, now time.Duration) {
	p.drop(id, now)
	if !measured {
		return
	}
	p.decoding = append(p.decoding, id)
	if !p.measuring {
		p.follow(id, now)
	}
}

func (p *Pace) follow(id uint64, now time.Duration) {
	p.leader, p.lastToken, p.measuring = id, now, true
}

func (p *Pace) drop(id uint64, now time.Duration) {
	index := slices.IndexFunc(p.prompts, func(prompt waitingPrompt) bool { return prompt.id == id })
	if index < 0 {
		return
	}
	p.prompts = slices.Delete(p.prompts, index, index+1)
	p.progressAt = now
}

// Leads tells whether the tokens of a request are wanted.
func (p *Pace) Leads(id uint64) bool {
	return p.measuring && p.leader == id
}

// Leader is the request whose tokens are wanted; zero for none.
func (p *Pace) Leader() uint64 {
	if !p.measuring {
		return 0
	}
	return p.leader
}

// Token records that the leader received tokens, while answers should take
// perToken for each.
func (p *Pace) Token(id uint64, tokens int, perToken, now time.Duration) {
	if !p.Leads(id) {
		return
	}
	p.debt = max(0, p.debt+now-p.lastToken-time.Duration(tokens)*perToken)
	p.lastToken = now
}

// Ended records the end of a request.
func (p *Pace) Ended(id uint64, now time.Duration) {
	p.drop(id, now)
	if index := slices.Index(p.decoding, id); index >= 0 {
		p.decoding = slices.Delete(p.decoding, index, index+1)
	}
	if !p.Leads(id) {
		return
	}
	p.measuring = false
	if len(p.decoding) > 0 {
		p.follow(p.decoding[0], now)
		return
	}
	p.debt = 0
}

// Debt is the largest time by which an answer that ends now would lag behind
// the target.
func (p *Pace) Debt() time.Duration {
	return p.debt
}

// Decoding is the number of measured requests past their first token.
func (p *Pace) Decoding() int {
	return len(p.decoding)
}

// Prompts is the number of requests without a first token.
func (p *Pace) Prompts() int {
	return len(p.prompts)
}

// PromptPart is the part of the server's time that prompts took lately; it
// exceeds 1 where prompts arrive faster than they are processed.
func (p *Pace) PromptPart(perToken, now time.Duration) float64 {
	return p.promptLoad.value(now) * float64(perToken) / float64(loadMemory)
}

// PromptTokens sums the prompts that wait to be processed.
func (p *Pace) PromptTokens() int {
	sum := 0
	for _, prompt := range p.prompts {
		sum += prompt.tokens
	}
	return sum
}

// StepForPrompts is the longest step with which every waiting request gets its
// first token within the target, and false where none waits. It is short or
// negative where a request is late already. chunk is the prompt tokens of a step
// and step an estimate of a step's length.
func (p *Pace) StepForPrompts(target time.Duration, chunk int, step, now time.Duration) (time.Duration, bool) {
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
