package placement

import (
	"math"
	"slices"
)

// Factors on an adapter's part of its model's replicas: more are loaded below the
// first and unloaded above the second. The gap keeps noise from moving any.
const (
	adapterWanted  = 1.5
	adapterSurplus = 3
)

// placeAdapters loads adapters on replicas of their models and unloads those that
// far more replicas hold than their demand needs.
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
	least := min(d.policy.AdapterReplicas, len(serving))
	held := 0
	for _, server := range serving {
		if holdsAdapter(server, name) {
			held++
		}
	}
	wanted := max(least, model.adapterReplicas(adapter, adapterWanted, len(serving)))
	surplus := max(least, model.adapterReplicas(adapter, adapterSurplus, len(serving)))
	switch {
	case held < wanted:
		d.loadAdapter(serving, name, held < least)
	case held > surplus:
		d.unloadAdapter(serving, name)
	}
}

// adapterReplicas returns the replicas that an adapter's part of the demand,
// times a factor, takes up.
func (m *Model) adapterReplicas(adapter *Adapter, factor float64, replicas int) int {
	if m.Demand <= 0 {
		return 0
	}
	part := min(adapter.Demand/m.Demand*factor, 1)
	return int(math.Ceil(part * float64(replicas)))
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
	if !d.mayChange() || !d.lasted(ReasonAdapter, name.String(), d.policy.Dwell) {
		return
	}
	for _, server := range slices.Backward(serving) {
		if slices.Contains(server.Adapters, name) && d.idle(server, false) {
			d.order(server, ReasonAdapter, Order{Action: ActionUnloadAdapter, Adapter: name})
			return
		}
	}
}

// setRoles gives the part of each model's replicas that policy names the role
// online, those first that have it, and all others the role mixed.
func (d *draft) setRoles() {
	wanted := make(map[*Server]Role, len(d.servers))
	for _, model := range d.models {
		replicas := d.where(model.replicaOn)
		online := int(d.policy.OnlineOnlyFraction * float64(len(replicas)))
		for _, server := range replicas {
			if server.Role == RoleOnline && online > 0 {
				wanted[server] = RoleOnline
				online--
			}
		}
		for _, server := range replicas {
			if wanted[server] == "" && online > 0 {
				wanted[server] = RoleOnline
				online--
			}
		}
	}
	for _, server := range d.servers {
		role := wanted[server]
		if role == "" {
			role = RoleMixed
		}
		if server.Role != role && d.idle(server, false) && d.mayChange() {
			d.order(server, ReasonRole, Order{Action: ActionSetRole, Role: role})
		}
	}
}
