package serverview

import "rockwind.example/rockwind/internal/routing"

// State is what keeps a server from traffic, or that nothing does.
type State string

// The states; a server counts in the first that applies, from the top.
const (
	// StateLeaving: it takes no new work, by its own word or the platform's.
	StateLeaving State = "leaving"
	// StateEjected: its failures put it out until trials succeed.
	StateEjected State = "ejected"
	// StateNotLoaded: it holds nothing that the configuration asks for.
	StateNotLoaded State = "not_loaded"
	// StateSuspect: it gets traffic only where no healthy server can take it.
	StateSuspect State = "suspect"
	// StateSlowStart: it came back and gets a growing part of its traffic.
	StateSlowStart State = "slow_start"
	// StateHealthy: it takes traffic.
	StateHealthy State = "healthy"
)

// States lists all states.
var States = []State{StateLeaving, StateEjected, StateNotLoaded, StateSuspect, StateSlowStart, StateHealthy}

// CountStates counts the servers of all zones by state.
func (v *View) CountStates() map[State]int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	counts := make(map[State]int, len(States))
	for index := range v.routing.Servers {
		counts[stateOf(&v.routing.Servers[index])]++
	}
	return counts
}

func stateOf(server *routing.Server) State {
	switch {
	case server.Leaving:
		return StateLeaving
	case server.Health == routing.Ejected:
		return StateEjected
	case server.Loaded == routing.Set{}:
		return StateNotLoaded
	case server.Health == routing.Suspect:
		return StateSuspect
	case server.SlowStart > 0 && server.SlowStart < 1:
		return StateSlowStart
	default:
		return StateHealthy
	}
}

// InFlight counts the online requests in flight at all servers.
func (v *View) InFlight() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	count := 0
	for index := range v.routing.Servers {
		count += int(v.routing.Servers[index].OwnOnline)
	}
	return count
}
