package coordinator

import (
	"context"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

const (
	// keepInterval is the time between looks at what there is to do.
	keepInterval = 300 * time.Millisecond
	// silentHeartbeats is how many heartbeats a server may miss.
	silentHeartbeats = 4
	// defaultHeartbeat is the interval of reports where the settings give none.
	defaultHeartbeat = time.Second
	// announceInterval is the time between this machine's announcements.
	announceInterval = 3 * time.Second
	// keepTimeout bounds one call of the keeper.
	keepTimeout = time.Second
)

// keep does what a coordinator does unasked: it announces itself, tells the
// leader which servers reported here, and as the leader marks silent servers, founds the
// stores' cluster and settles which server has an address.
func (c *Coordinator) keep(ctx context.Context) {
	var announced, ledSince time.Time
	for retry.Pause(ctx, keepInterval) {
		if c.outside() {
			ledSince = time.Time{}
			if now := time.Now(); now.Sub(announced) >= announceInterval && c.announceOutside(ctx) {
				announced = now
			}
			if known := c.followed(); known != nil {
				c.tellLeader(ctx, known.leader)
			}
			continue
		}
		group, view, err := c.current()
		if err != nil {
			ledSince = time.Time{}
			continue
		}
		now := time.Now()
		if now.Sub(announced) >= announceInterval && c.announce(ctx, view.directory) {
			announced = now
		}
		if _, leading := group.Leading(); !leading {
			ledSince = time.Time{}
			c.tellLeader(ctx, group.Status().GetLeaderAddress())
			continue
		}
		if ledSince.IsZero() {
			ledSince = now
		}
		c.live.take()
		c.markSilent(ctx, view.directory, ledSince, now)
		c.forgetMachines(ctx, view.directory, ledSince, now)
		c.foundStores(ctx, view.directory, now)
		c.settle(ctx, view, now)
	}
}

// self is this machine as the directory has it.
func (c *Coordinator) self() *rockwindpb.Machine {
	return &rockwindpb.Machine{
		Name:      c.settings.GetName(),
		Role:      rockwindpb.SiteRole_SITE_ROLE_COORDINATOR,
		Zone:      c.settings.GetZone(),
		Address:   site.Advertised(c.settings),
		DiskId:    c.host.DiskID(),
		Bootstrap: c.settings.GetBootstrap(),
	}
}

// announceOutside has a member of the root group announce this machine.
func (c *Coordinator) announceOutside(ctx context.Context) bool {
	calling, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	_, err := passOn(calling, c, toCommit, func(ctx context.Context, base string) (*rockwindpb.AnnounceMachineResponse, error) {
		return c.directoryAt(base).Announce(ctx, &rockwindpb.AnnounceMachineRequest{Machine: c.self()})
	})
	if err != nil {
		log.WithError(err).Debug("no member of the root group announces this coordinator")
	}
	return err == nil
}

func (c *Coordinator) announce(ctx context.Context, view *directory.View) bool {
	machine := c.self()
	c.live.note(machineKey(machine.GetName()), time.Now())
	if view.KnowsMachine(machine) {
		return true
	}
	calling, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	return c.change(calling, &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Announce{Announce: machine}}) == nil
}

// tellLeader tells the leader at an address, empty for none, which servers reported here.
func (c *Coordinator) tellLeader(ctx context.Context, leader string) {
	if leader == "" || leader == site.Advertised(c.settings) {
		return
	}
	ids := c.live.take()
	if len(ids) == 0 {
		return
	}
	calling, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	service := rockwindpb.NewDirectoryServiceProtobufClient("http://"+leader, c.carrier())
	if _, err := service.Note(calling, &rockwindpb.NoteServersRequest{Ids: ids}); err != nil {
		log.WithError(fault.From(err)).Debug("the leader was not told which servers reported")
	}
}

// markSilent marks the servers that have not reported for several heartbeats.
func (c *Coordinator) markSilent(ctx context.Context, view *directory.View, ledSince, now time.Time) {
	heartbeat := time.Duration(c.settings.GetHeartbeatMs()) * time.Millisecond
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	patience := silentHeartbeats * heartbeat
	if now.Sub(ledSince) < patience {
		return
	}
	var ids []string
	for _, server := range view.Servers() {
		switch server.GetState() {
		case rockwindpb.ServerState_SERVER_STATE_READY, rockwindpb.ServerState_SERVER_STATE_DRAINING:
			ids = append(ids, server.GetId())
		}
	}
	silent := c.live.silent(ids, patience, now)
	if len(silent) == 0 {
		return
	}
	calling, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	err := c.change(calling, &rockwindpb.DirectoryCommand{
		Command: &rockwindpb.DirectoryCommand_Silence{Silence: &rockwindpb.SilenceServers{Ids: silent}},
	})
	log.WithField("servers", silent).WithField("patience", patience.String()).WithField("committed", err == nil).Info("servers are silent")
}

// foundStores decides the founding of the stores' cluster once.
func (c *Coordinator) foundStores(ctx context.Context, view *directory.View, now time.Time) {
	founding := directory.PlanStoreCluster(view, site.Places(c.settings), now)
	if founding == nil {
		return
	}
	calling, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	err := c.change(calling, &rockwindpb.DirectoryCommand{
		Command: &rockwindpb.DirectoryCommand_FoundStores{FoundStores: founding},
	})
	log.WithField("cluster", founding.GetClusterId()).WithField("shards", len(founding.GetGroups())).WithField("committed", err == nil).Info("stores' cluster is founded")
}
