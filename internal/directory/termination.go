package directory

import "rockwind.example/rockwind/internal/rockwindpb"

// minUnansweredProbes is how many probes of a silent server must fail before it is considered
// terminated. It tolerates one lost probe.
const minUnansweredProbes = 2

// Termination is the evidence on whether an incarnation whose connection broke has terminated.
type Termination int

const (
	// TerminationUnknown means that there is no evidence either way.
	TerminationUnknown Termination = iota
	// TerminationSuspected means that the address should be probed: the incarnation is silent
	// or another one is known at its address.
	TerminationSuspected
	// TerminationConfirmed means that the incarnation terminated without a leave.
	TerminationConfirmed
	// TerminationRefuted means that the incarnation is running.
	TerminationRefuted
)

// ProbeHistory sums up the probes of an incarnation's address since its connection broke. The
// zero value means that there were none.
type ProbeHistory struct {
	confirmed  bool
	rejected   bool
	unanswered int
}

// With adds the result of a probe. An answer that names another incarnation without rejecting
// this one counts as unanswered: it may be corrupt or come from a proxy.
func (h ProbeHistory) With(id string, identity Identity) ProbeHistory {
	switch {
	case identity.Rejected == id:
		h.rejected = true
	case identity.Found == id:
		h.confirmed = true
	default:
		h.unanswered++
	}
	return h
}

// Termination assesses whether an incarnation whose connection broke has terminated. Another
// incarnation at its address proves it. Silence alone does not, since reports are delayed under
// load. A silent incarnation is considered terminated if its address does not answer for it
// either, unless most other servers are silent too: the network is then more likely at fault,
// and only an answer decides.
func (v *View) Termination(id string, probes ProbeHistory) Termination {
	switch {
	case v.Replaced(id) || probes.rejected:
		return TerminationConfirmed
	case probes.confirmed:
		return TerminationRefuted
	case v.hasAddressConflict(id):
		return TerminationSuspected
	case !v.Lost(id):
		return TerminationUnknown
	case probes.unanswered < minUnansweredProbes || v.mostOthersSilent():
		return TerminationSuspected
	}
	return TerminationConfirmed
}

// hasAddressConflict reports whether an incarnation is not gone and shares its address with
// another one that is not gone.
func (v *View) hasAddressConflict(id string) bool {
	server, known := v.Server(id)
	return known && server.GetState() != rockwindpb.ServerState_SERVER_STATE_GONE && len(v.servers.at(server.GetAddress())) > 1
}

// mostOthersSilent reports whether more than half of the servers other than a silent one are silent.
func (v *View) mostOthersSilent() bool {
	return 2*(v.servers.silent-1) > v.servers.present.Len()-1
}
