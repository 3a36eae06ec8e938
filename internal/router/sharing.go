package router

import (
	"context"
	"net/netip"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Share tells the other routers and stores what this process has at servers, and
// takes what they tell, until the context ends. The settings give the address; a
// process without one shares nothing.
func (d *Dispatcher) Share(ctx context.Context, settings *rockwindpb.SiteSettings) error {
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
	d.mutex.Unlock()
	return sharer.Run(ctx, d.digest, d.takeDigest)
}

// digest lists what this process has at servers.
func (d *Dispatcher) digest() *rockwindpb.LoadDigest {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	digest := &rockwindpb.LoadDigest{}
	for _, pool := range d.pools {
		pool.pool.Own(func(server uint32, load balance.SharedLoad) {
			digest.Servers = append(digest.Servers, server)
			digest.Inflight = append(digest.Inflight, uint32(load.Inflight))
			digest.Unread = append(digest.Unread, uint32(load.Unread))
		})
	}
	return digest
}

func (d *Dispatcher) takeDigest(digest *rockwindpb.LoadDigest) {
	loads := make(map[uint32]balance.SharedLoad, len(digest.GetServers()))
	for i, server := range digest.GetServers() {
		loads[server] = balance.SharedLoad{Inflight: int(digest.GetInflight()[i]), Unread: int(digest.GetUnread()[i])}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.shares.Take(digest.GetSender(), digest.GetStartedUnixMs(), digest.GetSequence(), loads, d.now())
	for service, pool := range d.pools {
		if pool.waiting.Len() > 0 {
			d.serveWaiting(service)
		}
	}
}

// setPeers tells the sharer which processes there are.
func (d *Dispatcher) setPeers(view *directory.View) {
	if d.sharer == nil {
		return
	}
	var peers []netip.AddrPort
	for _, machine := range view.Machines() {
		shares := machine.GetRole() == rockwindpb.SiteRole_SITE_ROLE_ROUTER || machine.GetRole() == rockwindpb.SiteRole_SITE_ROLE_STORE
		address, err := netip.ParseAddrPort(machine.GetAddress())
		if shares && err == nil && machine.GetName() != d.name {
			peers = append(peers, address)
		}
	}
	d.sharer.SetPeers(peers)
}
