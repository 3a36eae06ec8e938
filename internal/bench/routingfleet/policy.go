package routingfleet

import (
	"time"

	"rockwind.example/rockwind/internal/admission"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/routing"
)

// Policy is what the gateways of a run do.
type Policy struct {
	Name string
	// Routing makes the routing policy of one gateway.
	Routing func() routing.Policy
	// ExactView gives every gateway the true load and caches at each decision.
	ExactView bool
	// Hints tells whether prefix-cache hints are used, and Events whether they
	// are also learned from the engines' cache events.
	Hints       bool
	CacheEvents bool
	// Health holds the thresholds of passive health.
	Health health.Policy
	// Admission refuses requests early; nil admits all.
	Admission *admission.Policy
	// ProbesOnly judges health by polls and probes alone, not by real traffic.
	ProbesOnly bool
	// UnlimitedRetries lets gateways retry without a budget.
	UnlimitedRetries bool
	// Hedge says when a second attempt starts beside a slow one; nil never.
	Hedge *admission.HedgePolicy
	// NoLeavingBroadcast leaves gateways to find out for themselves which servers leave.
	NoLeavingBroadcast bool
}

// Bounds that the daemon's relay keeps.
const (
	// maximumAttempts bounds the attempts of one request.
	maximumAttempts = 4
	// firstByteTimeout bounds the time to the head of a stream.
	firstByteTimeout = 60 * time.Second
	// connectTimeout bounds a connection attempt.
	connectTimeout = 300 * time.Millisecond
)

// Rockwind is what the gateways run.
func Rockwind() Policy {
	admit := admission.DefaultPolicy
	hedge := admission.DefaultHedgePolicy
	return Policy{
		Name: "rockwind",
		Routing: func() routing.Policy {
			return &routing.OwnedFirst{Margin: routing.OwnedMargin, Fallback: routing.Default}
		},
		Hints:       true,
		CacheEvents: true,
		Health:      health.DefaultPolicy,
		Admission:   &admit,
		Hedge:       &hedge,
	}
}

// RoundRobin takes the servers in turn, each gateway from its own start.
func RoundRobin() Policy {
	policy := Rockwind()
	policy.Name = "round_robin"
	policy.Hints = false
	policy.Routing = func() routing.Policy { return &routing.RoundRobin{} }
	return policy
}

// LeastInFlight takes the server with the fewest of the gateway's own requests.
func LeastInFlight() Policy {
	policy := Rockwind()
	policy.Name = "least_in_flight"
	policy.Hints = false
	policy.Routing = func() routing.Policy { return routing.LeastInFlight{} }
	return policy
}

// FreshOracle takes the least estimated wait with the true load and caches of
// all engines.
func FreshOracle() Policy {
	policy := Rockwind()
	policy.Name = "fresh_oracle"
	policy.ExactView = true
	policy.Routing = func() routing.Policy { return routing.FreshOracle{} }
	return policy
}

// Unprotected routes as the gateways do, and retries without a budget, with no
// verdict of health, no early refusal and no hedge.
func Unprotected() Policy {
	policy := Rockwind()
	policy.Name = "unprotected"
	policy.Admission = nil
	policy.UnlimitedRetries = true
	policy.Hedge = nil
	policy.NoLeavingBroadcast = true
	policy.Health.SuspectAfter = neverReached
	policy.Health.EjectAfter = neverReached
	policy.Health.SlowFactor = neverReached
	policy.Health.SilenceTimeout = 0
	return policy
}

// ProbesOnly is what the gateways run, but for health, which is judged by polls
// and probes alone.
func ProbesOnly() Policy {
	policy := Rockwind()
	policy.Name = "probes_only"
	policy.ProbesOnly = true
	policy.Health.SilenceTimeout = 0
	return policy
}

// Undamped is what the gateways run without growing hold-downs and without a
// slow start.
func Undamped() Policy {
	policy := Rockwind()
	policy.Name = "undamped"
	policy.Health.MaxHoldDown = policy.Health.HoldDown
	policy.Health.SlowStart = 0
	return policy
}

// neverReached is a threshold that no score reaches.
const neverReached = 1e12
