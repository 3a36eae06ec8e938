package router

import (
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/coldstart"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/zonedrain"
)

// Update takes the servers of the directory. Only what is other than in the one before is
// looked at closely: a site's directory holds thousands of servers, of which some change
// many times a second.
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
		d.drop(left)
	}
	for _, server := range change.Servers() {
		d.take(server, before)
	}
	d.nameServers(view, change)
	for name, service := range d.pools {
		service.pool.SetBatchProcesses(d.stores)
		service.pool.SetOnlineProcesses(d.routers)
		service.pool.SetMaxLoadAge(d.viewAge)
		d.serveWaiting(name)
	}
	if !d.Ready() {
		close(d.ready)
	}
}

// SetZoneDrains takes which zones are drained. Servers of a drained zone leave their pools, so that
// no request, item, trial or copy is begun there, and finish what they have.
func (d *Dispatcher) SetZoneDrains(drains *zonedrain.List) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if drains.Revision() == d.drains.Revision() {
		return
	}
	before := d.drains
	d.drains = drains
	if d.view == nil {
		return
	}
	for _, server := range d.view.Servers() {
		cold := coldLeft(server, time.Now())
		if before.Drained(server.GetZone()) {
			cold = max(cold, d.coldTime(server.GetService()))
		}
		d.put(server, cold)
	}
	for name := range d.pools {
		d.serveWaiting(name)
	}
}

// DrainedZones counts the zones that are known to be drained.
func (d *Dispatcher) DrainedZones() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.drains.Drains())
}

// Configure takes the configuration in force.
func (d *Dispatcher) Configure(index *configuration.Index) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.index = index
}

// take has the pool of a server's service know it as the directory describes it. The mutex is
// held.
func (d *Dispatcher) take(server *rockwindpb.Server, before *directory.View) {
	if before != nil {
		if old, known := before.Server(server.GetId()); known && old.GetService() != server.GetService() {
			d.drop(old)
		}
	}
	d.put(server, coldLeft(server, time.Now()))
}

// put has the pool of a server's service know a server that serves, which is cold for the given time,
// and drops any other. The mutex is held.
func (d *Dispatcher) put(server *rockwindpb.Server, cold time.Duration) {
	silent := server.GetState() == rockwindpb.ServerState_SERVER_STATE_SILENT
	serves := silent || server.GetState() == rockwindpb.ServerState_SERVER_STATE_READY
	if !serves || d.drains.Drained(server.GetZone()) {
		d.drop(server)
		return
	}
	member := balance.Member{
		ID: server.GetId(), Address: server.GetAddress(), Zone: server.GetZone(), Slots: int(server.GetSlots()), Silent: silent,
	}
	if rate := d.coldRate(server.GetService()); cold > 0 && rate > 0 {
		member.ColdUntil = d.now() + cold
		member.ColdSpacing, _ = coldstart.Spacing(server.GetId(), d.name, d.processes, rate)
	}
	d.service(server.GetService()).pool.Put(member)
}

// drop takes a server out of the pool of its service. The mutex is held.
func (d *Dispatcher) drop(server *rockwindpb.Server) {
	if service, known := d.pools[server.GetService()]; known {
		service.pool.Drop(server.GetId())
	}
}

// nameServers keeps the short names of all servers of the directory, and of what was left behind
// there. The mutex is held.
func (d *Dispatcher) nameServers(view *directory.View, change directory.Change) {
	news := change.Servers()
	if len(change.Removed()) > 0 {
		// Servers may share a short name.
		d.servers, d.lefts, news = make(map[uint32]struct{}), make(map[uint32]struct{}), view.Servers()
	}
	for _, server := range news {
		d.servers[balance.ServerHash(server.GetId())] = struct{}{}
		d.lefts[balance.LeftBehindHash(server.GetId())] = struct{}{}
	}
}
