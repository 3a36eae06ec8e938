package directory

import (
	"slices"
	"sync"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// View is the directory at one moment. It is immutable and may be used by any
// goroutine; the messages that it returns must not be changed.
type View struct {
	revision uint64
	dropped  uint64
	// whole is the revision since which no entry left without a trace: a view since then is
	// told apart by the revisions of the entries.
	whole        uint64
	servers      servers
	machines     entries[*rockwindpb.Machine]
	storeCluster *rockwindpb.FoundRequest

	// serverList and machineList are made once somebody asks for them.
	serverList  []*rockwindpb.Server
	machineList []*rockwindpb.Machine
	listing     sync.Once
}

// newView returns an empty view.
func newView() *View {
	return &View{servers: newServers(), machines: newEntries((*rockwindpb.Machine).GetName)}
}

// Revision is the number of the last change.
func (v *View) Revision() uint64 { return v.revision }

// Servers lists all entries by identifier, those of servers that left too. All callers share
// the list, which must not be changed. It costs a look at each server once a view: who follows
// changes uses ChangeFrom.
func (v *View) Servers() []*rockwindpb.Server {
	v.listing.Do(v.list)
	return v.serverList
}

func (v *View) list() { v.serverList, v.machineList = v.servers.list(), v.machines.list() }

// Server finds an incarnation by its identifier.
func (v *View) Server(id string) (*rockwindpb.Server, bool) {
	server := v.servers.get(id)
	return server, server != nil
}

// Lost tells whether an incarnation ended without having said that it leaves: it is silent,
// or another one was found at its address while it was ready.
func (v *View) Lost(id string) bool {
	server, known := v.Server(id)
	return v.Replaced(id) || (known && server.GetState() == rockwindpb.ServerState_SERVER_STATE_SILENT)
}

// Replaced tells whether another incarnation has the address of one that was ready: that one
// has ended for certain, which its silence does not show.
func (v *View) Replaced(id string) bool {
	server, known := v.Server(id)
	return known && server.GetState() == rockwindpb.ServerState_SERVER_STATE_GONE && server.GetReplaced()
}

// Absent tells whether an incarnation is gone, or is silent.
func (v *View) Absent(id string) bool {
	server, known := v.Server(id)
	state := server.GetState()
	return known && (state == rockwindpb.ServerState_SERVER_STATE_GONE || state == rockwindpb.ServerState_SERVER_STATE_SILENT)
}

// Machines lists the machines by name. All callers share the list, which must not be changed.
func (v *View) Machines() []*rockwindpb.Machine {
	v.listing.Do(v.list)
	return v.machineList
}

// WithRole lists the machines of a role by name. A nil view has none.
func (v *View) WithRole(role rockwindpb.SiteRole) []*rockwindpb.Machine {
	if v == nil {
		return nil
	}
	var found []*rockwindpb.Machine
	for _, machine := range v.Machines() {
		if machine.GetRole() == role {
			found = append(found, machine)
		}
	}
	return found
}

// Machine finds a machine by name.
func (v *View) Machine(name string) (*rockwindpb.Machine, bool) {
	machine := v.machines.get(name)
	return machine, machine != nil
}

// HasZone tells whether a machine or a server is in a zone.
func (v *View) HasZone(zone string) bool {
	return slices.ContainsFunc(v.Machines(), func(machine *rockwindpb.Machine) bool { return machine.GetZone() == zone }) ||
		slices.ContainsFunc(v.Servers(), func(server *rockwindpb.Server) bool { return server.GetZone() == zone })
}

// StoreCluster is the founding of the stores' cluster, nil before it is decided.
func (v *View) StoreCluster() *rockwindpb.FoundRequest { return v.storeCluster }

// Since returns what a watcher at the given revision, which knows the given store
// cluster, lacks. It is everything where entries were dropped meanwhile, and nothing where the
// watcher knows more than this view.
func (v *View) Since(revision uint64, storeCluster string) *rockwindpb.WatchDirectoryResponse {
	response := &rockwindpb.WatchDirectoryResponse{Revision: v.revision}
	if revision == v.revision {
		return response
	}
	if v.storeCluster.GetClusterId() != storeCluster {
		response.StoreCluster = v.storeCluster
	}
	if revision > v.revision {
		// This replica is behind the one that told the watcher more, which would not take what is older.
		return response
	}
	response.Full = revision == 0 || revision < v.dropped
	if response.Full {
		response.Servers, response.Machines = v.Servers(), v.Machines()
		return response
	}
	response.Servers = slices.Collect(v.servers.since(revision))
	response.Machines = slices.Collect(v.machines.since(revision))
	return response
}

// Merge returns a watcher's copy after a response. Gone servers stay in it, so
// that a later response tells nothing about them again. It returns its argument
// where the response holds an older revision than the copy.
func Merge(held *View, response *rockwindpb.WatchDirectoryResponse) *View {
	if held != nil && response.GetRevision() <= held.revision {
		return held
	}
	merged := newView()
	merged.whole = response.GetRevision()
	if held != nil && !response.GetFull() {
		merged.whole, merged.servers, merged.machines = held.whole, held.servers.copy(), held.machines.copy()
	}
	merged.revision, merged.storeCluster = response.GetRevision(), response.GetStoreCluster()
	if held != nil && merged.storeCluster == nil {
		merged.storeCluster = held.storeCluster
	}
	for _, server := range response.GetServers() {
		merged.servers.put(server)
	}
	for _, machine := range response.GetMachines() {
		merged.machines.put(machine)
	}
	return merged
}
