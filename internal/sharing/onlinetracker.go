package sharing

import (
	"math"
	"slices"
	"time"
)

// Target is the online tail latency that batch must not exceed.
type Target struct {
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// PerToken is the mean time per token after the first.
	PerToken time.Duration
}

// DefaultTarget is the target without measurements.
var DefaultTarget = Target{FirstToken: 500 * time.Millisecond, PerToken: 25 * time.Millisecond}

// OnlineTracker tracks the online requests on one server: the prompts that wait to be processed,
// and how far answers lag behind the target per token. The zero value is ready to use. It is not
// safe for concurrent use.
type OnlineTracker struct {
	// prompts are the requests without a first token, oldest first.
	prompts []waitingPrompt
	// decoding are the requests with a first token, oldest first.
	decoding []decodingRequest
	// clock measures the steps with and without batch.
	clock batchFreeClock
	// sampled is the request whose tokens measure the steps, and lastToken the time of its newest
	// token.
	sampled   uint64
	lastToken time.Duration
	sampling  bool
	// maximumLag is the longest time by which an answer that ends now could lag behind the target.
	maximumLag time.Duration
	// promptLoad is the decaying sum of the prompt tokens sent.
	promptLoad decayingSum
	// promptStartedAt is when the processing of the oldest prompt began.
	promptStartedAt time.Duration
}

// batchFreeClock sums up the tokens of the sampled requests, the time that they took, and the part
// of it that batch did not take.
type batchFreeClock struct {
	tokens       int
	elapsed      time.Duration
	withoutBatch time.Duration
}

// decodingRequest is a request past its first token; begin is the clock at that token.
type decodingRequest struct {
	id    uint64
	begin batchFreeClock
}

// waitingPrompt is a request without a first token.
type waitingPrompt struct {
	id     uint64
	tokens int
	sentAt time.Duration
}

// RecordSent records a request that is sent now, with the number of prompt tokens that the server
// probably has not cached.
func (t *OnlineTracker) RecordSent(id uint64, promptTokens int, now time.Duration) {
	if len(t.prompts) == 0 {
		t.promptStartedAt = now
	}
	t.promptLoad.add(float64(promptTokens), now)
	t.prompts = append(t.prompts, waitingPrompt{id: id, tokens: promptTokens, sentAt: now})
}

// RecordFirstToken records the first token of a request. measured is whether its later tokens will
// be recorded.
func (t *OnlineTracker) RecordFirstToken(id uint64, measured bool, now time.Duration) {
	t.removePrompt(id, now)
	if !measured {
		return
	}
	t.decoding = append(t.decoding, decodingRequest{id: id, begin: t.clock})
	if !t.sampling {
		t.sample(id, now)
	}
}

func (t *OnlineTracker) sample(id uint64, now time.Duration) {
	t.sampled, t.lastToken, t.sampling = id, now, true
}

func (t *OnlineTracker) removePrompt(id uint64, now time.Duration) {
	index := slices.IndexFunc(t.prompts, func(prompt waitingPrompt) bool { return prompt.id == id })
	if index < 0 {
		return
	}
	t.prompts = slices.Delete(t.prompts, index, index+1)
	t.promptStartedAt = now
}

// IsSampled reports whether the tokens of a request must be recorded.
func (t *OnlineTracker) IsSampled(id uint64) bool {
	return t.sampling && t.sampled == id
}

// SampledRequest returns the request whose tokens must be recorded; zero if none.
func (t *OnlineTracker) SampledRequest() uint64 {
	if !t.sampling {
		return 0
	}
	return t.sampled
}

// RecordTokens records tokens of the sampled request. perToken is the target time per token, and
// batch the time of batch work in a step.
func (t *OnlineTracker) RecordTokens(id uint64, tokens int, perToken, batch, now time.Duration) {
	if !t.IsSampled(id) {
		return
	}
	t.clock.tokens += tokens
	t.clock.elapsed += now - t.lastToken
	t.clock.withoutBatch += max(0, now-t.lastToken-time.Duration(tokens)*batch)
	t.maximumLag = max(0, t.maximumLag+now-t.lastToken-time.Duration(tokens)*perToken)
	t.lastToken = now
}

