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
	// corrected by what this gateway sent since.
	OnlineRunning float64
	OnlineWaiting float64
	// OnlinePeak is the number of online requests that a burst brings to the
	// server at a time, from Peak.
	OnlinePeak float64
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
	// StepTarget bounds a step that holds online requests.
	StepTarget time.Duration
	// Headroom multiplies OnlinePeak to give the places kept free for a burst.
	Headroom float64
	// MaximumItems bounds batch items on a server.
	MaximumItems int
	// MaximumTokens bounds batch tokens in a step while no online request runs.
	MaximumTokens int
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
		StepBase:       10 * time.Millisecond,
		PerSequence:    100 * time.Microsecond,
		PerPromptToken: 25 * time.Microsecond,
		StepTarget:     25 * time.Millisecond,
		Headroom:       1,
		MaximumItems:   64,
		MaximumTokens:  2048,
		KVLimit:        0.85,
		KVYield:        0.93,
		StaleAfter:     3 * time.Second,
	}
	if objective == Latency {
		policy.StepTarget = 18 * time.Millisecond
		policy.Headroom = 1.5
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

// BatchBudget returns what batch may use of a server now.
func BatchBudget(state ServerState, policy BudgetPolicy) Budget {
	if policy.StaleAfter > 0 && state.ReportAge > policy.StaleAfter {
		return Budget{Items: staleItems, TokensPerStep: 1}
	}
	spare := policy.StepTarget - policy.StepBase - time.Duration((state.OnlineRunning+state.OnlineWaiting)*float64(policy.PerSequence))
	reserved := time.Duration(policy.Headroom * state.OnlinePeak * float64(policy.PerSequence))
	items := int((spare - reserved) / max(1, policy.PerSequence))
	items = min(max(items, 0), policy.MaximumItems)
	if state.KVUsed >= policy.KVLimit {
		items = min(items, state.BatchRunning)
	}
	tokens := int(spare / max(1, policy.PerPromptToken))
	return Budget{Items: items, TokensPerStep: min(max(tokens, 1), policy.MaximumTokens)}
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
