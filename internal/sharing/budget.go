package sharing

import "time"

// Objective is what a group weighs more heavily.
type Objective uint8

// The objectives.
const (
	// Throughput favours batch throughput.
	Throughput Objective = iota
	// Latency favours the online latency tail.
	Latency
)

// String returns the name of the objective.
func (o Objective) String() string {
	if o == Latency {
		return "latency"
	}
	return "throughput"
}

// ServerState is what the gateway that feeds batch to a server knows of it. One
// gateway of the zone feeds a server, so that its count of batch items is exact.
type ServerState struct {
	// Online counts the online requests on the server: reported ones corrected
	// by what this gateway sent and saw ending since.
	Online float64
	// Tracker follows the online requests that this gateway knows of; nil where it
	// knows of none.
	Tracker *OnlineTracker
	// Target is the tail of online latency to keep.
	Target Target
	// BatchRunning counts batch items in flight on the server.
	BatchRunning int
	// KVUsed is the part of KV memory in use, between 0 and 1.
	KVUsed float64
	// ReportAge is how old the newest report is.
	ReportAge time.Duration
}

// BudgetPolicy turns a server's state into a budget.
type BudgetPolicy struct {
	// StepBase, PerSequence and PerPromptToken model a step, as in routing.
	StepBase       time.Duration
	PerSequence    time.Duration
	PerPromptToken time.Duration
	// PerItem is what one batch item adds to a step on average, the prefill of
	// its successors included.
	PerItem time.Duration
	// PromptChunk is the largest number of prompt tokens in a step.
	PromptChunk int
	// PromptWeight is the part of the prompts of the next step that counts
	// against the target for a token; what does not count is made good later.
	PromptWeight float64
	// PromptForecast is how much of the recent load of prompts is expected to go
	// on.
	PromptForecast float64
	// CatchUpSteps is over how many steps answers that lag behind catch up.
	CatchUpSteps int
	// FirstTokenFraction and PerTokenPart are the parts of the target that batch may
	// fill.
	FirstTokenFraction float64
	PerTokenFraction   float64
	// MaximumItems bounds batch items on a server.
	MaximumItems int
	// TokensPerStep bounds batch tokens, prompts included, in a step that also
	// holds online requests.
	TokensPerStep int
	// KVLimit is the part of KV memory above which no more batch is started,
	// and KVYield the part above which batch yields.
	KVLimit      float64
	KVPauseLimit float64
	// StaleAfter is the age of a report from which only a small budget is given.
	StaleAfter time.Duration
}

// DefaultBudgetPolicy returns the policy of an objective.
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

// Budget is what batch may use of one server now.
type Budget struct {
	// Items is the number of batch items that may run at a time.
	Items int
	// TokensPerStep goes into X-Batch-Token-Budget: the largest number of batch
	// tokens in a step that also holds online requests.
	TokensPerStep int
}

// maximumPromptPart keeps the model of a step finite on an overloaded server.
const maximumPromptPart = 0.9

// staleItems is the budget of a server whose report is too old to trust.
const staleItems = 1

// BatchBudget returns what batch may use of a server now.
func BatchBudget(state ServerState, policy BudgetPolicy, now time.Duration) Budget {
	if policy.StaleAfter > 0 && state.ReportAge > policy.StaleAfter {
		// The bound on tokens goes with the item and holds for all batch on the
		// engine until it ends: it must not be the bound of this moment.
		return Budget{Items: staleItems, TokensPerStep: policy.TokensPerStep}
	}
	items := min(policy.spareItems(state, now), policy.MaximumItems-int(state.Online))
	if state.KVUsed >= policy.KVLimit {
		items = min(items, state.BatchRunning)
	}
	return Budget{Items: max(0, items), TokensPerStep: policy.TokensPerStep}
}

// spareItems is how many batch items fit into a step beside the online requests
// so that none of them misses the target on account of batch.
func (p BudgetPolicy) spareItems(state ServerState, now time.Duration) int {
	if state.Online < 1 && (state.Tracker == nil || state.Tracker.Prompts() == 0) {
		return p.MaximumItems
	}
	decoding := state.Online
	chunk := 0
	debt := time.Duration(0)
	if state.Tracker != nil {
		waiting := state.Tracker.Prompts()
		decoding = max(float64(state.Tracker.Decoding()), state.Online-float64(waiting))
		chunk = min(p.PromptChunk, state.Tracker.PromptTokens())
		debt = state.Tracker.MaximumLag()
	}
	online := p.StepBase + time.Duration(decoding*float64(p.PerSequence))
	withPrompts := online + scaled(time.Duration(chunk)*p.PerPromptToken, p.PromptWeight)
	limit := scaled(state.Target.PerToken, p.PerTokenFraction) - debt/time.Duration(max(1, p.CatchUpSteps))
	spare := limit - withPrompts
	if state.Tracker != nil {
		full := online + time.Duration(p.PromptChunk)*p.PerPromptToken
		part := min(maximumPromptPart, p.PromptForecast*state.Tracker.PromptLoad(p.PerPromptToken, now))
		spare = min(spare, scaled(limit, 1-part)-online)
		target := scaled(state.Target.FirstToken, p.FirstTokenFraction)
		if forPrompts, some := state.Tracker.LongestStepForPrompts(target, p.PromptChunk, full, now); some {
			spare = min(spare, forPrompts-full)
		}
	}
	return max(0, int(spare/max(1, p.PerItem)))
}

func scaled(value time.Duration, factor float64) time.Duration {
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
