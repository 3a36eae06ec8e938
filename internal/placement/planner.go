package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Planner makes plans from successive views. It keeps the average demand, how long a change has
// been needed, and when the weight store is free. It is not safe for concurrent use.
type Planner struct {
	policy    Policy
	demand    map[string]*average
	needSince map[need]time.Duration
	// storeFreeAt is when the weight store will have delivered all ordered loads.
	storeFreeAt time.Duration
}

// need identifies a condition that must persist before it leads to a change.
type need struct {
	reason Reason
	name   string
}

// NewPlanner returns a planner without history.
func NewPlanner(policy Policy) *Planner {
	return &Planner{policy: policy, demand: make(map[string]*average), needSince: make(map[need]time.Duration)}
}

// average is an exponentially weighted moving average.
type average struct {
	value float64
	at    time.Duration
}

func (a *average) add(value float64, now, halfLife time.Duration) float64 {
	if halfLife <= 0 {
		a.value = value
		return value
	}
	decay := math.Exp2(-float64(now-a.at) / float64(halfLife))
	a.value = a.value*decay + value*(1-decay)
	a.at = now
	return a.value
}

// smoothed adds a demand to the average of a name and returns the average.
func (p *Planner) smoothed(name string, demand float64, now time.Duration) float64 {
	current, known := p.demand[name]
	if !known {
		p.demand[name] = &average{value: demand, at: now}
		return demand
	}
	return current.add(demand, now, p.policy.SmoothingHalfLife)
}

// Demand returns the average demand of a model in cost units per second.
func (p *Planner) Demand(model string) float64 {
	if current := p.demand[model]; current != nil {
		return current.value
	}
	return 0
}

// Plan returns the changes to order now. The view must reflect the changes that were ordered
// before: a server with a change in progress is busy, lists what it loads, and no longer lists what
// it unloads.
func (p *Planner) Plan(view View) []Change {
	d := p.draft(view)
	d.unloadEnded()
	d.keepFloors()
	d.balanceVersions()
	d.followDemand()
	d.placeAdapters()
	d.setRoles()
	p.needSince = d.needSince
	return d.changes
}

// draft is a plan under construction. Its servers and models are copies, sorted by name, to which
// each planned change is applied at once.
type draft struct {
	planner *Planner
	policy  *Policy
	now     time.Duration
	servers []*Server
	models  []*Model
	byName  map[string]*Model
	tallies map[string]*tally
	// needSince holds the needs found for this plan and when each began.
	needSince map[need]time.Duration
	// changing and loading count the servers with a change or a load in progress.
	changing int
	loading  int
	changes  []Change
}

func (p *Planner) draft(view View) *draft {
	d := &draft{
		planner: p, policy: &p.policy, now: view.Now, needSince: make(map[need]time.Duration),
		byName: make(map[string]*Model), tallies: make(map[string]*tally),
	}
	d.copyModels(view.Models)
	d.copyServers(view.Servers)
	return d
}

// copyServers copies the usable servers and counts the changes in progress on all servers.
func (d *draft) copyServers(servers []Server) {
	for index := range servers {
		server := servers[index]
		server.Versions = slices.Clone(server.Versions)
		server.Adapters = slices.Clone(server.Adapters)
		server.LoadingVersions = slices.Clone(server.LoadingVersions)
		server.LoadingAdapters = slices.Clone(server.LoadingAdapters)
		if server.Busy {
			d.changing++
		}
		if len(server.LoadingVersions)+len(server.LoadingAdapters) > 0 {
			d.loading++
		}
		if server.Usable {
			d.servers = append(d.servers, &server)
		}
	}
	slices.SortFunc(d.servers, func(a, b *Server) int { return cmp.Compare(a.Name, b.Name) })
	for _, server := range d.servers {
		d.count(server, 1)
	}
}

// copyModels copies the models with their average demand.
func (d *draft) copyModels(models []Model) {
	for index := range models {
		model := models[index]
		model.Adapters = slices.Clone(model.Adapters)
		model.Demand = d.planner.smoothed(model.Name, model.Demand, d.now)
		for number := range model.Adapters {
			adapter := &model.Adapters[number]
			name := AdapterName{Model: model.Name, Adapter: adapter.Name}
			adapter.Demand = d.planner.smoothed(name.String(), adapter.Demand, d.now)
		}
		d.models = append(d.models, &model)
		d.byName[model.Name] = &model
		d.tallies[model.Name] = newTally()
	}
	slices.SortFunc(d.models, func(a, b *Model) int { return cmp.Compare(a.Name, b.Name) })
}

// persists records a need and reports whether it has lasted for a duration.
func (d *draft) persists(reason Reason, name string, duration time.Duration) bool {
	key := need{reason: reason, name: name}
	since, known := d.planner.needSince[key]
	if !known {
		since = d.now
	}
	d.needSince[key] = since
	return d.now-since >= duration
}

// mayChange reports whether one more server may be changed now.
func (d *draft) mayChange() bool {
	return d.changing < max(d.policy.ChangesAtOnce, 1)
}

// mayLoad reports whether the weight store can serve one more load now.
func (d *draft) mayLoad() bool {
	if !d.mayChange() || d.loading >= max(d.policy.LoadsAtOnce, 1) {
		return false
	}
	return d.planner.storeFreeAt <= d.now+d.policy.LoadAhead
}

// deliveryTime returns how long the weight store takes to deliver one version.
func (p *Policy) deliveryTime() time.Duration {
	if p.WeightStoreRate <= 0 {
		return 0
	}
	return time.Duration(p.WeightsBytes / p.WeightStoreRate * float64(time.Second))
}

// idle reports whether a server may be changed: it has no change in progress and, unless the change
// is urgent, its dwell time is over.
func (d *draft) idle(server *Server, urgent bool) bool {
	return !server.Busy && (urgent || d.now-server.ChangedAt >= d.policy.Dwell)
}

// order adds a change to the plan and applies it to the draft.
func (d *draft) order(server *Server, reason Reason, orders ...Order) {
	loads := false
	d.count(server, -1)
	for _, order := range orders {
		server.apply(order)
		loads = loads || order.Loads()
		if order.Action == ActionLoadModel {
			d.planner.storeFreeAt = max(d.now, d.planner.storeFreeAt) + d.policy.deliveryTime()
		}
	}
	d.count(server, 1)
	server.Busy = true
	server.ChangedAt = d.now
	d.changing++
	if loads {
		d.loading++
	}
	d.changes = append(d.changes, Change{Server: server.Name, Reason: reason, Orders: orders})
}

// apply applies an order to the state of the server.
func (s *Server) apply(order Order) {
	switch order.Action {
	case ActionLoadModel:
		s.LoadingVersions = append(s.LoadingVersions, order.Version)
	case ActionUnloadModel:
		s.Versions = without(s.Versions, order.Version)
		s.LoadingVersions = without(s.LoadingVersions, order.Version)
	case ActionLoadAdapter:
		s.LoadingAdapters = append(s.LoadingAdapters, order.Adapter)
	case ActionUnloadAdapter:
		s.Adapters = without(s.Adapters, order.Adapter)
		s.LoadingAdapters = without(s.LoadingAdapters, order.Adapter)
	case ActionSetRole:
		s.Role = order.Role
	}
}

func without[T comparable](list []T, value T) []T {
	return slices.DeleteFunc(list, func(other T) bool { return other == value })
}
