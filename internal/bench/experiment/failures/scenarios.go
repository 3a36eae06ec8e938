// Package failures measures what engine deaths, hangs, slowness, false reports,
// lost zones, retry storms and planned stops do to online requests, with the
// gateways' protections and without them.
package failures

import (
	"time"

	"rockwind.example/rockwind/internal/bench/routingfleet"
	"rockwind.example/rockwind/internal/engine"
)

// Timing of the scenarios.
const (
	warmup = 15 * time.Second
	// window is the time measured; faults begin with it.
	window = 25 * time.Second
	// faultTime is how long a fault lasts.
	faultTime = 15 * time.Second
	// listLag is how late the platform's list shows a leaving machine.
	listLag = 10 * time.Second
	// patience is how long callers wait for a first token.
	patience = 5 * time.Second
	// resends is how often callers send a request again.
	resends = 3
)

// Parts of the fleet that a fault affects.
const (
	fewPart  = 0.1
	halfPart = 0.5
)

// slowFactor is how many times longer the steps of a grey engine are.
const slowFactor = 8

// scenario is a fleet with a failure.
type scenario struct {
	name        string
	description string
	faults      func(fleet *routingfleet.Scenario) []routingfleet.Fault
}

// scenarios lists what is measured.
var scenarios = []scenario{
	{"none", "no failure", func(*routingfleet.Scenario) []routingfleet.Fault { return nil }},
	{"death", "a tenth of the engines die and come back empty after 15 s", engineFault(fewPart, engine.FaultDie, 0, false)},
	{"hang", "a tenth of the processes answer nothing for 15 s", engineFault(fewPart, engine.FaultHang, 0, true)},
	{"wedged", "a tenth of the engines stop, and go on to answer polls and probes", engineFault(fewPart, engine.FaultHang, 0, false)},
	{"flap", "a tenth of the engines die for 2 s in every 5 s", flap},
	{"grey", "the steps of a tenth of the engines take 8 times as long", engineFault(fewPart, engine.FaultSlow, slowFactor, false)},
	{"lie", "a tenth of the engines report that they are idle", engineFault(fewPart, engine.FaultReportIdle, 0, false)},
	{"zone", "all servers of one zone are cut off for 15 s", cutZone},
	{"storm", "half of the engines die for 15 s while callers resend", engineFault(halfPart, engine.FaultDie, 0, false)},
	{"drain", "a tenth of the engines drain; the platform's list lags by 10 s", drain(false)},
	{"silent_drain", "the same, and the engines say nothing themselves", drain(true)},
}

// spread returns a part of the servers, spread evenly over the fleet.
func spread(fleet *routingfleet.Scenario, part float64) []int {
	count := max(1, int(part*float64(fleet.Servers)))
	servers := make([]int, count)
	for index := range servers {
		servers[index] = index * fleet.Servers / count
	}
	return servers
}

func engineFault(part float64, kind engine.FaultKind, factor float64, mute bool) func(*routingfleet.Scenario) []routingfleet.Fault {
	return func(fleet *routingfleet.Scenario) []routingfleet.Fault {
		return []routingfleet.Fault{{
			At: warmup, Servers: spread(fleet, part), Unresponsive: mute,
			Engine: engine.Fault{Kind: kind, Duration: faultTime, Factor: factor},
		}}
	}
}

// Timing of engines that come and go.
const (
	flapDown  = 2 * time.Second
	flapEvery = 5 * time.Second
)

func flap(fleet *routingfleet.Scenario) []routingfleet.Fault {
	var faults []routingfleet.Fault
	for at := warmup; at < warmup+window; at += flapEvery {
		faults = append(faults, routingfleet.Fault{
			At: at, Servers: spread(fleet, fewPart),
			Engine: engine.Fault{Kind: engine.FaultDie, Duration: flapDown},
		})
	}
	return faults
}

// policies lists what a scenario is measured with.
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

func cutZone(fleet *routingfleet.Scenario) []routingfleet.Fault {
	var servers []int
	for server := range fleet.Servers / fleet.Zones {
		servers = append(servers, server)
	}
	return []routingfleet.Fault{
		{At: warmup, Servers: servers, Partition: true},
		{At: warmup + faultTime, Servers: servers, Heal: true},
	}
}

func drain(silent bool) func(*routingfleet.Scenario) []routingfleet.Fault {
	return func(fleet *routingfleet.Scenario) []routingfleet.Fault {
		return []routingfleet.Fault{{
			At: warmup, Servers: spread(fleet, fewPart), Drain: true, Silent: silent, ListLag: listLag,
		}}
	}
}

// build returns the fleet of a scenario.
func (s scenario) build(servers int, lag time.Duration) routingfleet.Scenario {
	fleet := routingfleet.DefaultScenario(servers)
	fleet.Engine.ReportLag = lag
	fleet.Warmup = warmup
	fleet.Measured = window
	fleet.Load.MaxResends = resends
	fleet.Load.ClientTimeout = patience
	fleet.Faults = s.faults(&fleet)
	return fleet
}
