package engine

import (
	"slices"
	"strings"
	"time"
)

// Role determines which requests an engine accepts.
type Role string

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

// Action is the type of an order.
type Action string

const (
	ActionLoadModel     Action = "load_model"
	ActionUnloadModel   Action = "unload_model"
	ActionLoadAdapter   Action = "load_adapter"
	ActionUnloadAdapter Action = "unload_adapter"
	ActionSetRole       Action = "set_role"
)

// Order is a command that loads or unloads a model or adapter, or sets the role.
// Its fencing token must be higher than that of the last accepted order.
type Order struct {
	Fence     uint64 `json:"fence"`
	Action    Action `json:"action"`
	Model     string `json:"model,omitempty"`
	Version   string `json:"version,omitempty"`
	Adapter   string `json:"adapter,omitempty"`
	WeightsID string `json:"weights_id,omitempty"`
	Role      Role   `json:"role,omitempty"`
	// WeightsBytes is the size of the weights; zero means the engine's default.
	WeightsBytes int64 `json:"weights_bytes,omitempty"`
	// External means that the caller loads the weights and calls CompleteLoad.
	External bool `json:"-"`
}

// OrderStatus is the result of an order.
type OrderStatus uint8

const (
	// OrderDone: the order has been applied.
	OrderDone OrderStatus = iota
	// OrderLoading: the order was accepted and takes effect when loading completes.
	OrderLoading
	// OrderStale: the fence is not higher than the last accepted one.
	OrderStale
	// OrderInvalid: the action is unknown or its arguments are invalid.
	OrderInvalid
)

// pendingLoad is a load in progress.
type pendingLoad struct {
	fence uint64
	name  string
}

// orderState holds the loaded models and adapters, the role and the last fence.
type orderState struct {
	fence      uint64
	acceptsAll bool
	loaded     []string
	loading    []pendingLoad
	role       Role
	draining   bool
}

func newOrderState(config Config) orderState {
	return orderState{
		acceptsAll: len(config.Loaded) == 0,
		loaded:     slices.Clone(config.Loaded),
		role:       config.Role,
	}
}

// withFence returns the state with the given fence, which an engine keeps across
// restarts.
func (s orderState) withFence(fence uint64) orderState {
	s.fence = fence
	return s
}

// serves reports whether a model, "model@version" or "model:adapter" is loaded.
// Every version of a model serves its unversioned name.
func (s *orderState) serves(model string) bool {
	if s.acceptsAll || slices.Contains(s.loaded, model) {
		return true
	}
	return slices.ContainsFunc(s.loaded, func(name string) bool {
		return strings.HasPrefix(name, model) && strings.HasPrefix(name[len(model):], "@")
	})
}

// weightsName returns the name of what an order loads or unloads, or "" if it is invalid.
func (o Order) weightsName() string {
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
	return o.weightsName() != ""
}

// Order executes an order and returns the last accepted fence and the result.
func (e *Engine) Order(now time.Duration, order Order) (uint64, OrderStatus) {
	if !order.valid() {
		return e.orders.fence, OrderInvalid
	}
	if order.Fence <= e.orders.fence {
		return e.orders.fence, OrderStale
	}
	e.orders.fence = order.Fence
	status := e.execute(now, order)
	e.recordReport(now)
	return order.Fence, status
}

func (e *Engine) execute(now time.Duration, order Order) OrderStatus {
	name := order.weightsName()
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
	loading := pendingLoad{fence: order.Fence, name: name}
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

// CompleteLoad ends an external load; arrived reports whether it succeeded.
func (e *Engine) CompleteLoad(now time.Duration, fence uint64, arrived bool) {
	index := slices.IndexFunc(e.orders.loading, func(other pendingLoad) bool { return other.fence == fence })
	if index < 0 {
		return
	}
	if arrived {
		e.finishLoading(now, e.orders.loading[index])
	} else {
		e.orders.loading = slices.Delete(e.orders.loading, index, index+1)
	}
	e.recordReport(now)
}

// finishLoading marks weights as loaded, unless an unload cancelled the load.
func (e *Engine) finishLoading(now time.Duration, loading pendingLoad) {
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

// unload removes a name and cancels its loads in progress. Load reports share the
// loaded list, so it is replaced and not modified.
func (s *orderState) unload(name string) {
	s.acceptsAll = false
	s.loaded = slices.DeleteFunc(slices.Clone(s.loaded), func(other string) bool { return other == name })
	s.loading = slices.DeleteFunc(s.loading, func(other pendingLoad) bool { return other.name == name })
}

// SetDraining makes the engine refuse new requests, or accept them again.
func (e *Engine) SetDraining(now time.Duration, draining bool) {
	e.orders.draining = draining
	e.recordReport(now)
}

// Draining reports whether the engine refuses new requests.
func (e *Engine) Draining() bool {
	return e.orders.draining
}

// Loaded returns the names of the loaded models and adapters.
func (e *Engine) Loaded() []string {
	return slices.Clone(e.orders.loaded)
}
