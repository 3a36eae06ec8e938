package serverview

import "rockwind.example/rockwind/internal/routing"

// State is whether a server receives traffic and, if not, why.
type State string

// A server is counted in the first state that applies, in this order.
const (
	// StateLeaving means that the server is draining, or leaving according to
	// the platform.
	StateLeaving State = "leaving"
	// StateEjected means that the server is excluded because of failures until
	// trials succeed.
	StateEjected State = "ejected"
	// StateNotLoaded means that the server has loaded nothing that the
	// configuration asks for.
	StateNotLoaded State = "not_loaded"
	// StateSuspect means that the server receives traffic only if no healthy
	// server can take it.
	StateSuspect State = "suspect"
	// StateSlowStart means that the server recovered and receives a growing
	// fraction of its traffic.
	StateSlowStart State = "slow_start"
	// StateHealthy means that the server receives traffic.
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

// InFlight returns the number of this gateway's online requests in flight.
func (v *View) InFlight() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	count := 0
	for index := range v.routing.Servers {
		count += int(v.routing.Servers[index].OwnOnline)
	}
	return count
}
