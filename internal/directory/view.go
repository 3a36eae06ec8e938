package directory

import (
	"slices"
	"sync"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// View is an immutable snapshot of the directory, safe for concurrent use. The returned messages
// must not be modified.
type View struct {
	revision    uint64
	lastRemoval uint64
	// completeSince is the earliest revision since which no entry was removed. Views from it on
	// are compared by the revisions of entries.
	completeSince uint64
	servers       servers
	machines      entries[*rockwindpb.Machine]
	storeCluster  *rockwindpb.FoundRequest

	// serverList and machineList are computed on first use.
	serverList  []*rockwindpb.Server
	machineList []*rockwindpb.Machine
	listing     sync.Once
}

func newView() *View {
	return &View{servers: newServers(), machines: newEntries((*rockwindpb.Machine).GetName)}
}

// Revision returns the number of the last change.
func (v *View) Revision() uint64 { return v.revision }

// Servers lists all entries by identifier, including gone ones. The list is shared and must not
// be modified. Its first use in a view visits all servers; use ChangeFrom to follow changes.
func (v *View) Servers() []*rockwindpb.Server {
	v.listing.Do(v.list)
	return v.serverList
}

func (v *View) list() { v.serverList, v.machineList = v.servers.list(), v.machines.list() }

// Server returns the incarnation with an identifier.
func (v *View) Server(id string) (*rockwindpb.Server, bool) {
	server := v.servers.get(id)
	return server, server != nil
}

// Lost reports whether an incarnation ended without a leave: it is silent or was replaced.
func (v *View) Lost(id string) bool {
	server, known := v.Server(id)
	return v.Replaced(id) || (known && server.GetState() == rockwindpb.ServerState_SERVER_STATE_SILENT)
}

// Replaced reports whether another incarnation took the address of one that was ready. Unlike
// silence, this proves that the earlier one has ended.
func (v *View) Replaced(id string) bool {
	server, known := v.Server(id)
	return known && server.GetState() == rockwindpb.ServerState_SERVER_STATE_GONE && server.GetReplaced()
}

// Absent reports whether an incarnation is gone or silent.
func (v *View) Absent(id string) bool {
	server, known := v.Server(id)
	state := server.GetState()
	return known && (state == rockwindpb.ServerState_SERVER_STATE_GONE || state == rockwindpb.ServerState_SERVER_STATE_SILENT)
}

// Machines lists the machines by name. The list is shared and must not be modified.
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

// Machine returns the machine with a name.
func (v *View) Machine(name string) (*rockwindpb.Machine, bool) {
	machine := v.machines.get(name)
	return machine, machine != nil
}

// HasZone reports whether any machine or server is in a zone.
func (v *View) HasZone(zone string) bool {
	return slices.ContainsFunc(v.Machines(), func(machine *rockwindpb.Machine) bool { return machine.GetZone() == zone }) ||
		slices.ContainsFunc(v.Servers(), func(server *rockwindpb.Server) bool { return server.GetZone() == zone })
}

// StoreCluster returns the founding of the store cluster, nil before it. A nil view has none.
func (v *View) StoreCluster() *rockwindpb.FoundRequest {
	if v == nil {
		return nil
	}
	return v.storeCluster
}

// Since returns the changes for a watcher at the given revision that knows the given store
// cluster. The response is full if entries were removed since, and has no entries if the
// watcher's revision is newer than this view.
func (v *View) Since(revision uint64, storeCluster string) *rockwindpb.WatchDirectoryResponse {
	response := &rockwindpb.WatchDirectoryResponse{Revision: v.revision}
	if revision == v.revision {
		return response
	}
	if v.storeCluster.GetClusterId() != storeCluster {
		response.StoreCluster = v.storeCluster
	}
	if revision > v.revision {
		// This replica lags behind the one that the watcher used before.
		return response
	}
	response.Full = revision == 0 || revision < v.lastRemoval
	if response.Full {
		response.Servers, response.Machines = v.Servers(), v.Machines()
		return response
	}
	response.Servers = slices.Collect(v.servers.since(revision))
	response.Machines = slices.Collect(v.machines.since(revision))
	return response
}

// Merge applies a response to a watcher's view. Gone servers are kept, since later responses do
// not repeat them. It returns previous if the response is not newer.
func Merge(previous *View, response *rockwindpb.WatchDirectoryResponse) *View {
	if previous != nil && response.GetRevision() <= previous.revision {
		return previous
	}
	merged := newView()
	merged.completeSince = response.GetRevision()
	if previous != nil && !response.GetFull() {
		merged.completeSince, merged.servers, merged.machines = previous.completeSince, previous.servers.copy(), previous.machines.copy()
	}
	merged.revision, merged.storeCluster = response.GetRevision(), response.GetStoreCluster()
	if previous != nil && merged.storeCluster == nil {
		merged.storeCluster = previous.storeCluster
	}
	for _, server := range response.GetServers() {
		merged.servers.put(server)
	}
	for _, machine := range response.GetMachines() {
		merged.machines.put(machine)
	}
	return merged
}
