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
	// Fresh gives every gateway the true load and caches at each decision.
	Fresh bool
	// Hints tells whether prefix-cache hints are used, and Events whether they
	// are also learned from the engines' cache events.
	Hints  bool
	Events bool
	// Health holds the thresholds of passive health.
	Health health.Policy
	// Admission refuses requests early; nil admits all.
	Admission *admission.Policy
	// RetryRatio and RetryBurst bound retries; a negative ratio does not.
	RetryRatio float64
	RetryBurst float64
	// Hedge says when a second attempt starts beside a slow one; nil never.
	Hedge *admission.HedgePolicy
	// Platform tells whether the platform's list of leaving machines is the only
	// source for drains; else engines say so too.
	PlatformOnly bool
}

// Bounds that the daemon's relay keeps.
const (
	// maximumAttempts bounds the attempts of one request.
	maximumAttempts = 4
	// firstByteTimeout bounds the time to the head of a stream.
	firstByteTimeout = 60 * time.Second
	// connectTimeout bounds a connection attempt.
	connectTimeout = time.Second
)

// Retry budget of the gateways, as the daemon's.
const (
	retryRatio = 0.1
	retryBurst = 20
)

// Rockwind is what the gateways run.
func Rockwind() Policy {
	admit := admission.DefaultPolicy
	return Policy{
		Name:       "rockwind",
		Routing:    func() routing.Policy { return routing.Default },
		Hints:      true,
		Events:     true,
		Health:     health.DefaultPolicy,
		Admission:  &admit,
		RetryRatio: retryRatio,
		RetryBurst: retryBurst,
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
	policy.Fresh = true
	policy.Routing = func() routing.Policy { return routing.FreshOracle{} }
	return policy
}

// Unprotected routes as the gateways do, and retries without a budget, with no
// verdict of health, no early refusal and no hedge.
func Unprotected() Policy {
	policy := Rockwind()
	policy.Name = "unprotected"
	policy.Admission = nil
	policy.RetryRatio = -1
	policy.Hedge = nil
	policy.Health.SuspectAfter = neverReached
	policy.Health.EjectAfter = neverReached
	policy.Health.SlowFactor = neverReached
	return policy
}

// neverReached is a threshold that no score reaches.
const neverReached = 1e12
