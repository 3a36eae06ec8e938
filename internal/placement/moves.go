package placement

import "cmp"

// candidate is a server that can load a model, and the version that it would unload.
type candidate struct {
	server *Server
	// victim is the version to unload first; zero if none.
	victim VersionName
	// donorPressure is the pressure on the victim's model without this server.
	donorPressure float64
	// inZone is the number of the model's replicas in the server's zone.
	inZone int
}

// compare orders candidates: those without a victim first, then those with the lowest pressure on
// the victim's model, then those in the zone with the fewest replicas.
func (c candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(c.donorPressure, other.donorPressure),
		cmp.Compare(c.inZone, other.inZone),
		cmp.Compare(c.server.Name, other.server.Name),
	)
}

// chooseServer returns the best server for one more replica of a model. An urgent need ignores the
// dwell time.
func (d *draft) chooseServer(model *Model, urgent bool, accept func(*Server) bool) (candidate, bool) {
	zones := d.tallies[model.Name].replicas.zones
	var best candidate
	for _, server := range d.servers {
		if !server.mayHold(model.Name) || model.replicaOn(server) || !d.idle(server, urgent) || !accept(server) {
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

// offer returns the version that a server would unload to load another one.
func (d *draft) offer(server *Server) (candidate, bool) {
	if server.free() > 0 {
		return candidate{server: server, donorPressure: noVictim}, true
	}
	var best candidate
	for _, version := range server.Versions {
		donor := d.model(version.Model)
		offered := candidate{server: server, victim: version, donorPressure: noVictim}
		if donor != nil && donor.isActive(version) {
			if !d.canRelease(donor, server) {
				continue
			}
			offered.donorPressure = donor.pressure(d.replicas(donor) - 1)
		}
		if best.server == nil || offered.compare(best) < 0 {
			best = offered
		}
	}
	return best, best.server != nil
}

// noVictim is the donorPressure of a server that need not unload anything or unloads a version
// without traffic.
const noVictim = -1

// load orders a server to load the version of a model that is furthest below its target.
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

// unloading returns the orders that unload a version from a server, and the adapters if no other
// version of the model remains.
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

// followDemand gives empty servers to the models with the highest pressure, and then moves servers
// one by one from the lowest pressure to the highest.
func (d *draft) followDemand() {
	for range d.servers {
		if !d.fillEmptyServer() {
			break
		}
	}
	for range d.servers {
		if !d.moveServer() {
			break
		}
	}
}

// fillEmptyServer loads the model with the highest pressure on an empty server.
func (d *draft) fillEmptyServer() bool {
	for _, model := range d.byPressure() {
		empty := func(server *Server) bool { return len(server.Versions)+len(server.LoadingVersions) == 0 }
		if !d.mayLoad() {
			return false
		}
		if chosen, found := d.chooseServer(model, true, empty); found {
			d.load(model, chosen, ReasonIdle)
			return true
		}
	}
	return false
}

// byPressure returns the models with traffic, the highest pressure first.
func (d *draft) byPressure() []*Model {
	var sorted []*Model
	for _, model := range d.models {
		if len(model.active()) > 0 {
			sorted = append(sorted, model)
		}
	}
	sortBy(sorted, func(a, b *Model) int {
		replicasA, replicasB := d.replicas(a), d.replicas(b)
		return cmp.Or(
			cmp.Compare(b.pressure(replicasB), a.pressure(replicasA)),
			cmp.Compare(replicasA, replicasB),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return sorted
}

// moveServer moves the best server to the first model whose pressure justifies it.
func (d *draft) moveServer() bool {
	for _, model := range d.byPressure() {
		pressure := model.pressure(d.replicas(model))
		if pressure < d.policy.MinimumPressure {
			return false
		}
		justified := func(server *Server) bool {
			offered, possible := d.offer(server)
			return possible && pressure > (1+d.policy.Margin)*offered.donorPressure
		}
		// Dwell time is ignored here, so that the need persists while servers wait for theirs.
		if _, needed := d.chooseServer(model, true, justified); !needed {
			continue
		}
		if !d.persists(ReasonDemand, model.Name, d.policy.Sustain) || !d.mayLoad() {
			// A model with less pressure must not take the server that this one waits for.
			return false
		}
		if chosen, found := d.chooseServer(model, false, justified); found {
			d.load(model, chosen, ReasonDemand)
			return true
		}
	}
	return false
}
