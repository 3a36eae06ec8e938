package placement

// unloadEnded unloads versions and adapters that are no longer declared. They get no traffic, so
// this cannot take a model below its minimum.
func (d *draft) unloadEnded() {
	for _, server := range d.servers {
		orders := d.endedOrders(server)
		if len(orders) > 0 && d.idle(server, true) && d.mayChange() {
			d.order(server, ReasonEnded, orders...)
		}
	}
}

func (d *draft) endedOrders(server *Server) []Order {
	var orders []Order
	for _, version := range server.Versions {
		model := d.model(version.Model)
		if model != nil && model.isActive(version) {
			continue
		}
		if d.persists(ReasonEnded, server.Name+" "+version.String(), d.policy.EndedGrace) {
			orders = append(orders, Order{Action: ActionUnloadModel, Version: version})
		}
	}
	for _, adapter := range server.Adapters {
		if d.declares(adapter) {
			continue
		}
		if d.persists(ReasonEnded, server.Name+" "+adapter.String(), d.policy.EndedGrace) {
			orders = append(orders, Order{Action: ActionUnloadAdapter, Adapter: adapter})
		}
	}
	return orders
}

func (d *draft) declares(adapter AdapterName) bool {
	model := d.model(adapter.Model)
	if model == nil {
		return false
	}
	for _, declared := range model.Adapters {
		if declared.Name == adapter.Adapter {
			return true
		}
	}
	return false
}

// keepFloors loads models with fewer replicas or zones than the minimum, those with the fewest
// replicas first.
func (d *draft) keepFloors() {
	for missing := 1; missing <= d.policy.FloorReplicas; missing++ {
		for _, model := range d.models {
			if d.replicas(model) < missing {
				d.keepFloor(model)
			}
		}
	}
	for _, model := range d.models {
		d.keepFloor(model)
	}
}

// keepFloor loads one more replica of a model if it is below its minimum and has been for long
// enough.
func (d *draft) keepFloor(model *Model) {
	if len(model.active()) == 0 {
		return
	}
	present := d.tallies[model.Name].replicas.zones
	replicas, zones := d.floor(model)
	if d.replicas(model) >= replicas && len(present) >= zones {
		return
	}
	if !d.persists(ReasonFloor, model.Name, d.policy.FloorSustain) || !d.mayLoad() {
		return
	}
	elsewhere := func(server *Server) bool {
		return len(present) >= zones || present[server.Zone] == 0
	}
	if chosen, found := d.chooseServer(model, true, elsewhere); found {
		d.load(model, chosen, ReasonFloor)
	}
}
