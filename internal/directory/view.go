package directory

import (
	"slices"
	"sync"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// View is the directory at one moment. It is immutable and may be used by any
// goroutine; the messages that it returns must not be changed.
type View struct {
	revision     uint64
	dropped      uint64
	servers      map[string]*rockwindpb.Server
	machines     map[string]*rockwindpb.Machine
	storeCluster *rockwindpb.FoundRequest

	// sorted holds the servers by identifier, once somebody has asked for them.
	sorted  []*rockwindpb.Server
	sorting sync.Once

	// counts is filled in once somebody asks whether a server has ended.
	counts   counts
	counting sync.Once
}

// Revision is the number of the last change.
func (v *View) Revision() uint64 { return v.revision }

// Servers lists all entries by identifier, those of servers that left too. All callers share
// the list, which must not be changed: each watcher is told from it what is new, and sorting
// 3,000 servers takes 0.6 ms.
func (v *View) Servers() []*rockwindpb.Server {
	v.sorting.Do(func() { v.sorted = sortedServers(v.servers) })
	return v.sorted
}

// Server finds an incarnation by its identifier.
func (v *View) Server(id string) (*rockwindpb.Server, bool) {
	server, found := v.servers[id]
	return server, found
}

// Ended tells whether an incarnation ended without having said that it leaves: it is silent,
// or another one was found at its address while it was ready.
func (v *View) Ended(id string) bool {
	server, known := v.servers[id]
	return v.Replaced(id) || (known && server.GetState() == rockwindpb.ServerState_SERVER_STATE_SILENT)
}

// Replaced tells whether another incarnation has the address of one that was ready: that one
// has ended for certain, which its silence does not show.
func (v *View) Replaced(id string) bool {
	server, known := v.servers[id]
	return known && server.GetState() == rockwindpb.ServerState_SERVER_STATE_GONE && server.GetReplaced()
}

// Absent tells whether an incarnation is gone, or is silent.
func (v *View) Absent(id string) bool {
	server, known := v.servers[id]
	state := server.GetState()
	return known && (state == rockwindpb.ServerState_SERVER_STATE_GONE || state == rockwindpb.ServerState_SERVER_STATE_SILENT)
}

// Machines lists the machines by name.
func (v *View) Machines() []*rockwindpb.Machine { return sortedMachines(v.machines) }

// WithRole lists the machines of a role by name. A nil view has none.
func (v *View) WithRole(role rockwindpb.SiteRole) []*rockwindpb.Machine {
	if v == nil {
		return nil
	}
	return slices.DeleteFunc(v.Machines(), func(machine *rockwindpb.Machine) bool { return machine.GetRole() != role })
}

// Machine finds a machine by name.
func (v *View) Machine(name string) (*rockwindpb.Machine, bool) {
	machine, found := v.machines[name]
	return machine, found
}

// HasZone tells whether a machine or a server is in a zone.
func (v *View) HasZone(zone string) bool {
	for _, machine := range v.machines {
		if machine.GetZone() == zone {
			return true
		}
	}
	for _, server := range v.servers {
		if server.GetZone() == zone {
			return true
		}
	}
	return false
}

// StoreCluster is the founding of the stores' cluster, nil before it is decided.
func (v *View) StoreCluster() *rockwindpb.FoundRequest { return v.storeCluster }

// Since returns what a watcher at the given revision, which knows the given store
// cluster, lacks. It is everything where entries were dropped meanwhile, or where the
// watcher's revision is not of this directory.
func (v *View) Since(revision uint64, storeCluster string) *rockwindpb.WatchDirectoryResponse {
	response := &rockwindpb.WatchDirectoryResponse{Revision: v.revision}
	if revision == v.revision {
		return response
	}
	if v.storeCluster.GetClusterId() != storeCluster {
		response.StoreCluster = v.storeCluster
	}
	response.Full = revision == 0 || revision < v.dropped || revision > v.revision
	for _, server := range v.Servers() {
		if response.Full || server.GetRevision() > revision {
			response.Servers = append(response.Servers, server)
		}
	}
	for _, machine := range v.Machines() {
		if response.Full || machine.GetRevision() > revision {
			response.Machines = append(response.Machines, machine)
		}
	}
	return response
}

// Merge returns a watcher's copy after a response. Gone servers stay in it, so
// that a later response tells nothing about them again. It returns its argument
// where the response holds an older revision than the copy.
func Merge(held *View, response *rockwindpb.WatchDirectoryResponse) *View {
	if held != nil && response.GetRevision() <= held.revision {
		return held
	}
	merged := &View{
		storeCluster: response.GetStoreCluster(),

		revision: response.GetRevision(),
		servers:  make(map[string]*rockwindpb.Server),
		machines: make(map[string]*rockwindpb.Machine),
	}
	if held != nil && merged.storeCluster == nil {
		merged.storeCluster = held.storeCluster
	}
	if held != nil && !response.GetFull() {
		for id, server := range held.servers {
			merged.servers[id] = server
		}
		for name, machine := range held.machines {
			merged.machines[name] = machine
		}
	}
	for _, server := range response.GetServers() {
		merged.servers[server.GetId()] = server
	}
	for _, machine := range response.GetMachines() {
		merged.machines[machine.GetName()] = machine
	}
	return merged
}
