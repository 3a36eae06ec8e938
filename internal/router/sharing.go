package router

import (
	"context"
	"net/netip"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/streamversion"
	"rockwind.example/rockwind/internal/traffic"
)

// digestTrigger has load digests sent soon instead of at the next interval. Its methods never block.
type digestTrigger interface {
	// TriggerSend is called at a change of this process's loads that other processes wait for.
	TriggerSend()
	// TriggerForward is called when such a change of another process was received.
	TriggerForward()
}

// ShareLoads exchanges loads with the other routers and stores until the context ends. It does
// nothing if the settings have no internal address.
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
	sharer.CountTraffic(d.traffic)
	sharer.OnOrigins(d.origins.receive)
	d.sharer, d.trigger, d.name = sharer, sharer, settings.GetName()
	if d.view != nil {
		d.setPeers(d.view)
	}
	d.mutex.Unlock()
	return sharer.Run(ctx, loadSource{d})
}

// CountTraffic sets the counter of load digests, which may be nil. Call it before ShareLoads.
func (d *Dispatcher) CountTraffic(counter *traffic.Counter) { d.traffic = counter }

// LoadTraffic returns the load digest traffic of this process since its start.
func (d *Dispatcher) LoadTraffic() loadshare.Traffic {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.sharer == nil {
		return loadshare.Traffic{}
	}
	return d.sharer.Traffic()
}

// loadSource implements loadshare.Source for a dispatcher.
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
	return loadshare.OtherGroupsDigest(s.dispatcher.shares, group)
}

// SumRegion implements loadshare.Source.
func (s loadSource) SumRegion(names, groups []string) *rockwindpb.LoadDigest {
	s.dispatcher.mutex.Lock()
	defer s.dispatcher.mutex.Unlock()
	return loadshare.RegionDigest(s.dispatcher.shares, names, groups, s.dispatcher.ownLoads())
}

// RecentlySeen implements loadshare.Source.
func (s loadSource) RecentlySeen(name string) bool {
	s.dispatcher.mutex.Lock()
	defer s.dispatcher.mutex.Unlock()
	return s.dispatcher.shares.RecentlySeen(name, s.dispatcher.now())
}

// DropPriority implements loadshare.Source. An unknown hash is treated as that of a tenant.
func (s loadSource) DropPriority(hash uint32) loadshare.DropPriority {
	s.dispatcher.mutex.Lock()
	defer s.dispatcher.mutex.Unlock()
	if s.dispatcher.isServerOrQueue(hash) {
		return loadshare.NeverDrop
	}
	if _, isOrphaned := s.dispatcher.orphanHashes[hash]; isOrphaned {
		return loadshare.DropFirst
	}
	return loadshare.DropSecond
}

// isServerOrQueue reports whether a hash is that of a server or of the queue of a service or
// priority class. The caller holds d.mutex.
func (d *Dispatcher) isServerOrQueue(hash uint32) bool {
	if _, isServer := d.serverHashes[hash]; isServer {
		return true
	}
	for name, pool := range d.pools {
		if hash == balance.QueueHash(name) || hash == balance.TimelyHash(name) {
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
	s.dispatcher.applyLoads(digest)
}

// ownLoads returns the loads of this process at servers and in its queues by hash. Loads with the
// same hash are added up. The caller holds d.mutex.
func (d *Dispatcher) ownLoads() map[uint32]balance.SharedLoad {
	loads := make(map[uint32]balance.SharedLoad)
	add := func(hash uint32, load balance.SharedLoad) { loads[hash] = loads[hash].Plus(load) }
	for _, pool := range d.pools {
		pool.pool.OwnLoads(d.now(), add)
		pool.visitQueueLoads(time.Now(), d.now(), add)
	}
	d.visitBatchLoads(add)
	d.shares.OwnOrphaned(add)
	return loads
}

func (d *Dispatcher) applyLoads(digest *rockwindpb.LoadDigest) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	loads := d.shares.Spare(len(digest.GetServers()))
	loadshare.AddLoads(digest, loads)
	loadshare.ApplyDigest(d.shares, digest, loads, d.now())
	waiting := false
	for service, pool := range d.pools {
		if pool.waiting.Len() > 0 {
			d.serveWaiting(service)
		}
		waiting = waiting || loads[balance.QueueHash(service)].Inflight > 0
	}
	if !waiting {
		return
	}
	d.signalOnlineWaiting()
	if digest.GetGroup() == "" && len(digest.GetZones()) == 0 && d.trigger != nil {
		d.trigger.TriggerForward()
	}
}

// Ranks of the processes in their groups: stores have more CPU, so they are preferred as
// delegates.
const (
	storeRank  = 0
	routerRank = 1
)

// setPeers updates the layout of the sharer from the machines of the directory. The caller holds
// d.mutex.
func (d *Dispatcher) setPeers(view *directory.View) {
	if d.sharer == nil {
		return
	}
	var members []loadshare.Member
	var holders []streamversion.Member
	d.storeCount, d.routerCount, d.processNames = 0, 0, nil
	for _, machine := range view.Machines() {
		rank := routerRank
		switch machine.GetRole() {
		case rockwindpb.SiteRole_SITE_ROLE_STORE:
			rank = storeRank
			d.storeCount++
		case rockwindpb.SiteRole_SITE_ROLE_ROUTER:
			d.routerCount++
		default:
			continue
		}
		d.processNames = append(d.processNames, machine.GetName())
		if address, err := netip.ParseAddrPort(machine.GetAddress()); err == nil {
			members = append(members, loadshare.NewMember(machine.GetName(), machine.GetZone(), address, rank))
			holders = append(holders, streamversion.Member{Name: machine.GetName(), Address: address, Store: rank == storeRank})
		}
	}
	layout := loadshare.NewLayout(members, d.name, d.topology)
	d.sharer.SetLayout(layout)
	d.origins.setPeers(d.name, holders, d.sharer.SendTo)
	d.groupSize = len(layout.Members())
	d.maxLoadAge, d.maxRegionLoadAge = layout.MaxAge(), layout.MaxRegionAge()
}
