package placement

import "cmp"

// candidate is a server that may take a model, and what it gives up for it.
type candidate struct {
	server *Server
	// victim is the version to unload first; the zero value means none.
	victim VersionName
	// left is the pressure on the victim's model once it has given the server.
	left float64
	// inZone is how many replicas of the model the server's zone has.
	inZone int
}

// compare orders candidates: no victim first, then the least pressure on who
// gives, then the zone with the fewest replicas.
func (c candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(c.left, other.left),
		cmp.Compare(c.inZone, other.inZone),
		cmp.Compare(c.server.Name, other.server.Name),
	)
}

// takeServer finds the best server for one more replica of a model. An urgent
// need passes over dwell.
func (d *draft) takeServer(model *Model, urgent bool, wanted func(*Server) bool) (candidate, bool) {
	zones := d.tallies[model.Name].replicas.zones
	var best candidate
	for _, server := range d.servers {
		if !server.mayHold(model.Name) || model.replicaOn(server) || !d.idle(server, urgent) || !wanted(server) {
			continue
		}
		offered, possible := d.offer(server)
		offered.inZone = zones[server.Zone]
		if possible && (best.server == nil || offered.compare(best) < 0) {
			best = offered
		}
	}
	return best, best.server != nil
}

// offer tells what a server would give up for another version.
func (d *draft) offer(server *Server) (candidate, bool) {
	if server.free() > 0 {
		return candidate{server: server, left: noVictim}, true
	}
	var best candidate
	for _, version := range server.Versions {
		giver := d.model(version.Model)
		offered := candidate{server: server, victim: version, left: noVictim}
		if giver != nil && giver.isActive(version) {
			if !d.canGive(giver, server) {
				continue
			}
			offered.left = giver.pressure(d.replicas(giver) - 1)
		}
		if best.server == nil || offered.compare(best) < 0 {
			best = offered
		}
	}
	return best, best.server != nil
}

// noVictim is the pressure that counts for a server that gives nothing up.
const noVictim = -1

// load orders a server to hold the version of a model that its weights miss most.
func (d *draft) load(model *Model, chosen candidate, reason Reason) {
	var orders []Order
	if chosen.victim != (VersionName{}) {
		orders = d.unloading(chosen.server, chosen.victim)
	}
	version := d.missingVersion(model)
	orders = append(orders, Order{
		Action:  ActionLoadModel,
		Version: VersionName{Model: model.Name, Version: version.Name}, WeightsID: version.WeightsID,
	})
	d.order(chosen.server, reason, orders...)
}

// unloading lists the orders that take a version off a server, with the adapters
// that nothing there needs any more.
func (d *draft) unloading(server *Server, victim VersionName) []Order {
	orders := []Order{{Action: ActionUnloadModel, Version: victim}}
	for _, version := range server.Versions {
		if version.Model == victim.Model && version != victim {
			return orders
		}
	}
	for _, adapter := range server.Adapters {
		if adapter.Model == victim.Model {
			orders = append(orders, Order{Action: ActionUnloadAdapter, Adapter: adapter})
		}
	}
	return orders
}

// followDemand gives empty servers to the models under the highest pressure, and
// then moves one server at a time from the lowest pressure to the highest.
func (d *draft) followDemand() {
	for range d.servers {
		if !d.fillIdle() {
			break
		}
	}
	for range d.servers {
		if !d.moveOne() {
			break
		}
	}
}

// fillIdle loads the model under the highest pressure on a server that holds
// nothing.
func (d *draft) fillIdle() bool {
	for _, model := range d.byPressure() {
		empty := func(server *Server) bool { return len(server.Versions)+len(server.LoadingVersions) == 0 }
		if !d.mayLoad() {
			return false
		}
		if chosen, found := d.takeServer(model, true, empty); found {
			d.load(model, chosen, ReasonIdle)
			return true
		}
	}
	return false
}

// byPressure lists the models with traffic, the highest pressure first.
func (d *draft) byPressure() []*Model {
	var sorted []*Model
	for _, model := range d.models {
		if len(model.active()) > 0 {
			sorted = append(sorted, model)
		}
	}
	sortBy(sorted, func(a, b *Model) int {
		held, other := d.replicas(a), d.replicas(b)
		return cmp.Or(
			cmp.Compare(b.pressure(other), a.pressure(held)),
			cmp.Compare(held, other),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return sorted
}

// moveOne moves the best server to the first model whose pressure justifies it.
func (d *draft) moveOne() bool {
	for _, model := range d.byPressure() {
		pressure := model.pressure(d.replicas(model))
		if pressure < d.policy.MinimumPressure {
			return false
		}
		justified := func(server *Server) bool {
			offered, possible := d.offer(server)
			return possible && pressure > (1+d.policy.Margin)*offered.left
		}
		// The need is judged without dwell, so that it lasts while servers wait.
		if _, needed := d.takeServer(model, true, justified); !needed {
			continue
		}
		if !d.lasted(ReasonDemand, model.Name, d.policy.Sustain) || !d.mayLoad() {
			// A model under less pressure must not take what this one waits for.
			return false
		}
		if chosen, found := d.takeServer(model, false, justified); found {
			d.load(model, chosen, ReasonDemand)
			return true
		}
	}
	return false
}
