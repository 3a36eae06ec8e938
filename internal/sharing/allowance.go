// Package sharing divides capacity between online and batch work. For the fleet it turns the
// shares, the usage and the demand of groups into allowances of the batch capacity. For a gateway
// it computes the budget of batch items and batch tokens per step of each server, the number of
// batch items to pause, and the tenant and job that run next.
package sharing

import "time"

// GroupUse is the usage and the demand of one group over the last period.
type GroupUse struct {
	Group string
	// Share is the relative weight of the group; it is positive.
	Share float64
	// OnlineCost and BatchCost are the service received in the period, in cost units (see Cost).
	OnlineCost float64
	BatchCost  float64
	// Demand is the cost of the group's waiting and running batch work.
	Demand float64
}

// GroupAllowance is the fraction of the batch capacity that a group may use.
type GroupAllowance struct {
	Group string
	// BatchFraction is between 0 and 1. The fractions of all groups sum to one. A group without
	// work keeps its fraction, so that it can use it at once when it has work again; the picker
	// lends it to the other groups meanwhile.
	BatchFraction float64
}

// AccountPolicy holds the parameters of the accounting.
type AccountPolicy struct {
	// Horizon is the time over which a shortfall is compensated.
	Horizon time.Duration
	// ShortfallHalfLife is the half-life of a shortfall.
	ShortfallHalfLife time.Duration
	// MaximumBoost bounds the fraction of the capacity that compensates shortfalls.
	MaximumBoost float64
	// MinimumFraction is the fraction that each group keeps even without demand, so that its first
	// items can start before the next exchange.
	MinimumFraction float64
}

// DefaultAccountPolicy is the policy of control machines.
var DefaultAccountPolicy = AccountPolicy{
	Horizon:           2 * time.Second,
	ShortfallHalfLife: 10 * time.Second,
	MaximumBoost:      0.02,
	MinimumFraction:   0.01,
}

// Account keeps the shortfall of each group: the service that it was entitled to and did not
// receive. Only groups with demand have a shortfall. It is never negative, so that a group which
// used more than its share is not penalized later.
type Account struct {
	policy AccountPolicy
	groups map[string]*groupBalance
	rate   float64
}

type groupBalance struct {
	// owed is the shortfall in cost units.
	owed float64
	// entitled is the service that the group was entitled to in the last period.
	entitled float64
}

// NewAccount returns an account without shortfalls.
func NewAccount(policy AccountPolicy) *Account {
	return &Account{policy: policy, groups: make(map[string]*groupBalance)}
}

// Shortfall returns the shortfall of a group in cost units.
func (a *Account) Shortfall(group string) float64 {
	balance, known := a.groups[group]
	if !known {
		return 0
	}
	return balance.owed
}

// Allowances records the usage of all groups over a period and returns their allowances until the
// next call, in the order of uses. Groups that are missing from uses are forgotten.
func (a *Account) Allowances(uses []GroupUse, period time.Duration) []GroupAllowance {
	claims := a.settle(uses, period)
	fractions := fractionsByWeight(claims)
	a.boost(uses, fractions)
	a.applyMinimum(fractions)
	allowances := make([]GroupAllowance, len(uses))
	for index, use := range uses {
		allowances[index] = GroupAllowance{Group: use.Group, BatchFraction: fractions[index]}
	}
	return allowances
}

// settle records the period and returns each group's claim on the batch capacity of the next one.
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

// entitlements divides the service of the period by share among the groups. A group is entitled to
// no more than what it received and still demands.
func entitlements(uses []GroupUse, total, shares float64) []float64 {
	claims := make([]claim, len(uses))
	for index, use := range uses {
		claims[index] = claim{weight: use.Share / max(shares, 1e-12), demand: use.OnlineCost + use.BatchCost + use.Demand}
	}
	return maxMinShares(claims, total)
}

func (b *groupBalance) settle(use GroupUse, period time.Duration, policy AccountPolicy) {
	if policy.ShortfallHalfLife > 0 {
		b.owed *= decayFactor(period, policy.ShortfallHalfLife)
	}
	b.owed += b.entitled - use.OnlineCost - use.BatchCost
	b.owed = max(0, b.owed)
	if use.Demand <= 0 {
		b.owed = 0
	}
}

// boost shifts a bounded fraction of the capacity to groups with a shortfall.
func (a *Account) boost(uses []GroupUse, fractions []float64) {
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
		fractions[index] = fractions[index]*(1-moved) + moved*a.Shortfall(use.Group)/owed
	}
}

// applyMinimum raises each fraction to the minimum and normalizes them.
func (a *Account) applyMinimum(fractions []float64) {
	sum := 0.0
	for index := range fractions {
		fractions[index] = max(fractions[index], a.policy.MinimumFraction)
		sum += fractions[index]
	}
	for index := range fractions {
		fractions[index] /= sum
	}
}
