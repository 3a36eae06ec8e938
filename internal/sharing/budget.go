package sharing

import "time"

// Objective is what the budget policy favours.
type Objective uint8

const (
	// Throughput favours batch throughput.
	Throughput Objective = iota
	// Latency favours the online latency tail.
	Latency
)

func (o Objective) String() string {
	if o == Latency {
		return "latency"
	}
	return "throughput"
}

// ServerState is the state of a server as known to the gateway that sends it batch items. Only one
// gateway of the zone does so, and its count of batch items is exact.
type ServerState struct {
	// Online counts the online requests on the server: the reported ones, corrected by those that
	// this gateway sent or saw end since the report.
	Online float64
	// Tracker tracks the online requests that this gateway knows of; nil if there are none.
	Tracker *OnlineTracker
	// Target is the online latency to keep.
	Target Target
	// BatchRunning counts the batch items in flight on the server.
	BatchRunning int
	// KVUsed is the fraction of the KV cache in use, between 0 and 1.
	KVUsed float64
	// ReportAge is the age of the newest report.
	ReportAge time.Duration
}

// BudgetPolicy holds the parameters of the budget of a server.
type BudgetPolicy struct {
	// StepBase, PerSequence and PerPromptToken model the duration of a step, as in routing.
	StepBase       time.Duration
	PerSequence    time.Duration
	PerPromptToken time.Duration
	// PerItem is how much one batch item adds to a step on average, including the prefill of the
	// items that follow it.
	PerItem time.Duration
	// PromptChunk is the maximum number of prompt tokens in a step.
	PromptChunk int
	// PromptWeight is the fraction of the prompts of the next step that counts against the target
	// per token. The rest is compensated in later steps.
	PromptWeight float64
	// PromptForecast is the factor by which the recent prompt load is extrapolated.
	PromptForecast float64
	// CatchUpSteps is the number of steps in which lagging answers catch up.
	CatchUpSteps int
	// FirstTokenFraction and PerTokenFraction are the fractions of the targets that steps with
	// batch may use.
	FirstTokenFraction float64
	PerTokenFraction   float64
	// MaximumItems bounds the batch items on a server.
	MaximumItems int
	// TokensPerStep bounds the batch tokens, including prompts, in a step with online requests.
	TokensPerStep int
	// KVLimit is the used fraction of the KV cache above which no more batch items are started, and
	// KVPauseLimit the one above which batch items are paused.
	KVLimit      float64
	KVPauseLimit float64
	// StaleAfter is the age of a report above which the server gets a minimal budget.
	StaleAfter time.Duration
}

func DefaultBudgetPolicy(objective Objective) BudgetPolicy {
	policy := BudgetPolicy{
		StepBase:           12 * time.Millisecond,
		PerSequence:        136 * time.Microsecond,
		PerPromptToken:     30 * time.Microsecond,
		PerItem:            200 * time.Microsecond,
		PromptChunk:        512,
		PromptWeight:       0.3,
		PromptForecast:     3,
		CatchUpSteps:       4,
		FirstTokenFraction: 0.95,
		PerTokenFraction:   0.97,
		MaximumItems:       64,
		TokensPerStep:      200,
		KVLimit:            0.9,
		KVPauseLimit:       0.97,
		StaleAfter:         3 * time.Second,
	}
	if objective == Latency {
		policy.PerTokenFraction = 0.82
	}
	return policy
}

// Budget is what batch may use of one server.
type Budget struct {
	// Items is the maximum number of concurrent batch items.
	Items int
	// TokensPerStep is sent in X-Batch-Token-Budget: the maximum number of batch tokens in a step
	// with online requests.
	TokensPerStep int
}

// maximumPromptFraction keeps the step model finite on an overloaded server.
const maximumPromptFraction = 0.9

// staleItems is the budget of a server whose report is stale.
const staleItems = 1

// BatchBudget returns the current batch budget of a server.
func BatchBudget(state ServerState, policy BudgetPolicy, now time.Duration) Budget {
	if policy.StaleAfter > 0 && state.ReportAge > policy.StaleAfter {
		// The token bound is sent with an item and applies to all batch on the engine until the
		// item ends, so it must not be reduced here.
		return Budget{Items: staleItems, TokensPerStep: policy.TokensPerStep}
	}
	items := min(policy.spareItems(state, now), policy.MaximumItems-int(state.Online))
	if state.KVUsed >= policy.KVLimit {
		items = min(items, state.BatchRunning)
	}
	return Budget{Items: max(0, items), TokensPerStep: policy.TokensPerStep}
}

// spareItems returns how many batch items fit into a step beside the online requests without making
// one of them miss its target.
func (p BudgetPolicy) spareItems(state ServerState, now time.Duration) int {
	if state.Online < 1 && (state.Tracker == nil || state.Tracker.Prompts() == 0) {
		return p.MaximumItems
	}
	decoding := state.Online
	chunk := 0
	lag := time.Duration(0)
	if state.Tracker != nil {
		waiting := state.Tracker.Prompts()
		decoding = max(float64(state.Tracker.Decoding()), state.Online-float64(waiting))
		chunk = min(p.PromptChunk, state.Tracker.PromptTokens())
		lag = state.Tracker.MaximumLag()
	}
	online := p.StepBase + time.Duration(decoding*float64(p.PerSequence))
	withPrompts := online + scale(time.Duration(chunk)*p.PerPromptToken, p.PromptWeight)
	limit := scale(state.Target.PerToken, p.PerTokenFraction) - lag/time.Duration(max(1, p.CatchUpSteps))
	spare := limit - withPrompts
	if state.Tracker != nil {
		full := online + time.Duration(p.PromptChunk)*p.PerPromptToken
		promptFraction := min(maximumPromptFraction, p.PromptForecast*state.Tracker.PromptLoad(p.PerPromptToken, now))
		spare = min(spare, scale(limit, 1-promptFraction)-online)
		target := scale(state.Target.FirstToken, p.FirstTokenFraction)
		if stepLimit, found := state.Tracker.LongestStepForPrompts(target, p.PromptChunk, full, now); found {
			spare = min(spare, stepLimit-full)
		}
	}
	return max(0, int(spare/max(1, p.PerItem)))
}

func scale(value time.Duration, factor float64) time.Duration {
	return time.Duration(float64(value) * factor)
}

// ItemsToPause returns how many batch items must be paused on a server now.
func ItemsToPause(state ServerState, policy BudgetPolicy, now time.Duration) int {
	budget := BatchBudget(state, policy, now)
	over := max(0, state.BatchRunning-budget.Items)
	if state.KVUsed >= policy.KVPauseLimit {
		return max(over, (state.BatchRunning+1)/2)
	}
	return over
}
