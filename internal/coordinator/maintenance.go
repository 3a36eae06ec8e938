package coordinator

import (
	"context"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featurelevel"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

const (
	// maintenanceInterval is the time between rounds of maintenance.
	maintenanceInterval = 300 * time.Millisecond
	// maxMissedHeartbeats is how many heartbeats a server may miss before it is silent.
	maxMissedHeartbeats = 4
	// defaultHeartbeat is the report interval if the settings have none.
	defaultHeartbeat = time.Second
	// announceInterval is the time between this machine's announcements.
	announceInterval = 3 * time.Second
	// maintenanceCallTimeout bounds one maintenance call.
	maintenanceCallTimeout = time.Second
)

// runMaintenance announces this coordinator and relays server reports to the leader. On the leader
// it marks silent servers, holds prompt parts that were not answered in time, removes absent machines,
// founds the store cluster and resolves address conflicts.
func (c *Coordinator) runMaintenance(ctx context.Context) {
	var announced, leaderSince time.Time
	for retry.Pause(ctx, maintenanceInterval) {
		if c.isNonMember() {
			leaderSince = time.Time{}
			if now := time.Now(); now.Sub(announced) >= announceInterval && c.announceToMember(ctx) {
				announced = now
			}
			if known := c.recentState(); known != nil {
				c.noteToLeader(ctx, known.leader)
			}
			continue
		}
		group, view, err := c.currentState()
		if err != nil {
			leaderSince = time.Time{}
			continue
		}
		now := time.Now()
		if now.Sub(announced) >= announceInterval && c.announceSelf(ctx, view) {
			announced = now
		}
		if _, leading := group.Leading(); !leading {
			leaderSince = time.Time{}
			c.noteToLeader(ctx, group.Status().GetLeaderAddress())
			continue
		}
		if leaderSince.IsZero() {
			leaderSince = now
		}
		c.holdUnanswered(ctx, view, now)
		c.liveness.takePending()
		c.markSilent(ctx, view.directory, leaderSince, now)
		c.removeSilentMachines(ctx, view.directory, leaderSince, now)
		c.foundStoreCluster(ctx, view.directory, now)
		c.resolveConflicts(ctx, view, now)
	}
}

// selfMachine returns the directory entry of this machine.
func (c *Coordinator) selfMachine() *rockwindpb.Machine {
	return &rockwindpb.Machine{
		Name:      c.settings.GetName(),
		Role:      rockwindpb.SiteRole_SITE_ROLE_COORDINATOR,
		Zone:      c.settings.GetZone(),
		Address:   site.AdvertisedAddress(c.settings),
		DiskId:    c.host.DiskID(),
		Bootstrap: c.settings.GetBootstrap(),

		FeatureLevel: featurelevel.Current,
	}
}

// announceToMember announces this machine to a member of the root group.
func (c *Coordinator) announceToMember(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, maintenanceCallTimeout)
	defer cancel()
	_, err := forward(callCtx, c, untilCommitted, func(ctx context.Context, base string) (*rockwindpb.AnnounceMachineResponse, error) {
		return c.directoryAt(base).Announce(ctx, &rockwindpb.AnnounceMachineRequest{Machine: c.selfMachine()})
	})
	if err != nil {
		log.WithError(err).Debug("failed to announce this coordinator to a member of the root group")
	}
	return err == nil
}

func (c *Coordinator) announceSelf(ctx context.Context, view *rootView) bool {
	machine := c.selfMachine()
	c.liveness.record(machineKey(machine.GetName()), time.Now())
	if view.knowsMachine(machine) {
		return true
	}
	callCtx, cancel := context.WithTimeout(ctx, maintenanceCallTimeout)
	defer cancel()
	return c.commitOnLeader(callCtx, &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Announce{Announce: machine}}) == nil
}

// noteToLeader relays the reports of servers to the leader; an empty address is ignored.
func (c *Coordinator) noteToLeader(ctx context.Context, leader string) {
	if leader == "" || leader == site.AdvertisedAddress(c.settings) {
		return
	}
	ids := c.liveness.takePending()
	if len(ids) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, maintenanceCallTimeout)
	defer cancel()
	service := rockwindpb.NewDirectoryServiceProtobufClient("http://"+leader, c.twirpClient())
	if _, err := service.Note(callCtx, &rockwindpb.NoteServersRequest{Ids: ids}); err != nil {
		log.WithError(fault.From(err)).Debug("failed to relay server reports to the leader")
	}
}

// markSilent marks servers without a report for maxMissedHeartbeats heartbeats.
func (c *Coordinator) markSilent(ctx context.Context, view *directory.View, leaderSince, now time.Time) {
	heartbeat := time.Duration(c.settings.GetHeartbeatMs()) * time.Millisecond
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	silenceTimeout := maxMissedHeartbeats * heartbeat
	if now.Sub(leaderSince) < silenceTimeout {
		return
	}
	var ids []string
	for _, server := range view.Servers() {
		switch server.GetState() {
		case rockwindpb.ServerState_SERVER_STATE_READY, rockwindpb.ServerState_SERVER_STATE_DRAINING:
			ids = append(ids, server.GetId())
		}
	}
	silent := c.liveness.silentServers(ids, silenceTimeout, now)
	if len(silent) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, maintenanceCallTimeout)
	defer cancel()
	err := c.commitOnLeader(callCtx, &rockwindpb.DirectoryCommand{
		Command: &rockwindpb.DirectoryCommand_Silence{Silence: &rockwindpb.SilenceServers{Ids: silent}},
	})
	log.WithField("servers", silent).WithField("patience", silenceTimeout.String()).WithField("committed", err == nil).Info("servers are silent")
}

// foundStoreCluster founds the store cluster if it is due.
func (c *Coordinator) foundStoreCluster(ctx context.Context, view *directory.View, now time.Time) {
	founding := directory.PlanStoreCluster(view, directory.FoundingPolicy{
		Replicas: site.GroupSize(c.settings), Regions: site.Topology(c.settings), ToleratedRegionLosses: int(c.settings.GetToleratedRegionLosses()),
	}, now)
	if founding == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, maintenanceCallTimeout)
	defer cancel()
	err := c.commitOnLeader(callCtx, &rockwindpb.DirectoryCommand{
		Command: &rockwindpb.DirectoryCommand_FoundStores{FoundStores: founding},
	})
	log.WithField("cluster", founding.GetClusterId()).WithField("shards", len(founding.GetGroups())).WithField("committed", err == nil).Info("stores' cluster is founded")
}
