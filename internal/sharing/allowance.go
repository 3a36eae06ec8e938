// Package sharing decides how batch work uses what online leaves. At fleet
// level it turns shares, use and demand of the groups into allowances of the
// batch capacity; at gateway level it gives every server a budget of batch items
// and batch tokens per step, says when batch must yield, and picks the tenant
// and job that run next. It is pure: time is an argument.
package sharing

import "time"

// GroupUse is what one group did over the last period.
type GroupUse struct {
	// Group is the group's name.
	Group string
	// Share is its relative weight, above zero.
	Share float64
	// OnlineCost and BatchCost are the service received in the period, in cost
	// units (see Cost).
	OnlineCost float64
	BatchCost  float64
	// Demand is the cost of the group's batch work that waits or runs now.
	Demand float64
}

// GroupAllowance is what a group may use of the batch capacity now.
type GroupAllowance struct {
	Group string
	// BatchFraction is between 0 and 1. The parts of all groups sum to one unless
	// there is no group. A group without work keeps its part, so that it gets it
	// at once when it comes back; the picker lends it to the others meanwhile.
	BatchFraction float64
}

// AccountPolicy holds the constants of the accounting.
type AccountPolicy struct {
	// Horizon is over how long a shortfall is made good.
	Horizon time.Duration
	// ShortfallHalfLife is the half-life of a shortfall.
	ShortfallHalfLife time.Duration
	// MaximumBoost bounds the part of the capacity that goes to making
	// shortfalls good.
	MaximumBoost float64
	// MinimumFraction is the part that every group keeps even without demand, so that
	// its first items start before the next exchange.
	MinimumFraction float64
}

// DefaultAccountPolicy is what control uses.
var DefaultAccountPolicy = AccountPolicy{
	Horizon:           2 * time.Second,
	ShortfallHalfLife: 10 * time.Second,
	MaximumBoost:      0.02,
	MinimumFraction:   0.01,
}

// Account keeps what each group is owed. Only groups with demand are owed
// anything, and having used more than one's share is never held against a
// group: the balance does not go below zero.
type Account struct {
	policy AccountPolicy
	groups map[string]*groupBalance
	rate   float64
}

// groupBalance is the state of one group.
type groupBalance struct {
	// owed is the shortfall in cost units.
	owed float64
	// entitled is the part of the whole service owed in the last period.
	entitled float64
}

// NewAccount returns an account in which nobody is owed anything.
func NewAccount(policy AccountPolicy) *Account {
	return &Account{policy: policy, groups: make(map[string]*groupBalance)}
}

// Shortfall returns the cost units that a group is owed.
func (a *Account) Shortfall(group string) float64 {
	balance, known := a.groups[group]
	if !known {
		return 0
	}
	return balance.owed
}

// Allowances takes the use of all groups over a period and returns what each may
// use of the batch capacity until the next call. Groups that are missing from
// uses are forgotten. Output order is that of uses.
func (a *Account) Allowances(uses []GroupUse, period time.Duration) []GroupAllowance {
	claims := a.settle(uses, period)
	parts := partsOf(claims)
	a.boost(uses, parts)
	a.reserve(parts)
	allowances := make([]GroupAllowance, len(uses))
	for index, use := range uses {
		allowances[index] = GroupAllowance{Group: use.Group, BatchFraction: parts[index]}
	}
	return allowances
}

// settle books the period and returns each group's claim on the batch capacity
// of the next one.
func (a *Account) settle(uses []GroupUse, period time.Duration) []claim {
	total := 0.0
	shares := 0.0
	for _, use := range uses {
		total += use.OnlineCost + use.BatchCost
		shares += use.Share
	}
	seconds := max(period.Seconds(), 1e-3)
	a.rate = total / seconds
	claims := make([]claim, len(uses))
	kept := make(map[string]*groupBalance, len(uses))
	entitled := entitlements(uses, total, shares)
	for index, use := range uses {
		balance := a.groups[use.Group]
		if balance == nil {
			balance = &groupBalance{}
		}
		kept[use.Group] = balance
		balance.entitled = entitled[index]
		balance.settle(use, period, a.policy)
		claims[index] = claim{
			weight: max(0, use.Share/max(shares, 1e-12)*total-use.OnlineCost),
			demand: use.Demand,
		}
		if total == 0 {
			claims[index].weight = use.Share
		}
	}
	a.groups = kept
	return claims
}

// entitlements splits the service of the period by share among the groups that
// wanted any, none getting more than it received and still wanted.
func entitlements(uses []GroupUse, total, shares float64) []float64 {
	claims := make([]claim, len(uses))
	for index, use := range uses {
		claims[index] = claim{weight: use.Share / max(shares, 1e-12), demand: use.OnlineCost + use.BatchCost + use.Demand}
	}
	return fillAmounts(claims, total)
}

func (b *groupBalance) settle(use GroupUse, period time.Duration, policy AccountPolicy) {
	if policy.ShortfallHalfLife > 0 {
		b.owed *= halved(period, policy.ShortfallHalfLife)
	}
	b.owed += b.entitled - use.OnlineCost - use.BatchCost
	b.owed = max(0, b.owed)
	if use.Demand <= 0 {
		b.owed = 0
	}
}

// boost moves a bounded part of the capacity to groups with a shortfall.
func (a *Account) boost(uses []GroupUse, parts []float64) {
	owed := 0.0
	for _, use := range uses {
		owed += a.Shortfall(use.Group)
	}
	capacity := a.rate * a.policy.Horizon.Seconds()
	if owed <= 0 || capacity <= 0 {
		return
	}
	moved := min(a.policy.MaximumBoost, owed/capacity)
	for index, use := range uses {
		parts[index] = parts[index]*(1-moved) + moved*a.Shortfall(use.Group)/owed
	}
}

// reserve keeps a small part for each group and makes the parts sum to one.
func (a *Account) reserve(parts []float64) {
	sum := 0.0
	for index := range parts {
		parts[index] = max(parts[index], a.policy.MinimumFraction)
		sum += parts[index]
	}
	for index := range parts {
		parts[index] /= sum
	}
}
