package simulator

import (
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/sharing"
)

// Policy determines how online and batch requests share the engines.
type Policy struct {
	Name string
	// Online and Batch enable the online and the batch load.
	Online bool
	Batch  bool
	// Routing creates the routing policy of one gateway; nil means
	// routing.OwnedFirst, as in production.
	Routing func() routing.Policy
	// Budget determines the batch budget of a server.
	Budget BudgetFunction
	// PerItem is the step time added per batch item.
	PerItem time.Duration
	// BatchPriority is the engine priority of batch items.
	BatchPriority int
	// OnlineOnly and BatchOnly reserve engines by their index within the zone; nil
	// reserves none.
	OnlineOnly func(zoneIndex, count int) bool
	BatchOnly  func(zoneIndex, count int) bool
	// ZeroLag gives gateways the current load of every engine at each decision.
	ZeroLag bool
	// NotifyOwners notifies the owner of an engine of online requests that other
	// gateways of the zone send to it.
	NotifyOwners bool
	// OwnedMargin is the margin of routing.OwnedFirst.
	OwnedMargin time.Duration
}

// BudgetFunction returns the batch budget of a server and the number of items to
// pause.
type BudgetFunction func(state sharing.ServerState, now time.Duration) (sharing.Budget, int)

// Rockwind is the policy of the production gateways.
func Rockwind(scenario *Scenario) Policy {
	return Policy{
		Name: "rockwind", Online: true, Batch: true,
		OwnedMargin:   routing.OwnedMargin,
		Budget:        budgetOf(budgetPolicy(scenario)),
		PerItem:       budgetPolicy(scenario).PerItem,
		BatchPriority: engine.PriorityBatch,
	}
}

// budgetPolicy returns the default budget policy for the scenario's objective, with
// the step times of its engines.
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

// RockwindWithTargetName is the name of the policy RockwindWithTarget.
const RockwindWithTargetName = "rockwind_told"

// RockwindWithTarget is Rockwind for scenarios that set Target, so that gateways do not
// estimate the online tail latency.
func RockwindWithTarget(scenario *Scenario) Policy {
	policy := Rockwind(scenario)
	policy.Name = RockwindWithTargetName
	budget := budgetPolicy(scenario)
	budget.PerTokenFraction = 1
	policy.Budget = budgetOf(budget)
	return policy
}

// unbounded fills a server with batch items regardless of online requests.
func unbounded(scenario *Scenario) BudgetFunction {
	return func(sharing.ServerState, time.Duration) (sharing.Budget, int) {
		return sharing.Budget{Items: scenario.Engine.MaxSequences}, 0
	}
}

// OnlineAlone is Rockwind without the batch load.
func OnlineAlone(scenario *Scenario) Policy {
	policy := Rockwind(scenario)
	policy.Name = "online_alone"
	policy.Batch = false
	return policy
}

// BatchAlone is the batch load without the online load.
func BatchAlone(scenario *Scenario) Policy {
	policy := Rockwind(scenario)
	policy.Name = "batch_alone"
	policy.Online = false
	policy.Budget = unbounded(scenario)
	return policy
}

// RoundRobinFirstCome routes online requests round robin and gives batch items the
// same engine priority.
func RoundRobinFirstCome(scenario *Scenario) Policy {
	policy := Rockwind(scenario)
	policy.Name = "round_robin_first_come"
	policy.Routing = func() routing.Policy { return &routing.RoundRobin{} }
	policy.Budget = unbounded(scenario)
	policy.BatchPriority = engine.PriorityOnline
	return policy
}

// PriorityOnly relies on engine priorities and has no batch budget.
func PriorityOnly(scenario *Scenario) Policy {
	policy := Rockwind(scenario)
	policy.Name = "priority_only"
	policy.Budget = unbounded(scenario)
	return policy
}

// StaticSplit reserves a fraction of each zone's engines for batch and the rest for
// online.
func StaticSplit(scenario *Scenario, fraction float64, name string) Policy {
	policy := Rockwind(scenario)
	policy.Name = name
	policy.Budget = unbounded(scenario)
	forBatch := func(zoneIndex, count int) bool { return float64(zoneIndex) < fraction*float64(count) }
	policy.BatchOnly = forBatch
	policy.OnlineOnly = func(zoneIndex, count int) bool { return !forBatch(zoneIndex, count) }
	return policy
}

// OracleName is the name of the policy Oracle.
const OracleName = "oracle"

// Oracle is Rockwind without delays: every gateway knows the current state of all
// engines and requests. Tighten scales the latency target that batch may use, so
// that callers can search for the highest throughput within a latency bound.
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

// Baselines returns the policies that Rockwind is compared with.
func Baselines(scenario *Scenario) []Policy {
	return []Policy{
		RoundRobinFirstCome(scenario),
		StaticSplit(scenario, 0.5, "static_split_half"),
		StaticSplit(scenario, 0.75, "static_split_three_quarters"),
		PriorityOnly(scenario),
	}
}

// policies returns the policies that can be selected by name.
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

// PolicyNames returns the names accepted by PolicyNamed.
func PolicyNames(scenario *Scenario) []string {
	var names []string
	for _, policy := range policies(scenario) {
		names = append(names, policy.Name)
	}
	return names
}
