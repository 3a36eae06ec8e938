package routingfleet

import (
	"time"

	"rockwind.example/rockwind/internal/admission"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/routing"
)

// Policy configures the gateways of a run.
type Policy struct {
	Name string
	// Routing returns a new routing policy for one gateway.
	Routing func() routing.Policy
	// ExactView gives every gateway the current load and caches of all engines at
	// each decision.
	ExactView bool
	// Hints enables prefix-cache hints, and CacheEvents also learns them from the
	// engines' cache events.
	Hints       bool
	CacheEvents bool
	// Health holds the thresholds of passive health.
	Health health.Policy
	// Admission configures early refusal; nil admits all requests.
	Admission *admission.Policy
	// ProbesOnly bases health on polls and probes only, not on client traffic.
	ProbesOnly bool
	// UnlimitedRetries disables the retry budget.
	UnlimitedRetries bool
	// Hedge configures hedged requests; nil disables them.
	Hedge *admission.HedgePolicy
	// NoLeavingBroadcast disables the immediate notice to other gateways that a
	// server is leaving.
	NoLeavingBroadcast bool
}

// Limits of the daemon's relay.
const (
	// maximumAttempts bounds the attempts of one request.
	maximumAttempts = 4
	// firstByteTimeout bounds the time to the first token of an attempt.
	firstByteTimeout = 60 * time.Second
	// connectTimeout bounds a connection attempt.
	connectTimeout = 300 * time.Millisecond
)

// Rockwind is the production policy of the gateways.
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

// RoundRobin cycles through the servers, with a random start for each gateway.
func RoundRobin() Policy {
	policy := Rockwind()
	policy.Name = "round_robin"
	policy.Hints = false
	policy.Routing = func() routing.Policy { return &routing.RoundRobin{} }
	return policy
}

// LeastInFlight picks the server with the fewest requests of the same gateway in
// flight.
func LeastInFlight() Policy {
	policy := Rockwind()
	policy.Name = "least_in_flight"
	policy.Hints = false
	policy.Routing = func() routing.Policy { return routing.LeastInFlight{} }
	return policy
}

// FreshOracle picks the shortest estimated wait given the current load and caches
// of all engines.
func FreshOracle() Policy {
	policy := Rockwind()
	policy.Name = "fresh_oracle"
	policy.ExactView = true
	policy.Routing = func() routing.Policy { return routing.FreshOracle{} }
	return policy
}

// Unprotected is Rockwind without passive health, retry budget, early refusal,
// hedging and the immediate notice of leaving servers.
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

// ProbesOnly is Rockwind with health based on polls and probes only.
func ProbesOnly() Policy {
	policy := Rockwind()
	policy.Name = "probes_only"
	policy.ProbesOnly = true
	policy.Health.SilenceTimeout = 0
	return policy
}

// Undamped is Rockwind without increasing hold-downs and without slow start.
func Undamped() Policy {
	policy := Rockwind()
	policy.Name = "undamped"
	policy.Health.MaxHoldDown = policy.Health.HoldDown
	policy.Health.SlowStart = 0
	return policy
}

// neverReached disables a threshold of passive health.
const neverReached = 1e12
