package directory

import "rockwind.example/rockwind/internal/rockwindpb"

// unansweredToEnd is how many questions to the address of a silent server stay without its
// answer before it counts as ended: one may be lost.
const unansweredToEnd = 2

// Ending is what is known of the end of an incarnation whose connection broke off.
type Ending int

// What can be known.
const (
	// EndingUnclear: nothing shows yet that it has ended, or that it lives.
	EndingUnclear Ending = iota
	// EndingInDoubt: it is silent, or another one is known at its address, which is to be asked.
	EndingInDoubt
	// EndingCertain: it has ended without having said that it leaves.
	EndingCertain
	// EndingDenied: it lives, and the connection broke off for another reason.
	EndingDenied
)

// Inquiry is what the address of an incarnation answered since its connection broke off. The
// zero value tells that it was not asked.
type Inquiry struct {
	itself     bool
	denied     bool
	unanswered int
}

// With returns the inquiry after one more question about an incarnation. An answer that names
// another one without denying this one counts as none: it may be damaged, or somebody else's
// who takes connections in its place.
func (i Inquiry) With(id string, identity Identity) Inquiry {
	switch {
	case identity.Denied == id:
		i.denied = true
	case identity.Found == id:
		i.itself = true
	default:
		i.unanswered++
	}
	return i
}

// Ending judges by the directory, and by the answers of its address, whether an incarnation
// has ended whose connection broke off. It has where another one has its address. Silence
// alone shows no end: reports are late where processors or the coordinators are busy. A silent
// incarnation has ended where its address does not answer for it either, as with a proxy that
// goes on to take connections, unless most other servers are silent too: then it is the way to
// them that is disturbed, and only an answer decides.
func (v *View) Ending(id string, asked Inquiry) Ending {
	switch {
	case v.Replaced(id) || asked.denied:
		return EndingCertain
	case asked.itself:
		return EndingDenied
	case v.contested(id):
		return EndingInDoubt
	case !v.Ended(id):
		return EndingUnclear
	case asked.unanswered < unansweredToEnd || v.othersSilent():
		return EndingInDoubt
	}
	return EndingCertain
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
