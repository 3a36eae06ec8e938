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

// ServerState is what the gateway that feeds batch to a server knows of it. One
// gateway of the zone feeds a server, so that its count of batch items is exact.
type ServerState struct {
	// OnlineRunning and OnlineWaiting count online requests, reported and
	// corrected by what this gateway sent and saw ending since.
	OnlineRunning float64
	OnlineWaiting float64
	// OnlinePeak is the number of online requests that a burst brings to the
	// server at a time, from Peak.
	OnlinePeak float64
	// PrefillPart is the part of the server's time that online prompts take now,
	// from PrefillLoad.
	PrefillPart float64
	// BatchRunning counts batch items in flight on the server.
	BatchRunning int
	// KVUsed is the part of KV memory in use, between 0 and 1.
	KVUsed float64
	// Step is the measured duration of a step.
	Step time.Duration
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
	// StepTarget bounds the mean step of a server with online requests.
	StepTarget time.Duration
	// Headroom is the number of online requests that may arrive before batch can
	// yield.
	Headroom float64
	// MaximumItems bounds batch items on a server.
	MaximumItems int
	// TokensPerStep bounds batch tokens, prompts included, in a step that also
	// holds online requests.
	TokensPerStep int
	// KVLimit is the part of KV memory above which no more batch is started,
	// and KVYield the part above which batch yields.
	KVLimit float64
	KVYield float64
	// StaleAfter is the age of a report from which only a small budget is given.
	StaleAfter time.Duration
}

// DefaultBudgetPolicy returns the policy of an objective.
func DefaultBudgetPolicy(objective Objective) BudgetPolicy {
	policy := BudgetPolicy{
		StepBase:       12 * time.Millisecond,
		PerSequence:    140 * time.Microsecond,
		PerPromptToken: 30 * time.Microsecond,
		PerItem:        200 * time.Microsecond,
		StepTarget:     25 * time.Millisecond,
		Headroom:       1,
		MaximumItems:   64,
		TokensPerStep:  160,
		KVLimit:        0.9,
		KVYield:        0.97,
		StaleAfter:     3 * time.Second,
	}
	if objective == Latency {
		policy.StepTarget = 20 * time.Millisecond
		policy.Headroom = 2
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

// staleItems is the budget of a server whose report is too old to trust.
const staleItems = 1

// maximumPrefillPart keeps the model of a step finite on an overloaded server.
const maximumPrefillPart = 0.9

// BatchBudget returns what batch may use of a server now.
func BatchBudget(state ServerState, policy BudgetPolicy) Budget {
	if policy.StaleAfter > 0 && state.ReportAge > policy.StaleAfter {
		return Budget{Items: staleItems, TokensPerStep: 1}
	}
	items := min(policy.spareItems(state), policy.MaximumItems)
	if state.KVUsed >= policy.KVLimit {
		items = min(items, state.BatchRunning)
	}
	return Budget{Items: items, TokensPerStep: policy.TokensPerStep}
}

// spareItems is how many batch items fit beside the online requests so that the
// mean step stays at the target. Prompts of online requests take a part of the
// time, which stretches the steps of all others; what is left of the target is
// shared by decoding.
func (p BudgetPolicy) spareItems(state ServerState) int {
	waiting := state.OnlineRunning + state.OnlineWaiting
	if waiting <= 0 {
		return p.MaximumItems
	}
	left := 1 - min(max(state.PrefillPart, 0), maximumPrefillPart)
	online := (waiting + p.Headroom) * float64(p.PerSequence)
	spare := float64(p.StepTarget)*left - float64(p.StepBase) - online
	return max(0, int(spare/float64(max(1, p.PerItem))))
}

// ShouldYield returns how many batch items must be paused on a server now.
func ShouldYield(state ServerState, policy BudgetPolicy) int {
	budget := BatchBudget(state, policy)
	over := max(0, state.BatchRunning-budget.Items)
	if state.KVUsed >= policy.KVYield {
		return max(over, (state.BatchRunning+1)/2)
	}
	return over
}
