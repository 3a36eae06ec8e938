package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// MachineState is the state of a machine in the platform's machine list.
type MachineState string

// A machine in the state MachineGone is not listed.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
	MachineGone    MachineState = "gone"
)

// Machine is one entry of the platform's machine list.
type Machine struct {
	Address string       `json:"address"`
	State   MachineState `json:"state"`
}

// MachineList is the body of GET /machines.
type MachineList struct {
	Machines []Machine `json:"machines"`
}

// machineChange is a state change that becomes visible at a given time.
type machineChange struct {
	machine Machine
	visible time.Time
}

// Platform is a machine list that shows changes with a delay.
type Platform struct {
	lag     time.Duration
	lock    sync.Mutex
	list    []Machine
	changes []machineChange
}

// NewPlatform returns a platform whose machine list shows changes after lag.
func NewPlatform(lag time.Duration) *Platform {
	return &Platform{lag: lag}
}

// Change records a new state of a machine.
func (p *Platform) Change(machine Machine) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.changes = append(p.changes, machineChange{machine: machine, visible: time.Now().Add(p.lag)})
}

// Machines returns the machine list as currently visible.
func (p *Platform) Machines() MachineList {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := time.Now()
	for len(p.changes) > 0 && !p.changes[0].visible.After(now) {
		p.apply(p.changes[0].machine)
		p.changes = p.changes[1:]
	}
	return MachineList{Machines: append([]Machine{}, p.list...)}
}

func (p *Platform) apply(machine Machine) {
	p.list = slices.DeleteFunc(p.list, func(other Machine) bool { return other.Address == machine.Address })
	if machine.State != MachineGone {
		p.list = append(p.list, machine)
	}
}

// Handler returns the HTTP handler of the platform. POST /machines changes one
// machine.
func (p *Platform) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	router.Get("/machines", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, p.Machines())
	})
	router.Post("/machines", func(writer http.ResponseWriter, request *http.Request) {
		var machine Machine
		if !readJSON(writer, request, &machine) {
			return
		}
		p.Change(machine)
		writeJSON(writer, http.StatusOK, machine)
	})
	return router
}

// PlatformCommand implements `rockwind-bench platform`.
type PlatformCommand struct {
	ServerFlags
	Lag  time.Duration `help:"How late the list shows a change." default:"2s"`
	Live []string      `help:"Machines that are live at the start, ip:port."`
}

// Run serves the platform until the process receives a signal.
func (c *PlatformCommand) Run() error {
	platform := NewPlatform(c.Lag)
	for _, address := range c.Live {
		platform.apply(Machine{Address: address, State: MachineLive})
	}
	return c.serve(platform.Handler())
}
