// Package placement decides which model versions and adapters each engine holds
// and in which role it runs. It turns a view of the fleet into changes: demand is
// followed with hysteresis, a minimum dwell and a bound on changes at once, no
// change takes a model below its floor of replicas and zones, and loads keep to
// the rate of the weight store. The package is pure: time is an argument.
package placement

import (
	"slices"
	"time"
)

// Role says which requests an engine takes.
type Role string

// The roles, as the engine protocol names them.
const (
	RoleMixed  Role = "mixed"
	RoleOnline Role = "online"
	RoleBatch  Role = "batch"
)

// VersionName names a version of a model.
type VersionName struct {
	Model   string
	Version string
}

// String returns the loadable name, "model@version".
func (v VersionName) String() string { return v.Model + "@" + v.Version }

// AdapterName names an adapter of a model.
type AdapterName struct {
	Model   string
	Adapter string
}

// String returns the loadable name, "model:adapter".
func (a AdapterName) String() string { return a.Model + ":" + a.Adapter }

// View is what is known of the fleet at one moment.
type View struct {
	// Now is the time since an origin of the caller's choice; it must not go
	// backwards.
	Now time.Duration
	// Servers are the engines. Their order does not matter.
	Servers []Server
	// Models are the models of the configuration in force.
	Models []Model
}

// Server is one engine.
type Server struct {
	Name string
	Zone string
	// AllowedModels lists the models that the configuration lets the engine hold.
	AllowedModels []string
	// Slots is the number of versions that fit into the engine's memory.
	Slots int
	// Versions and Adapters are in force now.
	Versions []VersionName
	Adapters []AdapterName
	// LoadingVersions and LoadingAdapters are ordered and not in force yet.
	LoadingVersions []VersionName
	LoadingAdapters []AdapterName
	Role            Role
	// Usable servers are healthy, not leaving, and known well enough to be
	// ordered about. Others count as holding nothing.
	Usable bool
	// Busy servers have a change under way.
	Busy bool
	// ChangedAt is when the last change was ordered or, where that is not known,
	// the earliest time from which changes are known.
	ChangedAt time.Duration
}

// Model is a model of the configuration.
type Model struct {
	Name     string
	Versions []Version
	Adapters []Adapter
	// Demand is the work asked for, in cost units a second: what was served, what
	// was refused for want of servers, and a part of the batch work that waits.
	Demand float64
}

// Version is a version of a model. Weight zero means that it was ended.
type Version struct {
	Name      string
	Weight    uint32
	WeightsID string
}

// Adapter is an adapter of a model. Its demand is part of the model's.
type Adapter struct {
	Name   string
	Demand float64
}

// Action is what an order asks an engine for, as the engine protocol names it.
type Action string

// The actions.
const (
	ActionLoadModel     Action = "load_model"
	ActionUnloadModel   Action = "unload_model"
	ActionLoadAdapter   Action = "load_adapter"
	ActionUnloadAdapter Action = "unload_adapter"
	ActionSetRole       Action = "set_role"
)

// Order is one step of a change, without its fence.
type Order struct {
	Action    Action
	Version   VersionName
	Adapter   AdapterName
	WeightsID string
	Role      Role
}

// Loads tells whether the order reads from the weight store.
func (o Order) Loads() bool {
	return o.Action == ActionLoadModel || o.Action == ActionLoadAdapter
}

// Reason says why a change is made.
type Reason string

// The reasons.
const (
	// ReasonFloor: a model has fewer replicas or zones than its floor.
	ReasonFloor Reason = "floor"
	// ReasonEnded: a version or adapter is not declared any more.
	ReasonEnded Reason = "ended"
	// ReasonWeights: the versions of a model are not held by their weights.
	ReasonWeights Reason = "version_weights"
	// ReasonDemand: another model has more demand for each replica.
	ReasonDemand Reason = "demand"
	// ReasonIdle: the engine holds nothing.
	ReasonIdle Reason = "idle_server"
	// ReasonAdapter: an adapter has too few replicas or too many.
	ReasonAdapter Reason = "adapter"
	// ReasonRole: the engine's role is not the one that policy gives it.
	ReasonRole Reason = "role"
)

// Change is what one server is ordered to do, in order.
type Change struct {
	Server string
	Reason Reason
	Orders []Order
}

// Policy bounds what is changed and how soon.
type Policy struct {
	// FloorReplicas and FloorZones are how many replicas, in how many zones, each
	// model keeps. A model that no more servers may hold than the floor keeps one
	// fewer, so that its versions can be changed at all.
	FloorReplicas int
	FloorZones    int
	// Margin is by which part a model's demand for each replica must exceed what
	// the giving model would have after the move. Above zero a move never
	// justifies the move back.
	Margin float64
	// MinimumPressure is the demand for each replica, in cost units a second,
	// below which a model gets no more replicas for demand.
	MinimumPressure float64
	// Sustain is how long the need for a move must last before the first one.
	Sustain time.Duration
	// FloorSustain is how long a model must lack replicas of its floor.
	FloorSustain time.Duration
	// EndedGrace is how long a version or adapter must be undeclared before it is
	// unloaded.
	EndedGrace time.Duration
	// Dwell is how long a server stays as it is after a change, but for floors and
	// ended versions.
	Dwell time.Duration
	// SmoothingHalfLife is the half-life over which demand is averaged.
	SmoothingHalfLife time.Duration
	// ChangesAtOnce bounds the servers with a change under way, and LoadsAtOnce
	// those that load.
	ChangesAtOnce int
	LoadsAtOnce   int
	// WeightStoreRate is the rate of the weight store in bytes a second, and
	// WeightsBytes the size of a version's weights: a load is ordered only when the
	// store can have delivered those before within LoadAhead. A rate of zero means
	// no such bound.
	WeightStoreRate float64
	WeightsBytes    float64
	// LoadAhead is about the time between two plans, so that the store does not
	// stand still in between.
	LoadAhead time.Duration
	// AdapterReplicas is the least number of a model's replicas that hold each of
	// its adapters.
	AdapterReplicas int
	// OnlineOnlyFraction is the part of a model's replicas whose role is online; the
	// others are mixed.
	OnlineOnlyFraction float64
}

// DefaultPolicy returns the policy that control machines use.
func DefaultPolicy() Policy {
	return Policy{
		FloorReplicas:     2,
		FloorZones:        2,
		Margin:            0.5,
		MinimumPressure:   100,
		Sustain:           20 * time.Second,
		FloorSustain:      10 * time.Second,
		EndedGrace:        30 * time.Second,
		Dwell:             3 * time.Minute,
		SmoothingHalfLife: 20 * time.Second,
		ChangesAtOnce:     4,
		LoadsAtOnce:       2,
		LoadAhead:         10 * time.Second,
		AdapterReplicas:   2,
	}
}

func (s *Server) mayHold(model string) bool { return slices.Contains(s.AllowedModels, model) }

// free returns the number of free slots.
func (s *Server) free() int {
	return max(s.Slots, 1) - len(s.Versions) - len(s.LoadingVersions)
}

// active returns the versions that get traffic.
func (m *Model) active() []Version {
	return slices.DeleteFunc(slices.Clone(m.Versions), func(version Version) bool { return version.Weight == 0 })
}

func (m *Model) version(name string) (Version, bool) {
	for _, version := range m.Versions {
		if version.Name == name && version.Weight > 0 {
			return version, true
		}
	}
	return Version{}, false
}
