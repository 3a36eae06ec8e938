package router

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/zonedrain"
)

// Update applies a new directory. Only changes are processed: a directory may hold thousands of
// servers and change many times a second.
func (d *Dispatcher) Update(view *directory.View) {
	d.mutex.Lock()
	before := d.view
	d.mutex.Unlock()
	change := directory.Change{}
	if view != before {
		change = view.ChangeFrom(before)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.view = view
	if change.MachinesChanged() || before == nil {
		d.setPeers(view)
	}
	for _, left := range change.Removed() {
		d.dropServer(left)
	}
	for _, server := range change.Servers() {
		d.recordVersions(server)
		d.applyServer(server, before)
	}
	d.announceMixed()
	d.updateServerHashes(view, change)
	d.updateColdSpacings(change.MachinesChanged())
	for name, service := range d.pools {
		service.pool.SetBatchProcesses(d.storeCount)
		service.pool.SetOnlineProcesses(d.routerCount)
		service.pool.SetMaxLoadAge(d.maxLoadAge)
		service.pool.SetMaxRegionLoadAge(d.maxRegionLoadAge)
		d.serveWaiting(name)
	}
	if !d.Ready() {
		close(d.ready)
	}
	close(d.updated)
	d.updated = make(chan struct{})
}

// AwaitRevision waits until the dispatcher has a directory of at least a revision. It returns false if the context ends
// first.
func (d *Dispatcher) AwaitRevision(ctx context.Context, revision uint64) bool {
	for {
		d.mutex.Lock()
		current, updated := d.view != nil && d.view.Revision() >= revision, d.updated
		d.mutex.Unlock()
		if current {
			return true
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return false
		}
	}
}

// SetZoneDrains sets the drained zones, unless it has newer ones. Servers of a drained zone leave their pools, so that no
// request, batch item, trial or run copy starts there; running work finishes.
func (d *Dispatcher) SetZoneDrains(drains *zonedrain.List) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if drains.Revision() <= d.zoneDrains.Revision() {
		return
	}
	before := d.zoneDrains
	d.zoneDrains = drains
	if d.view == nil {
		return
	}
	for _, server := range d.view.Servers() {
		cold := d.coldRemaining(server, time.Now())
		if before.Drained(server.GetZone()) {
			cold = max(cold, d.defaultColdTime(server.GetService()))
		}
		d.putServer(server, cold)
	}
	for name := range d.pools {
		d.serveWaiting(name)
	}
}

// DrainedZones counts the drained zones.
func (d *Dispatcher) DrainedZones() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.zoneDrains.Drains())
}

// Configure sets the configuration in force.
func (d *Dispatcher) Configure(index *configuration.Index) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if index == d.index {
		return
	}
	d.index = index
	d.updateRegions()
}

// applyServer updates the pools from a directory entry, which may have moved to another service.
// The caller holds d.mutex.
func (d *Dispatcher) applyServer(server *rockwindpb.Server, before *directory.View) {
	if before != nil {
		if old, known := before.Server(server.GetId()); known && old.GetService() != server.GetService() {
			d.dropServer(old)
		}
	}
	d.putServer(server, d.coldRemaining(server, time.Now()))
}

// putServer adds or updates a server in the pool of its service, cold for the given time, or
// removes it if it does not serve. The caller holds d.mutex.
func (d *Dispatcher) putServer(server *rockwindpb.Server, cold time.Duration) {
	silent := server.GetState() == rockwindpb.ServerState_SERVER_STATE_SILENT
	serves := silent || server.GetState() == rockwindpb.ServerState_SERVER_STATE_READY
	if serves && d.zoneDrains.Drained(server.GetZone()) {
		d.poolOf(server.GetService()).versions.left(server.GetVersion(), d.now())
		serves = false
	}
	if !serves {
		d.dropServer(server)
		return
	}
	member := balance.Member{
		ID: server.GetId(), Address: server.GetAddress(), Zone: server.GetZone(),
		Region: d.topology.Region(server.GetZone()), Version: server.GetVersion(), Slots: int(server.GetSlots()), Silent: silent,
	}
	d.setCold(server, &member, cold)
	d.poolOf(server.GetService()).pool.Put(member)
}

// dropServer removes a server from the pool of its service. The caller holds d.mutex.
func (d *Dispatcher) dropServer(server *rockwindpb.Server) {
	delete(d.coldUntil, server.GetId())
	service, known := d.pools[server.GetService()]
	if !known {
		return
	}
	if service.pool.Has(server.GetId()) {
		service.versions.left(server.GetVersion(), d.now())
	}
	service.pool.Drop(server.GetId())
}

// updateServerHashes updates the hashes of all servers of the directory and of the requests left
// behind there. The caller holds d.mutex.
func (d *Dispatcher) updateServerHashes(view *directory.View, change directory.Change) {
	added := change.Servers()
	if len(change.Removed()) > 0 {
		// Several servers may have the same hash, so a removal rebuilds the sets.
		d.serverHashes, d.orphanHashes, added = make(map[uint32]struct{}), make(map[uint32]struct{}), view.Servers()
	}
	d.updateAddressZones(added, len(change.Removed()) > 0)
	for _, server := range added {
		d.serverHashes[balance.ServerHash(server.GetId())] = struct{}{}
		d.orphanHashes[balance.OrphanHash(server.GetId())] = struct{}{}
	}
}
