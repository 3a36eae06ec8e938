package directory

import (
	"slices"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Identity is the result of probing an address. The zero value means that nothing was learnt.
type Identity struct {
	// Found is the identifier of the incarnation that answered, empty if unknown.
	Found string
	// Rejected is the identifier of the probed incarnation if another one answered in its
	// place, empty otherwise.
	Rejected string
	// ColdMs is for how long the found incarnation says that it stays cold, zero if it does not.
	ColdMs uint32
}

// endedAmong returns the incarnations that have ended, given all that were known at the address
// before the probe. A Found identifier that is not among them is ignored, since the answer may
// be corrupt.
func (i Identity) endedAmong(incarnations []*rockwindpb.Server) []string {
	found := slices.ContainsFunc(incarnations, func(each *rockwindpb.Server) bool { return each.GetId() == i.Found })
	var ended []string
	for _, each := range incarnations {
		if (found && each.GetId() != i.Found) || (!found && each.GetId() == i.Rejected) {
			ended = append(ended, each.GetId())
		}
	}
	return ended
}

// ConflictingWith returns the incarnations that are not gone at the address of a report, by
// identifier. It returns nil for a report of a known incarnation. Only a probe of the address
// shows which incarnation is the latest.
func (v *View) ConflictingWith(report *rockwindpb.Server) []*rockwindpb.Server {
	if v.servers.get(report.GetId()) != nil {
		return nil
	}
	return v.servers.at(report.GetAddress())
}

// ReportCommand returns the command for a report. The conflicting incarnations are those known
// before the address was probed. If the probe learnt nothing, the reported one is added.
func ReportCommand(report *rockwindpb.Server, conflicting []*rockwindpb.Server, identity Identity) *rockwindpb.DirectoryCommand {
	ended := identity.endedAmong(append(slices.Clone(conflicting), report))
	if slices.Contains(ended, report.GetId()) {
		return &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Leave{
			Leave: &rockwindpb.LeaveServerRequest{Id: report.GetId()},
		}}
	}
	return &rockwindpb.DirectoryCommand{
		Command:    &rockwindpb.DirectoryCommand_Report{Report: report},
		Succession: &rockwindpb.Succession{Ended: ended},
	}
}

// AddressConflicts returns the incarnations at each address that has several that are not gone,
// by identifier. Addresses without a ready or draining incarnation are omitted.
func (v *View) AddressConflicts() [][]*rockwindpb.Server {
	var conflicts [][]*rockwindpb.Server
	var previous *rockwindpb.Server
	v.servers.present.Scan(func(_ string, server *rockwindpb.Server) bool {
		sameAddress := previous != nil && previous.GetAddress() == server.GetAddress()
		listed := len(conflicts) > 0 && conflicts[len(conflicts)-1][0].GetAddress() == server.GetAddress()
		if sameAddress && !listed {
			conflicts = append(conflicts, v.servers.at(server.GetAddress()))
		}
		previous = server
		return true
	})
	return slices.DeleteFunc(conflicts, func(conflict []*rockwindpb.Server) bool { return !slices.ContainsFunc(conflict, reports) })
}

// reports reports whether a server is ready or draining.
func reports(server *rockwindpb.Server) bool {
	return server.GetState() == rockwindpb.ServerState_SERVER_STATE_READY || server.GetState() == rockwindpb.ServerState_SERVER_STATE_DRAINING
}

// ResolveConflict returns the command that marks the incarnations of a conflict as gone that a
// probe found to have ended, or nil if there are none.
func ResolveConflict(conflict []*rockwindpb.Server, identity Identity) *rockwindpb.DirectoryCommand {
	ended := identity.endedAmong(conflict)
	if len(ended) == 0 {
		return nil
	}
	return &rockwindpb.DirectoryCommand{Succession: &rockwindpb.Succession{Ended: ended}}
}

// markEnded marks incarnations that a probe found to have ended as gone.
func (d *Directory) markEnded(ended []string, now int64) {
	for _, id := range ended {
		d.markGone(id, d.servers.get(id).GetState() == rockwindpb.ServerState_SERVER_STATE_READY, now)
	}
}
