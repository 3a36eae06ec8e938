package router

import (
	"context"
	"net/netip"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// ShareLoads tells the other routers and stores what this process has at servers, and
// takes what they tell, until the context ends. The settings give the address; a
// process without one shares nothing.
func (d *Dispatcher) ShareLoads(ctx context.Context, settings *rockwindpb.SiteSettings) error {
	if settings.GetInternalListen() == "" {
		<-ctx.Done()
		return nil
	}
	sharer, err := loadshare.Open(settings.GetName(), settings.GetInternalListen())
	if err != nil {
		return err
	}
	d.mutex.Lock()
	d.sharer, d.name = sharer, settings.GetName()
	if d.view != nil {
		d.setPeers(d.view)
	}
	d.mutex.Unlock()
	return sharer.Run(ctx, loadSource{d})
}

// LoadTraffic tells what this process has sent of load digests since its start.
func (d *Dispatcher) LoadTraffic() loadshare.Traffic {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.sharer == nil {
		return loadshare.Traffic{}
	}
	return d.sharer.Traffic()
}

// loadSource gives the sharer what the dispatcher knows.
type loadSource struct{ dispatcher *Dispatcher }

var _ loadshare.Source = loadSource{}

// Own implements loadshare.Source.
func (s loadSource) Own() *rockwindpb.LoadDigest {
	s.dispatcher.mutex.Lock()
	defer s.dispatcher.mutex.Unlock()
	return loadshare.NewDigest(s.dispatcher.ownLoads())
}

// Sum implements loadshare.Source.
func (s loadSource) Sum(names []string) *rockwindpb.LoadDigest {
	s.dispatcher.mutex.Lock()
	defer s.dispatcher.mutex.Unlock()
	return loadshare.SumDigest(s.dispatcher.shares, names, s.dispatcher.ownLoads())
}

// SumOtherGroups implements loadshare.Source.
func (s loadSource) SumOtherGroups(group string) *rockwindpb.LoadDigest {
	s.dispatcher.mutex.Lock()
	defer s.dispatcher.mutex.Unlock()
	return loadshare.NewDigest(s.dispatcher.shares.SumOtherGroups(group))
}

// Heard implements loadshare.Source.
func (s loadSource) Heard(name string) bool {
	s.dispatcher.mutex.Lock()
	defer s.dispatcher.mutex.Unlock()
	return s.dispatcher.shares.Heard(name, s.dispatcher.now())
}

// DropPriority implements loadshare.Source. What is not known here is taken for a tenant.
func (s loadSource) DropPriority(hash uint32) loadshare.DropPriority {
	s.dispatcher.mutex.Lock()
	defer s.dispatcher.mutex.Unlock()
	if s.dispatcher.names(hash) {
		return loadshare.NeverDrop
	}
	if _, isLeft := s.dispatcher.lefts[hash]; isLeft {
		return loadshare.DropFirst
	}
	return loadshare.DropSecond
}

// names tells whether a hash is that of a server, of a queue, or of a class. The mutex is held.
func (d *Dispatcher) names(hash uint32) bool {
	if _, isServer := d.servers[hash]; isServer {
		return true
	}
	for name, pool := range d.pools {
		if hash == balance.QueueHash(name) {
			return true
		}
		for _, class := range pool.classes {
			if hash == balance.QueueHash(class.name) {
				return true
			}
		}
	}
	return false
}

// Take implements loadshare.Source.
func (s loadSource) Take(digest *rockwindpb.LoadDigest) {
	s.dispatcher.takeLoads(digest, loadshare.Loads(digest))
}

// ownLoads is what this process has at servers and in its queues, by their hashes. Where two
// have the same hash, it is what both have together.
func (d *Dispatcher) ownLoads() map[uint32]balance.SharedLoad {
	loads := make(map[uint32]balance.SharedLoad)
	add := func(hash uint32, load balance.SharedLoad) { loads[hash] = loads[hash].Plus(load) }
	for _, pool := range d.pools {
		pool.pool.OwnLoads(d.now(), add)
		pool.queued(time.Now(), d.now(), add)
	}
	d.batchLoads(add)
	d.shares.OwnLeftBehind(add)
	return loads
}

func (d *Dispatcher) takeLoads(digest *rockwindpb.LoadDigest, loads map[uint32]balance.SharedLoad) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	loadshare.ApplyDigest(d.shares, digest, loads, d.now())
	pressed := false
	for service, pool := range d.pools {
		if pool.waiting.Len() > 0 {
			d.serveWaiting(service)
		}
		pressed = pressed || loads[balance.QueueHash(service)].Inflight > 0
	}
	if !pressed {
		return
	}
	d.press()
	if digest.GetGroup() == "" && d.sharer != nil {
		d.sharer.TriggerForward()
	}
}

// Ranks of the processes in their groups: stores have the larger processors, so
// they are the delegates where a group has one.
const (
	storeRank  = 0
	routerRank = 1
)

// setPeers tells the sharer which processes there are.
func (d *Dispatcher) setPeers(view *directory.View) {
	if d.sharer == nil {
		return
	}
	var members []loadshare.Member
	d.stores, d.routers, d.processes = 0, 0, nil
	for _, machine := range view.Machines() {
		rank := routerRank
		switch machine.GetRole() {
		case rockwindpb.SiteRole_SITE_ROLE_STORE:
			rank = storeRank
			d.stores++
		case rockwindpb.SiteRole_SITE_ROLE_ROUTER:
			d.routers++
		default:
			continue
		}
		d.processes = append(d.processes, machine.GetName())
		if address, err := netip.ParseAddrPort(machine.GetAddress()); err == nil {
			members = append(members, loadshare.NewMember(machine.GetName(), machine.GetZone(), address, rank))
		}
	}
	layout := loadshare.NewLayout(members, d.name)
	d.sharer.SetLayout(layout)
	d.viewAge = layout.MaxAge()
}