// RecordEnd records the end of a request. It returns the mean time per token that the answer would
// have had without batch, or false if it is not known. stepBase is the duration of an empty step.
func (t *OnlineTracker) RecordEnd(id uint64, stepBase, now time.Duration) (time.Duration, bool) {
	t.removePrompt(id, now)
	mean, known := t.meanWithoutBatch(id, stepBase)
	t.decoding = slices.DeleteFunc(t.decoding, func(request decodingRequest) bool { return request.id == id })
	if !t.IsSampled(id) {
		return mean, known
	}
	t.sampling = false
	if len(t.decoding) > 0 {
		t.sample(t.decoding[0].id, now)
		return mean, known
	}
	t.maximumLag = 0
	return mean, known
}

// minimumTokens is the minimum number of tokens of an answer whose mean is used.
const minimumTokens = 16

// meanWithoutBatch returns the mean time per token that an answer would have had without batch.
// Longer steps contain proportionally more online requests and prompts, so the online time beyond
// an empty step would have been shorter, too.
func (t *OnlineTracker) meanWithoutBatch(id uint64, stepBase time.Duration) (time.Duration, bool) {
	for _, request := range t.decoding {
		tokens := t.clock.tokens - request.begin.tokens
		if request.id != id || tokens < minimumTokens {
			continue
		}
		elapsed := float64(t.clock.elapsed-request.begin.elapsed) / float64(tokens)
		withoutBatch := float64(t.clock.withoutBatch-request.begin.withoutBatch) / float64(tokens)
		load := max(0, withoutBatch-float64(stepBase)) / elapsed
		return time.Duration(min(elapsed, float64(stepBase)/(1-min(load, maximumPromptFraction)))), true
	}
	return 0, false
}

// MaximumLag returns the longest time by which an answer that ends now could lag behind the target.
func (t *OnlineTracker) MaximumLag() time.Duration {
	return t.maximumLag
}

// Decoding returns the number of measured requests past their first token.
func (t *OnlineTracker) Decoding() int {
	return len(t.decoding)
}

// Prompts returns the number of requests without a first token.
func (t *OnlineTracker) Prompts() int {
	return len(t.prompts)
}

// PromptLoad returns the recent prompt load as a fraction of the server's time. It exceeds 1 if
// prompts arrive faster than they are processed.
func (t *OnlineTracker) PromptLoad(perToken, now time.Duration) float64 {
	return t.promptLoad.value(now) * float64(perToken) / float64(loadTimeConstant)
}

// PromptTokens returns the total number of tokens of the waiting prompts.
func (t *OnlineTracker) PromptTokens() int {
	sum := 0
	for _, prompt := range t.prompts {
		sum += prompt.tokens
	}
	return sum
}

// LongestStepForPrompts returns the longest step duration with which all waiting requests get their
// first token within the target, or false if none waits. The result may be negative if a request is
// already late. chunk is the number of prompt tokens per step, and step an estimate of its
// duration.
func (t *OnlineTracker) LongestStepForPrompts(target time.Duration, chunk int, step, now time.Duration) (time.Duration, bool) {
	if len(t.prompts) == 0 {
		return 0, false
	}
	processed := float64(now-t.promptStartedAt) / float64(max(1, step)) * float64(chunk)
	ahead := -min(processed, float64(t.prompts[0].tokens))
	limit := time.Duration(1<<62 - 1)
	for _, prompt := range t.prompts {
		ahead += float64(prompt.tokens)
		steps := 1 + ahead/float64(chunk)
		remaining := target - (now - prompt.sentAt)
		limit = min(limit, time.Duration(float64(remaining)/steps))
	}
	return limit, true
}

// loadTimeConstant is the time constant of the prompt load.
const loadTimeConstant = 700 * time.Millisecond

// decayingSum is a sum that decays exponentially with loadTimeConstant.
type decayingSum struct {
	sum float64
	at  time.Duration
}

func (d *decayingSum) add(amount float64, now time.Duration) {
	d.sum = d.value(now) + amount
	d.at = now
}

func (d *decayingSum) value(now time.Duration) float64 {
	return d.sum * math.Exp(-float64(now-d.at)/float64(loadTimeConstant))
}
