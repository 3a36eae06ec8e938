package directory

import "rockwind.example/rockwind/internal/rockwindpb"

// unansweredToEnd is how many questions to the address of a silent server stay without its
// answer before it counts as ended: one may be lost.
const unansweredToEnd = 2

// Termination is what is known of the end of an incarnation whose connection broke off.
type Termination int

// What can be known.
const (
	// TerminationUnknown: nothing shows yet that it has ended, or that it lives.
	TerminationUnknown Termination = iota
	// TerminationSuspected: it is silent, or another one is known at its address, which is to be asked.
	TerminationSuspected
	// TerminationConfirmed: it has ended without having said that it leaves.
	TerminationConfirmed
	// TerminationRefuted: it lives, and the connection broke off for another reason.
	TerminationRefuted
)

// ProbeHistory is what the address of an incarnation answered since its connection broke off. The
// zero value tells that it was not asked.
type ProbeHistory struct {
	itself     bool
	denied     bool
	unanswered int
}

// With returns the inquiry after one more question about an incarnation. An answer that names
// another one without denying this one counts as none: it may be damaged, or somebody else's
// who takes connections in its place.
func (i ProbeHistory) With(id string, identity Identity) ProbeHistory {
	switch {
	case identity.Rejected == id:
		i.denied = true
	case identity.Found == id:
		i.itself = true
	default:
		i.unanswered++
	}
	return i
}

// Termination judges by the directory, and by the answers of its address, whether an incarnation
// has ended whose connection broke off. It has where another one has its address. Silence
// alone shows no end: reports are late where processors or the coordinators are busy. A silent
// incarnation has ended where its address does not answer for it either, as with a proxy that
// goes on to take connections, unless most other servers are silent too: then it is the way to
// them that is disturbed, and only an answer decides.
func (v *View) Termination(id string, asked ProbeHistory) Termination {
	switch {
	case v.Replaced(id) || asked.denied:
		return TerminationConfirmed
	case asked.itself:
		return TerminationRefuted
	case v.contested(id):
		return TerminationSuspected
	case !v.Lost(id):
		return TerminationUnknown
	case asked.unanswered < unansweredToEnd || v.othersSilent():
		return TerminationSuspected
	}
	return TerminationConfirmed
}

// contested tells whether another incarnation is known at the address of one that is not gone:
// one of the two has ended.
func (v *View) contested(id string) bool {
	server, known := v.Server(id)
	return known && server.GetState() != rockwindpb.ServerState_SERVER_STATE_GONE && len(v.servers.at(server.GetAddress())) > 1
}

// othersSilent tells whether most of the servers beside one that is silent are so too.
func (v *View) othersSilent() bool {
	return 2*(v.servers.silent-1) > v.servers.here.Len()-1
}
