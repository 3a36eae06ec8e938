// Package placement plans which model versions and adapters each engine holds and in which role it
// runs. It turns a view of the fleet into changes. Demand is followed with hysteresis, a minimum
// dwell time and a limit on concurrent changes. No change takes a model below its minimum number of
// replicas and zones, and loads do not exceed the rate of the weight store.
package placement

import (
	"slices"
	"time"
)

// Role is the kind of requests that an engine accepts.
type Role string

// The roles of the engine protocol.
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

// String returns the name used by the engine protocol, "model@version".
func (v VersionName) String() string { return v.Model + "@" + v.Version }

// AdapterName names an adapter of a model.
type AdapterName struct {
	Model   string
	Adapter string
}

// String returns the name used by the engine protocol, "model:adapter".
func (a AdapterName) String() string { return a.Model + ":" + a.Adapter }

// View is the state of the fleet at one moment.
type View struct {
	// Now is the time since an arbitrary origin. It must not decrease from one view to the next.
	Now time.Duration
	// Servers are the engines, in any order.
	Servers []Server
	// Models are the models of the current configuration.
	Models []Model
}

// Server is one engine.
type Server struct {
	Name string
	Zone string
	// AllowedModels lists the models that the configuration allows on the engine.
	AllowedModels []string
	// Slots is the number of versions that fit into the engine's memory.
	Slots int
	// Versions and Adapters are loaded.
	Versions []VersionName
	Adapters []AdapterName
	// LoadingVersions and LoadingAdapters are being loaded.
	LoadingVersions []VersionName
	LoadingAdapters []AdapterName
	Role            Role
	// Usable is whether the server is healthy, not leaving, and fully known, so that it may get
	// orders. Other servers count as empty.
	Usable bool
	// Busy is whether the server has a change in progress.
	Busy bool
	// ChangedAt is the time of the last change, or the time since which changes are known if there
	// was none.
	ChangedAt time.Duration
}

// Model is a model of the configuration.
type Model struct {
	Name     string
	Versions []Version
	Adapters []Adapter
	// Demand is the requested work in cost units per second: the served work, the work refused for
	// lack of servers, and a part of the waiting batch work.
	Demand float64
}

// Version is a version of a model. A version of weight zero has been ended and gets no traffic.
type Version struct {
	Name      string
	Weight    uint32
	WeightsID string
}

// Adapter is an adapter of a model. Its demand is included in the model's.
type Adapter struct {
	Name   string
	Demand float64
}

// Action is an action of the engine protocol.
type Action string

const (
	ActionLoadModel     Action = "load_model"
	ActionUnloadModel   Action = "unload_model"
	ActionLoadAdapter   Action = "load_adapter"
	ActionUnloadAdapter Action = "unload_adapter"
	ActionSetRole       Action = "set_role"
)

// Order is one step of a change. Its fence is added when it is sent.
type Order struct {
	Action    Action
	Version   VersionName
	Adapter   AdapterName
	WeightsID string
	Role      Role
}

// Loads reports whether the order reads from the weight store.
func (o Order) Loads() bool {
	return o.Action == ActionLoadModel || o.Action == ActionLoadAdapter
}

// Reason is the reason for a change.
type Reason string

const (
	// ReasonFloor: a model has fewer replicas or zones than the minimum.
	ReasonFloor Reason = "floor"
	// ReasonEnded: a version or adapter is no longer declared.
	ReasonEnded Reason = "ended"
	// ReasonWeights: the replicas of a model do not match the weights of its versions.
	ReasonWeights Reason = "version_weights"
	// ReasonDemand: another model has a higher demand per replica.
	ReasonDemand Reason = "demand"
	// ReasonIdle: the engine is empty.
	ReasonIdle Reason = "idle_server"
	// ReasonAdapter: an adapter has too few or too many replicas.
	ReasonAdapter Reason = "adapter"
	// ReasonRole: the engine's role differs from the one that the policy gives it.
	ReasonRole Reason = "role"
)

// Change is a sequence of orders for one server.
type Change struct {
	Server string
	Reason Reason
	Orders []Order
}

// Policy holds the parameters of a Planner.
type Policy struct {
	// FloorReplicas and FloorZones are the minimum numbers of replicas and of their zones for each
	// model. If only FloorReplicas or fewer servers may hold a model, its minimum is one less than
	// their number, but at least one, so that its versions can be changed.
	FloorReplicas int
	FloorZones    int
	// Margin is the fraction by which a model's demand per replica must exceed the one that the
	// other model would have after giving up a server. With a positive margin a move never
	// justifies the opposite one.
	Margin float64
	// MinimumPressure is the demand per replica, in cost units per second, below which a model gets
	// no more replicas.
	MinimumPressure float64
	// Sustain is how long demand must justify a move before the first one.
	Sustain time.Duration
	// FloorSustain is how long a model must be below the minimum before it gets replicas.
	FloorSustain time.Duration
	// EndedGrace is how long a version or adapter must be undeclared before it is unloaded.
	EndedGrace time.Duration
	// Dwell is the minimum time between two changes of a server, except those for the minimum of
	// replicas and for ended versions.
	Dwell time.Duration
	// SmoothingHalfLife is the half-life of the average of demand.
	SmoothingHalfLife time.Duration
	// ChangesAtOnce bounds the servers with a change in progress, and LoadsAtOnce those that load.
	ChangesAtOnce int
	LoadsAtOnce   int
	// WeightStoreRate is the rate of the weight store in bytes per second, and WeightsBytes the
	// size of the weights of a version. A load is ordered only if the store can deliver the earlier
	// ones within LoadAhead. If the rate is zero, loads are not limited by it.
	WeightStoreRate float64
	WeightsBytes    float64
	// LoadAhead is about the interval between two plans, so that the store is not idle in between.
	LoadAhead time.Duration
	// AdapterReplicas is the minimum number of a model's replicas that hold each of its adapters.
	AdapterReplicas int
	// OnlineOnlyFraction is the fraction of a model's replicas with the role online. The others
	// have the role mixed.
	OnlineOnlyFraction float64
}

// DefaultPolicy returns the default policy of control machines.
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

// free returns the number of unused slots.
func (s *Server) free() int {
	return max(s.Slots, 1) - len(s.Versions) - len(s.LoadingVersions)
}

// active returns the versions with traffic.
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
