package placement

import (
	"math"
	"slices"
)

// Factors on an adapter's fraction of its model's replicas: more are loaded below the first and
// unloaded above the second. The gap prevents changes due to noise.
const (
	adapterWanted  = 1.5
	adapterSurplus = 3
)

// placeAdapters loads adapters on replicas of their models, and unloads them where far more
// replicas hold them than their demand needs.
func (d *draft) placeAdapters() {
	for _, model := range d.models {
		for index := range model.Adapters {
			d.placeAdapter(model, &model.Adapters[index])
		}
	}
}

func (d *draft) placeAdapter(model *Model, adapter *Adapter) {
	name := AdapterName{Model: model.Name, Adapter: adapter.Name}
	serving := d.serving(model)
	minimum := min(d.policy.AdapterReplicas, len(serving))
	held := 0
	for _, server := range serving {
		if holdsAdapter(server, name) {
			held++
		}
	}
	target := max(minimum, model.adapterReplicas(adapter, adapterWanted, len(serving)))
	surplus := max(minimum, model.adapterReplicas(adapter, adapterSurplus, len(serving)))
	switch {
	case held < target:
		d.loadAdapter(serving, name, held < minimum)
	case held > surplus:
		d.unloadAdapter(serving, name)
	}
}

// adapterReplicas returns the number of replicas for an adapter's fraction of the model's demand,
// multiplied by a factor.
func (m *Model) adapterReplicas(adapter *Adapter, factor float64, replicas int) int {
	if m.Demand <= 0 {
		return 0
	}
	fraction := min(adapter.Demand/m.Demand*factor, 1)
	return int(math.Ceil(fraction * float64(replicas)))
}

func holdsAdapter(server *Server, name AdapterName) bool {
	return slices.Contains(server.Adapters, name) || slices.Contains(server.LoadingAdapters, name)
}

func (d *draft) loadAdapter(serving []*Server, name AdapterName, urgent bool) {
	if !d.mayChange() || d.loading >= max(d.policy.LoadsAtOnce, 1) {
		return
	}
	for _, server := range serving {
		if !holdsAdapter(server, name) && d.idle(server, urgent) {
			d.order(server, ReasonAdapter, Order{Action: ActionLoadAdapter, Adapter: name})
			return
		}
	}
}

func (d *draft) unloadAdapter(serving []*Server, name AdapterName) {
	if !d.mayChange() || !d.persists(ReasonAdapter, name.String(), d.policy.Dwell) {
		return
	}
	for _, server := range slices.Backward(serving) {
		if slices.Contains(server.Adapters, name) && d.idle(server, false) {
			d.order(server, ReasonAdapter, Order{Action: ActionUnloadAdapter, Adapter: name})
			return
		}
	}
}

// setRoles gives the role online to a fraction of each model's replicas, preferring those that have
// it already, and the role mixed to all others.
func (d *draft) setRoles() {
	roles := make(map[*Server]Role, len(d.servers))
	for _, model := range d.models {
		replicas := d.filterServers(model.replicaOn)
		online := int(d.policy.OnlineOnlyFraction * float64(len(replicas)))
		for _, server := range replicas {
			if server.Role == RoleOnline && online > 0 {
				roles[server] = RoleOnline
				online--
			}
		}
		for _, server := range replicas {
			if roles[server] == "" && online > 0 {
				roles[server] = RoleOnline
				online--
			}
		}
	}
	for _, server := range d.servers {
		role := roles[server]
		if role == "" {
			role = RoleMixed
		}
		if server.Role != role && d.idle(server, false) && d.mayChange() {
			d.order(server, ReasonRole, Order{Action: ActionSetRole, Role: role})
		}
	}
}
