package coordinator

import (
	"context"
	"math"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/coldstart"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featurelevel"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// coldServerService accepts reports of cold servers from other coordinators, and from routers and stores
// what they read in health answers.
type coldServerService struct{ coordinator *Coordinator }

// Report implements rockwindpb.ColdServerService. Only the leader accepts what another coordinator
// passes on; any coordinator accepts the calls of routers and stores.
func (s coldServerService) Report(ctx context.Context, command *rockwindpb.ColdServerCommand) (*rockwindpb.ReportColdServerResponse, error) {
	if ctx.Value(forwardedKey{}) != nil {
		return &rockwindpb.ReportColdServerResponse{}, fault.ToTwirp(s.coordinator.commitCold(ctx, command))
	}
	return &rockwindpb.ReportColdServerResponse{}, fault.ToTwirp(s.coordinator.observeColdServer(ctx, command.GetServer()))
}

// observeColdServer handles the cold time that a router or store read in a health answer. A non-member
// passes it on to the leader.
func (c *Coordinator) observeColdServer(ctx context.Context, answered *rockwindpb.ColdServer) error {
	if c.isNonMember() {
		_, err := forwardToLeader(ctx, c, untilCommitted, func(ctx context.Context, base string) (*rockwindpb.ReportColdServerResponse, error) {
			command := &rockwindpb.ColdServerCommand{Server: answered}
			return rockwindpb.NewColdServerServiceProtobufClient(base, c.twirpClient()).Report(ctx, command)
		})
		return err
	}
	_, view, err := c.awaitCurrentState(ctx)
	if err != nil {
		return err
	}
	if observed := observedReport(view, answered.GetId(), answered.GetColdMs()); observed != nil {
		return c.reportCold(ctx, view, observed)
	}
	return nil
}

// observeIdentity commits the cold time of a health answer that this coordinator read. If it is lost, the
// next report of the server or a later health answer carries it again.
func (c *Coordinator) observeIdentity(view *rootView, identity directory.Identity) {
	observed := observedReport(view, identity.Found, identity.ColdMs)
	if observed == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if err := c.reportCold(ctx, view, observed); err != nil {
		log.WithError(fault.From(err)).WithField("server", identity.Found).Debug("cannot commit the cold time of a health answer")
	}
}

// observedReport returns the cold report that a health answer stands for, nil if the server is not known
// or not cold. A health answer has no sequence, so it counts as recent as the newest report.
func observedReport(view *rootView, id string, coldMs uint32) *rockwindpb.Server {
	known, found := view.directory.Server(id)
	if !found || coldMs == 0 {
		return nil
	}
	observed := proto.CloneOf(known)
	observed.ColdMs = coldMs
	listed := view.cold.Server(id)
	switch {
	case listed.GetBornUnixMs() > known.GetBornUnixMs():
		observed.BornUnixMs, observed.Sequence = listed.GetBornUnixMs(), listed.GetSequence()
	case listed.GetBornUnixMs() == known.GetBornUnixMs():
		observed.Sequence = max(known.GetSequence(), listed.GetSequence())
	}
	return limitColdTime(view, observed)
}

// withColdTime returns a report with the cold time of the server's health answer if that is longer.
func withColdTime(view *rootView, report *rockwindpb.Server, identity directory.Identity) *rockwindpb.Server {
	if identity.Found != report.GetId() || identity.ColdMs <= report.GetColdMs() {
		return report
	}
	extended := proto.CloneOf(report)
	extended.ColdMs = identity.ColdMs
	return limitColdTime(view, extended)
}

// limitColdTime returns a report with a plausible cold time.
func limitColdTime(view *rootView, report *rockwindpb.Server) *rockwindpb.Server {
	reported := time.Duration(report.GetColdMs()) * time.Millisecond
	service, _ := view.catalog.Index().Service(report.GetService())
	limited := coldstart.Limit(reported, time.Duration(service.GetColdMs())*time.Millisecond)
	if limited == reported {
		return report
	}
	bounded := proto.CloneOf(report)
	bounded.ColdMs = uint32(min(limited.Milliseconds(), math.MaxUint32))
	return bounded
}

// turnsCold reports whether a report of a known server says that it stays cold for longer than the
// processes know. A new incarnation is cold as its directory entry says.
func turnsCold(view *directory.View, cold *coldstart.List, report *rockwindpb.Server, now time.Time) bool {
	if report.GetColdMs() == 0 {
		return false
	}
	known, found := view.Server(report.GetId())
	if !found || known.GetState() == rockwindpb.ServerState_SERVER_STATE_GONE {
		return false
	}
	sameStart := known.GetBornUnixMs() == report.GetBornUnixMs()
	if earlierStart := !sameStart && report.GetBornUnixMs() != 0 && report.GetBornUnixMs() < known.GetBornUnixMs(); earlierStart ||
		(sameStart && report.GetSequence() < known.GetSequence()) {
		return false
	}
	remaining := time.Duration(0)
	if sameStart && known.GetColdMs() > 0 {
		remaining = time.Duration(known.GetChangedUnixMs()+int64(known.GetColdMs())-now.UnixMilli()) * time.Millisecond
	}
	return cold.Extends(coldServerOf(report), remaining, now)
}

func coldServerOf(report *rockwindpb.Server) *rockwindpb.ColdServer {
	return &rockwindpb.ColdServer{Id: report.GetId(), ColdMs: report.GetColdMs(), Sequence: report.GetSequence(), BornUnixMs: report.GetBornUnixMs()}
}

// reportCold has the leader commit that a server is cold, if the report says so and the processes
// do not know it. While coordinators of an earlier version run, which ignore the command, nothing is
// committed.
func (c *Coordinator) reportCold(ctx context.Context, view *rootView, report *rockwindpb.Server) error {
	if !turnsCold(view.directory, view.cold, report, time.Now()) || !c.featureOpen(view, featurelevel.ColdServers) {
		return nil
	}
	command := &rockwindpb.ColdServerCommand{Server: coldServerOf(report)}
	err := c.runOnLeader(ctx, func() error {
		return c.commitCold(ctx, command)
	}, func(ctx context.Context, base string) error {
		_, err := rockwindpb.NewColdServerServiceProtobufClient(base, c.twirpClient()).Report(ctx, command)
		return err
	})
	if err != nil {
		logCold(command, report.GetService(), false)
	}
	return err
}

// logCold logs that a server is cold. The leader logs what it committed, because a successful answer does not
// say whether anything was.
func logCold(command *rockwindpb.ColdServerCommand, service string, committed bool) {
	server := command.GetServer()
	log.WithField("server", server.GetId()).WithField("service", service).WithField("cold_ms", server.GetColdMs()).
		WithField("sequence", server.GetSequence()).WithField("committed", committed).Info("server is cold")
}

// commitCold proposes a command; this coordinator must be the leader. It has no effect while a
// coordinator of an earlier version runs.
func (c *Coordinator) commitCold(ctx context.Context, command *rockwindpb.ColdServerCommand) error {
	_, view, err := c.currentState()
	if err != nil {
		return err
	}
	if !c.featureOpen(view, featurelevel.ColdServers) {
		return nil
	}
	// A non-member passes on what it received, unchecked.
	known, found := view.directory.Server(command.GetServer().GetId())
	if !found {
		return nil
	}
	command.Server.ColdMs = limitColdTime(view, &rockwindpb.Server{Service: known.GetService(), ColdMs: command.GetServer().GetColdMs()}).GetColdMs()
	command.NowUnixMs = time.Now().UnixMilli()
	if err := c.propose(ctx, &rockwindpb.RootCommand{Command: &rockwindpb.RootCommand_ColdServer{ColdServer: command}}); err != nil {
		return err
	}
	logCold(command, known.GetService(), true)
	return nil
}
