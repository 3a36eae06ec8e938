package directory

import (
	"slices"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Identity is what was found out about the incarnation at an address. The zero value tells
// that nothing was.
type Identity struct {
	// Found is the identifier of the incarnation that answered, empty where none told it.
	Found string
	// Rejected is the identifier of one that the address was asked for and does not have,
	// empty where no other one answered.
	Rejected string
}

// ended returns which of the incarnations at an address have ended. All of them were there
// before the address was asked, so that those have ended which it is not now. An answer of
// one that is not among them shows nothing: it may be a damaged one.
func (i Identity) ended(incarnations []*rockwindpb.Server) []string {
	found := slices.ContainsFunc(incarnations, func(each *rockwindpb.Server) bool { return each.GetId() == i.Found })
	var ended []string
	for _, each := range incarnations {
		if (found && each.GetId() != i.Found) || (!found && each.GetId() == i.Rejected) {
			ended = append(ended, each.GetId())
		}
	}
	return ended
}

// ConflictingWith returns the incarnations that may live at the address of a report, by identifier,
// where the report is of an unknown one: whether it is newer or older than they are has to be
// asked at the address.
func (v *View) ConflictingWith(report *rockwindpb.Server) []*rockwindpb.Server {
	if v.servers.get(report.GetId()) != nil {
		return nil
	}
	return v.servers.at(report.GetAddress())
}

// ReportCommand returns the command for a report. The holders are those from before the address was
// asked. Where nothing was found out, the reported incarnation is entered beside them.
func ReportCommand(report *rockwindpb.Server, holders []*rockwindpb.Server, identity Identity) *rockwindpb.DirectoryCommand {
	ended := identity.ended(append(slices.Clone(holders), report))
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

// AddressConflicts returns the addresses of which several incarnations are not gone, those of each by
// identifier. Addresses at which none reports any more are left out.
func (v *View) AddressConflicts() [][]*rockwindpb.Server {
	var contests [][]*rockwindpb.Server
	var before *rockwindpb.Server
	v.servers.here.Scan(func(_ string, server *rockwindpb.Server) bool {
		again := before != nil && before.GetAddress() == server.GetAddress()
		counted := len(contests) > 0 && contests[len(contests)-1][0].GetAddress() == server.GetAddress()
		if again && !counted {
			contests = append(contests, v.servers.at(server.GetAddress()))
		}
		before = server
		return true
	})
	return slices.DeleteFunc(contests, func(contest []*rockwindpb.Server) bool { return !slices.ContainsFunc(contest, reports) })
}

// reports tells whether a server was heard lately.
func reports(server *rockwindpb.Server) bool {
	return server.GetState() == rockwindpb.ServerState_SERVER_STATE_READY || server.GetState() == rockwindpb.ServerState_SERVER_STATE_DRAINING
}

// ResolveConflict returns the command that ends those of a contest which were found to have ended, or
// nil where none was.
func ResolveConflict(contest []*rockwindpb.Server, identity Identity) *rockwindpb.DirectoryCommand {
	ended := identity.ended(contest)
	if len(ended) == 0 {
		return nil
	}
	return &rockwindpb.DirectoryCommand{Succession: &rockwindpb.Succession{Ended: ended}}
}

// succeed marks incarnations as gone that were found to have ended.
func (d *Directory) succeed(ended []string, now int64) {
	for _, id := range ended {
		d.goneServer(id, d.servers.get(id).GetState() == rockwindpb.ServerState_SERVER_STATE_READY, now)
	}
}
