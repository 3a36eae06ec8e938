package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Planner makes plans from successive views. It remembers averaged demand, how
// long a need has lasted, and what the weight store has still to deliver. It has one owner.
type Planner struct {
	policy  Policy
	demand  map[string]*average
	lasting map[need]time.Duration
	// storeFreeAt is when the weight store has delivered all loads ordered.
	storeFreeAt time.Duration
}

// need names something that must last before it is acted on.
type need struct {
	reason Reason
	name   string
}

// NewPlanner returns a planner without memory.
func NewPlanner(policy Policy) *Planner {
	return &Planner{policy: policy, demand: make(map[string]*average), lasting: make(map[need]time.Duration)}
}

// average is an exponentially weighted average over time.
type average struct {
	value float64
	at    time.Duration
}

func (a *average) add(value float64, now, halfLife time.Duration) float64 {
	if halfLife <= 0 {
		a.value = value
		return value
	}
	kept := math.Exp2(-float64(now-a.at) / float64(halfLife))
	a.value = a.value*kept + value*(1-kept)
	a.at = now
	return a.value
}

// smoothed averages the demand of a name; the first value counts as it is.
func (p *Planner) smoothed(name string, demand float64, now time.Duration) float64 {
	held, known := p.demand[name]
	if !known {
		p.demand[name] = &average{value: demand, at: now}
		return demand
	}
	return held.add(demand, now, p.policy.SmoothingHalfLife)
}

// Demand returns the averaged demand of a model, in cost units a second.
func (p *Planner) Demand(model string) float64 {
	if held := p.demand[model]; held != nil {
		return held.value
	}
	return 0
}

// Plan returns the changes to order now. The view must hold the changes that were
// ordered before: servers with a change under way are busy and name what they
// load, and what they unload is gone from what they hold.
func (p *Planner) Plan(view View) []Change {
	d := p.draft(view)
	d.unloadEnded()
	d.keepFloors()
	d.balanceVersions()
	d.followDemand()
	d.placeAdapters()
	d.setRoles()
	p.lasting = d.lasting
	return d.changes
}

// draft is a plan in the making. Servers and models are copies in the order of
// their names; each change is worked into them at once.
type draft struct {
	planner *Planner
	policy  *Policy
	now     time.Duration
	servers []*Server
	models  []*Model
	byName  map[string]*Model
	tallies map[string]*tally
	// lasting holds the needs found in this plan and since when they last.
	lasting map[need]time.Duration
	// under and loading count the changes and loads under way.
	under   int
	loading int
	changes []Change
}

func (p *Planner) draft(view View) *draft {
	d := &draft{
		planner: p, policy: &p.policy, now: view.Now, lasting: make(map[need]time.Duration),
		byName: make(map[string]*Model), tallies: make(map[string]*tally),
	}
	d.takeModels(view.Models)
	d.takeServers(view.Servers)
	return d
}

// takeServers copies the usable servers and counts what is under way on all.
func (d *draft) takeServers(servers []Server) {
	for index := range servers {
		server := servers[index]
		server.Versions = slices.Clone(server.Versions)
		server.Adapters = slices.Clone(server.Adapters)
		server.LoadingVersions = slices.Clone(server.LoadingVersions)
		server.LoadingAdapters = slices.Clone(server.LoadingAdapters)
		if server.Busy {
			d.under++
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

// takeModels copies the models with their averaged demand.
func (d *draft) takeModels(models []Model) {
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

// lasted notes a need and tells whether it has lasted long enough.
func (d *draft) lasted(reason Reason, name string, long time.Duration) bool {
	key := need{reason: reason, name: name}
	since, known := d.planner.lasting[key]
	if !known {
		since = d.now
	}
	d.lasting[key] = since
	return d.now-since >= long
}

// mayChange tells whether one more server may be changed now.
func (d *draft) mayChange() bool {
	return d.under < max(d.policy.ChangesAtOnce, 1)
}

// mayLoad tells whether the weight store can take one more load now.
func (d *draft) mayLoad() bool {
	if !d.mayChange() || d.loading >= max(d.policy.LoadsAtOnce, 1) {
		return false
	}
	return d.planner.storeFreeAt <= d.now+d.policy.LoadAhead
}

// delivery is how long the weight store takes for a version, if it serves nobody
// else.
func (p *Policy) delivery() time.Duration {
	if p.WeightStoreRate <= 0 {
		return 0
	}
	return time.Duration(p.WeightsBytes / p.WeightStoreRate * float64(time.Second))
}

// idle tells whether a server may be changed: nothing is under way there and,
// unless urgent, its dwell is over.
func (d *draft) idle(server *Server, urgent bool) bool {
	return !server.Busy && (urgent || d.now-server.ChangedAt >= d.policy.Dwell)
}

// order adds a change and works it into the draft.
func (d *draft) order(server *Server, reason Reason, orders ...Order) {
	loads := false
	d.count(server, -1)
	for _, order := range orders {
		server.apply(order)
		loads = loads || order.Loads()
		if order.Action == ActionLoadModel {
			d.planner.storeFreeAt = max(d.now, d.planner.storeFreeAt) + d.policy.delivery()
		}
	}
	d.count(server, 1)
	server.Busy = true
	server.ChangedAt = d.now
	d.under++
	if loads {
		d.loading++
	}
	d.changes = append(d.changes, Change{Server: server.Name, Reason: reason, Orders: orders})
}

// apply works an accepted order into what is known of the server.
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
