package engine

import (
	"slices"
	"strings"
	"time"
)

// Role says which requests an engine takes.
type Role string

// The roles.
const (
	RoleMixed  Role = "mixed"
	RoleOnline Role = "online"
	RoleBatch  Role = "batch"
)

func (r Role) admits(priority int) bool {
	switch r {
	case RoleOnline:
		return priority < PriorityBatch
	case RoleBatch:
		return priority >= PriorityBatch
	default:
		return true
	}
}

// Action is what an order asks for.
type Action string

// The actions.
const (
	ActionLoadModel     Action = "load_model"
	ActionUnloadModel   Action = "unload_model"
	ActionLoadAdapter   Action = "load_adapter"
	ActionUnloadAdapter Action = "unload_adapter"
	ActionSetRole       Action = "set_role"
)

// Order changes what an engine has loaded, or its role. Orders carry a rising
// fence; one that is not above the last is refused.
type Order struct {
	Fence     uint64 `json:"fence"`
	Action    Action `json:"action"`
	Model     string `json:"model,omitempty"`
	Version   string `json:"version,omitempty"`
	Adapter   string `json:"adapter,omitempty"`
	WeightsID string `json:"weights_id,omitempty"`
	Role      Role   `json:"role,omitempty"`
	// WeightsBytes is the size of the weights; zero takes the engine's default.
	WeightsBytes int64 `json:"weights_bytes,omitempty"`
	// External leaves the loading to the caller, who ends it with CompleteLoad.
	External bool `json:"-"`
}

// OrderStatus tells what became of an order.
type OrderStatus uint8

// The outcomes of an order.
const (
	// OrderDone: the order is in force.
	OrderDone OrderStatus = iota
	// OrderLoading: accepted; it is in force when loading is done.
	OrderLoading
	// OrderStale: the fence was not above the last accepted one.
	OrderStale
	// OrderInvalid: the action or its names are wrong.
	OrderInvalid
)

// loadingOrder is a load in progress.
type loadingOrder struct {
	fence uint64
	name  string
}

// orderState is what is loaded and which role is in force.
type orderState struct {
	fence    uint64
	any      bool
	loaded   []string
	loading  []loadingOrder
	role     Role
	draining bool
}

func newOrderState(config Config) orderState {
	return orderState{
		any:    len(config.Loaded) == 0,
		loaded: slices.Clone(config.Loaded),
		role:   config.Role,
	}
}

// withFence returns the state with the fence of an earlier one: an engine keeps
// it over a restart.
func (s orderState) withFence(fence uint64) orderState {
	s.fence = fence
	return s
}

// serves tells whether a model, "model@version" or "model:adapter" is loaded.
// A plain name is served by every version of the model.
func (s *orderState) serves(model string) bool {
	if s.any || slices.Contains(s.loaded, model) {
		return true
	}
	return slices.ContainsFunc(s.loaded, func(name string) bool {
		return strings.HasPrefix(name, model) && strings.HasPrefix(name[len(model):], "@")
	})
}

// name returns what an order loads or unloads, empty for none.
func (o Order) name() string {
	switch o.Action {
	case ActionLoadModel, ActionUnloadModel:
		if o.Model == "" || o.Version == "" {
			return o.Model
		}
		return o.Model + "@" + o.Version
	case ActionLoadAdapter, ActionUnloadAdapter:
		if o.Model == "" || o.Adapter == "" {
			return ""
		}
		return o.Model + ":" + o.Adapter
	default:
		return ""
	}
}

func (o Order) valid() bool {
	if o.Action == ActionSetRole {
		return o.Role == RoleMixed || o.Role == RoleOnline || o.Role == RoleBatch
	}
	return o.name() != ""
}

// Order executes an order and returns the last accepted fence.
func (e *Engine) Order(now time.Duration, order Order) (uint64, OrderStatus) {
	if !order.valid() {
		return e.orders.fence, OrderInvalid
	}
	if order.Fence <= e.orders.fence {
		return e.orders.fence, OrderStale
	}
	e.orders.fence = order.Fence
	status := e.execute(now, order)
	e.record(now)
	return order.Fence, status
}

func (e *Engine) execute(now time.Duration, order Order) OrderStatus {
	name := order.name()
	switch order.Action {
	case ActionSetRole:
		e.orders.role = order.Role
		return OrderDone
	case ActionUnloadModel, ActionUnloadAdapter:
		e.orders.unload(name)
		return OrderDone
	}
	if slices.Contains(e.orders.loaded, name) {
		return OrderDone
	}
	loading := loadingOrder{fence: order.Fence, name: name}
	e.orders.loading = append(e.orders.loading, loading)
	if !order.External {
		e.timers.add(timer{at: now + e.loadTime(order), kind: timerLoaded, loading: loading})
	}
	return OrderLoading
}

func (e *Engine) loadTime(order Order) time.Duration {
	size := order.WeightsBytes
	if size <= 0 {
		size = e.config.WeightsBytes
	}
	if e.config.WeightsRate <= 0 {
		return 0
	}
	return time.Duration(float64(size) / e.config.WeightsRate * float64(time.Second))
}

// CompleteLoad ends an external load: the weights arrived, or could not be had.
func (e *Engine) CompleteLoad(now time.Duration, fence uint64, arrived bool) {
	index := slices.IndexFunc(e.orders.loading, func(other loadingOrder) bool { return other.fence == fence })
	if index < 0 {
		return
	}
	if arrived {
		e.finishLoading(now, e.orders.loading[index])
	} else {
		e.orders.loading = slices.Delete(e.orders.loading, index, index+1)
	}
	e.record(now)
}

// finishLoading puts a load in force unless an unload came between.
func (e *Engine) finishLoading(now time.Duration, loading loadingOrder) {
	index := slices.Index(e.orders.loading, loading)
	if index < 0 {
		return
	}
	e.orders.loading = slices.Delete(e.orders.loading, index, index+1)
	if !slices.Contains(e.orders.loaded, loading.name) {
		e.orders.loaded = append(slices.Clone(e.orders.loaded), loading.name)
	}
	e.pending = append(e.pending, Event{Kind: EventLoaded, ID: loading.name, At: now})
}

// unload takes a name off what is loaded; the lists are shared with reports and
// are replaced rather than changed.
func (s *orderState) unload(name string) {
	s.any = false
	s.loaded = slices.DeleteFunc(slices.Clone(s.loaded), func(other string) bool { return other == name })
	s.loading = slices.DeleteFunc(s.loading, func(other loadingOrder) bool { return other.name == name })
}

// SetDraining makes the engine refuse new requests, or take them again.
func (e *Engine) SetDraining(now time.Duration, draining bool) {
	e.orders.draining = draining
	e.record(now)
}

// Draining tells whether the engine refuses new requests.
func (e *Engine) Draining() bool {
	return e.orders.draining
}

// Loaded returns the names of what is loaded; empty accepts every model.
func (e *Engine) Loaded() []string {
	return slices.Clone(e.orders.loaded)
}
