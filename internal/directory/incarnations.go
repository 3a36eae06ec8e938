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
	// Denied is the identifier of one that the address was asked for and does not have,
	// empty where no other one answered.
	Denied string
}

// ended returns which of the incarnations at an address have ended. All of them were there
// before the address was asked, so that those have ended which it is not now. An answer of
// one that is not among them shows nothing: it may be a damaged one.
func (i Identity) ended(incarnations []*rockwindpb.Server) []string {
	found := slices.ContainsFunc(incarnations, func(each *rockwindpb.Server) bool { return each.GetId() == i.Found })
	var ended []string
	for _, each := range incarnations {
		if (found && each.GetId() != i.Found) || (!found && each.GetId() == i.Denied) {
			ended = append(ended, each.GetId())
		}
	}
	return ended
}

// Holders returns the incarnations that may live at the address of a report, by identifier,
// where the report is of an unknown one: whether it is newer or older than they are has to be
// asked at the address.
func (v *View) Holders(report *rockwindpb.Server) []*rockwindpb.Server {
	if v.servers[report.GetId()] != nil {
		return nil
	}
	var holders []*rockwindpb.Server
	for _, server := range v.Servers() {
		if server.GetState() != rockwindpb.ServerState_SERVER_STATE_GONE && server.GetAddress() == report.GetAddress() {
			holders = append(holders, server)
		}
	}
	return holders
}

// Admit returns the command for a report. The holders are those from before the address was
// asked. Where nothing was found out, the reported incarnation is entered beside them.
func Admit(report *rockwindpb.Server, holders []*rockwindpb.Server, identity Identity) *rockwindpb.DirectoryCommand {
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

// Contests returns the addresses of which several incarnations are not gone, those of each by
// identifier. Addresses at which none reports any more are left out.
func (v *View) Contests() [][]*rockwindpb.Server {
	held := make(map[string][]*rockwindpb.Server)
	var addresses []string
	for _, server := range v.Servers() {
		if server.GetState() == rockwindpb.ServerState_SERVER_STATE_GONE {
			continue
		}
		if held[server.GetAddress()] == nil {
			addresses = append(addresses, server.GetAddress())
		}
		held[server.GetAddress()] = append(held[server.GetAddress()], server)
	}
	var contests [][]*rockwindpb.Server
	for _, address := range addresses {
		if len(held[address]) > 1 && slices.ContainsFunc(held[address], reports) {
			contests = append(contests, held[address])
		}
	}
	return contests
}

// reports tells whether a server was heard lately.
func reports(server *rockwindpb.Server) bool {
	return server.GetState() == rockwindpb.ServerState_SERVER_STATE_READY || server.GetState() == rockwindpb.ServerState_SERVER_STATE_DRAINING
}

// Settle returns the command that ends those of a contest which were found to have ended, or
// nil where none was.
func Settle(contest []*rockwindpb.Server, identity Identity) *rockwindpb.DirectoryCommand {
	ended := identity.ended(contest)
	if len(ended) == 0 {
		return nil
	}
	return &rockwindpb.DirectoryCommand{Succession: &rockwindpb.Succession{Ended: ended}}
}

// succeed marks incarnations as gone that were found to have ended.
func (d *Directory) succeed(ended []string, now int64) {
	for _, id := range ended {
		d.goneServer(id, d.servers[id].GetState() == rockwindpb.ServerState_SERVER_STATE_READY, now)
	}
}
