package simulator

import (
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/sharing"
)

// Policy is a way to share engines between online and batch.
type Policy struct {
	Name string
	// Online and Batch say which load takes part.
	Online bool
	Batch  bool
	// Routing makes the routing policy of one gateway; nil takes
	// routing.OwnedFirst, as gateways do.
	Routing func() routing.Policy
	// Budget decides what batch may use of a server.
	Budget BudgetFunction
	// PerItem is what one batch item adds to a step.
	PerItem time.Duration
	// BatchPriority is the engine priority of batch items.
	BatchPriority int
	// OnlineOnly and BatchOnly reserve engines, by their place in the zone; nil
	// reserves none.
	OnlineOnly func(place, count int) bool
	BatchOnly  func(place, count int) bool
	// ZeroLag gives every gateway reports of age zero at each decision.
	ZeroLag bool
	// NotifyOwners tells the owner of an engine at once of requests that other
	// gateways of the zone send there.
	NotifyOwners bool
	// OwnedMargin is the margin of routing.OwnedFirst.
	OwnedMargin time.Duration
}

// BudgetFunction returns the budget of a server and how many items must yield.
type BudgetFunction func(state sharing.ServerState, now time.Duration) (sharing.Budget, int)

// Rockwind is the policy that the gateways run.
func Rockwind(scenario *Scenario) Policy {
	return Policy{
		Name: "rockwind", Online: true, Batch: true,
		OwnedMargin:   routing.OwnedMargin,
		Budget:        budgetOf(budgetPolicy(scenario)),
		PerItem:       budgetPolicy(scenario).PerItem,
		BatchPriority: engine.PriorityBatch,
	}
}

// budgetPolicy is the policy of the scenario's objective with the step model of
// its engines.
func budgetPolicy(scenario *Scenario) sharing.BudgetPolicy {
	policy := sharing.DefaultBudgetPolicy(scenario.Objective)
	policy.StepBase = scenario.Engine.BaseStep
	policy.PerPromptToken = scenario.Engine.PerPrefillToken
	policy.MaximumItems = scenario.Engine.MaxSequences
	return policy
}

func budgetOf(policy sharing.BudgetPolicy) BudgetFunction {
	return func(state sharing.ServerState, now time.Duration) (sharing.Budget, int) {
		return sharing.BatchBudget(state, policy, now), sharing.ItemsToPause(state, policy, now)
	}
}

// RockwindWithTargetName is the name of the policy Told.
const RockwindWithTargetName = "rockwind_told"

// RockwindWithTarget is rockwind that need not estimate the tail of online alone: the scenario
// tells it.
func RockwindWithTarget(scenario *Scenario) Policy {
	policy := Rockwind(scenario)
	policy.Name = RockwindWithTargetName
	budget := budgetPolicy(scenario)
	budget.PerTokenFraction = 1
	policy.Budget = budgetOf(budget)
	return policy
}

// unbounded fills a server without regard to online.
func unbounded(scenario *Scenario) BudgetFunction {
	return func(sharing.ServerState, time.Duration) (sharing.Budget, int) {
		return sharing.Budget{Items: scenario.Engine.MaxSequences}, 0
	}
}

// OnlineAlone is the online load without any batch, routed as rockwind does.
func OnlineAlone(scenario *Scenario) Policy {
	policy := Rockwind(scenario)
	policy.Name = "online_alone"
	policy.Batch = false
	return policy
}

// BatchAlone is the batch load without any online request.
func BatchAlone(scenario *Scenario) Policy {
	policy := Rockwind(scenario)
	policy.Name = "batch_alone"
	policy.Online = false
	policy.Budget = unbounded(scenario)
	return policy
}

// RoundRobinFirstCome spreads online in turn and lets batch queue with it.
func RoundRobinFirstCome(scenario *Scenario) Policy {
	policy := Rockwind(scenario)
	policy.Name = "round_robin_first_come"
	policy.Routing = func() routing.Policy { return &routing.RoundRobin{} }
	policy.Budget = unbounded(scenario)
	policy.BatchPriority = engine.PriorityOnline
	return policy
}

// PriorityOnly relies on the engine's priorities without headroom or budget.
func PriorityOnly(scenario *Scenario) Policy {
	policy := Rockwind(scenario)
	policy.Name = "priority_only"
	policy.Budget = unbounded(scenario)
	return policy
}

// StaticSplit reserves a part of each zone's engines for batch and the rest for
// online.
func StaticSplit(scenario *Scenario, part float64, name string) Policy {
	policy := Rockwind(scenario)
	policy.Name = name
	policy.Budget = unbounded(scenario)
	forBatch := func(place, count int) bool { return float64(place) < part*float64(count) }
	policy.BatchOnly = forBatch
	policy.OnlineOnly = func(place, count int) bool { return !forBatch(place, count) }
	return policy
}

// OracleName is the name of the oracle.
const OracleName = "oracle"

// Oracle is rockwind without any lag: every gateway knows the state of every
// engine and every request at each moment. Tighten scales the tail that batch
// may fill, so that a search finds the most work within a bound on harm.
func Oracle(scenario *Scenario, tighten float64) Policy {
	policy := Rockwind(scenario)
	policy.Name = OracleName
	policy.ZeroLag = true
	policy.NotifyOwners = true
	budget := budgetPolicy(scenario)
	budget.PerTokenFraction = tighten
	policy.Budget = budgetOf(budget)
	return policy
}

// Baselines lists the policies that rockwind is compared with.
func Baselines(scenario *Scenario) []Policy {
	return []Policy{
		RoundRobinFirstCome(scenario),
		StaticSplit(scenario, 0.5, "static_split_half"),
		StaticSplit(scenario, 0.75, "static_split_three_quarters"),
		PriorityOnly(scenario),
	}
}

// policies lists every policy by name.
func policies(scenario *Scenario) []Policy {
	listed := []Policy{Rockwind(scenario), OnlineAlone(scenario), BatchAlone(scenario), Oracle(scenario, 1)}
	return append(listed, Baselines(scenario)...)
}

// PolicyNamed returns a policy by its name.
func PolicyNamed(scenario *Scenario, name string) (Policy, bool) {
	for _, policy := range policies(scenario) {
		if policy.Name == name {
			return policy, true
		}
	}
	return Policy{}, false
}

// PolicyNames lists the names of all policies.
func PolicyNames(scenario *Scenario) []string {
	var names []string
	for _, policy := range policies(scenario) {
		names = append(names, policy.Name)
	}
	return names
}
