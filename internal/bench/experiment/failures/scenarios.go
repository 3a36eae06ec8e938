// Package failures measures the effect of failures on online requests, with and without
// the gateways' protections: crashed, hanging and slow engines, false load reports, zone
// outages, retry storms and drains.
package failures

import (
	"time"

	"rockwind.example/rockwind/internal/bench/routingfleet"
	"rockwind.example/rockwind/internal/engine"
)

// Timing of the scenarios.
const (
	warmup = 15 * time.Second
	// window is the measured time after the warm-up; faults start with it.
	window = 25 * time.Second
	// faultDuration is the length of most faults.
	faultDuration = 15 * time.Second
	// listLag is the delay until the platform's list shows a draining server as
	// leaving.
	listLag = 10 * time.Second
	// firstTokenTimeout is how long callers wait for the first token.
	firstTokenTimeout = 5 * time.Second
	// resends is the number of times that callers retry a request.
	resends = 3
)

// Fractions of the fleet affected by a fault.
const (
	smallFraction = 0.1
	largeFraction = 0.5
)

// slowFactor multiplies the step time of engines in the scenario "grey".
const slowFactor = 8

// scenario is a failure to measure.
type scenario struct {
	name        string
	description string
	faults      func(fleet *routingfleet.Scenario) []routingfleet.Fault
}

// scenarios lists all scenarios.
var scenarios = []scenario{
	{"none", "no failure", func(*routingfleet.Scenario) []routingfleet.Fault { return nil }},
	{"death", "a tenth of the engines die and come back empty after 15 s", engineFault(smallFraction, engine.FaultDie, 0, false)},
	{"hang", "a tenth of the processes answer nothing for 15 s", engineFault(smallFraction, engine.FaultHang, 0, true)},
	{"wedged", "a tenth of the engines stop, and go on to answer polls and probes", engineFault(smallFraction, engine.FaultHang, 0, false)},
	{"flap", "a tenth of the engines die for 2 s in every 5 s", flap},
	{"grey", "the steps of a tenth of the engines take 8 times as long", engineFault(smallFraction, engine.FaultSlow, slowFactor, false)},
	{"lie", "a tenth of the engines report that they are idle", engineFault(smallFraction, engine.FaultReportIdle, 0, false)},
	{"zone", "all servers of one zone are cut off for 15 s", isolateZone},
	{"storm", "half of the engines die for 15 s while callers resend", engineFault(largeFraction, engine.FaultDie, 0, false)},
	{"drain", "a tenth of the engines drain; the platform's list lags by 10 s", drain(false)},
	{"silent_drain", "the same, and the engines say nothing themselves", drain(true)},
}

// spread returns a fraction of the servers, evenly spread over the fleet.
func spread(fleet *routingfleet.Scenario, fraction float64) []int {
	count := max(1, int(fraction*float64(fleet.Servers)))
	servers := make([]int, count)
	for index := range servers {
		servers[index] = index * fleet.Servers / count
	}
	return servers
}

func engineFault(fraction float64, kind engine.FaultKind, factor float64, mute bool) func(*routingfleet.Scenario) []routingfleet.Fault {
	return func(fleet *routingfleet.Scenario) []routingfleet.Fault {
		return []routingfleet.Fault{{
			At: warmup, Servers: spread(fleet, fraction), Unresponsive: mute,
			Engine: engine.Fault{Kind: kind, Duration: faultDuration, Factor: factor},
		}}
	}
}

// Timing of flapping engines.
const (
	flapDown  = 2 * time.Second
	flapEvery = 5 * time.Second
)

func flap(fleet *routingfleet.Scenario) []routingfleet.Fault {
	var faults []routingfleet.Fault
	for at := warmup; at < warmup+window; at += flapEvery {
		faults = append(faults, routingfleet.Fault{
			At: at, Servers: spread(fleet, smallFraction),
			Engine: engine.Fault{Kind: engine.FaultDie, Duration: flapDown},
		})
	}
	return faults
}

// policies lists the policies measured in a scenario.
func (s scenario) policies() []routingfleet.Policy {
	list := []routingfleet.Policy{routingfleet.Rockwind(), routingfleet.Unprotected()}
	switch s.name {
	case "flap":
		list = append(list, routingfleet.Undamped())
	case "death", "hang", "wedged":
		list = append(list, routingfleet.ProbesOnly())
	}
	return list
}

func isolateZone(fleet *routingfleet.Scenario) []routingfleet.Fault {
	var servers []int
	for server := range fleet.Servers / fleet.Zones {
		servers = append(servers, server)
	}
	return []routingfleet.Fault{
		{At: warmup, Servers: servers, Partition: true},
		{At: warmup + faultDuration, Servers: servers, Heal: true},
	}
}

func drain(silent bool) func(*routingfleet.Scenario) []routingfleet.Fault {
	return func(fleet *routingfleet.Scenario) []routingfleet.Fault {
		return []routingfleet.Fault{{
			At: warmup, Servers: spread(fleet, smallFraction), Drain: true, Silent: silent, ListLag: listLag,
		}}
	}
}

// build returns the simulated fleet of the scenario.
func (s scenario) build(servers int, lag time.Duration) routingfleet.Scenario {
	fleet := routingfleet.DefaultScenario(servers)
	fleet.Engine.ReportLag = lag
	fleet.Warmup = warmup
	fleet.Measured = window
	fleet.Load.MaxResends = resends
	fleet.Load.ClientTimeout = firstTokenTimeout
	fleet.Faults = s.faults(&fleet)
	return fleet
}
