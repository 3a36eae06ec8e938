package directory_test

import (
	"fmt"
	"testing"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
)

func TestTerminationAfterBrokenConnection(t *testing.T) {
	confirmed := directory.Identity{Found: "a"}
	rejected := directory.Identity{Found: "b", Rejected: "a"}
	damaged := directory.Identity{Found: "b"}
	noAnswer := directory.Identity{}
	reporting := []rockwindpb.ServerState{ready, ready, draining}
	for name, test := range map[string]struct {
		state    rockwindpb.ServerState
		replaced bool
		others   []rockwindpb.ServerState
		answers  []directory.Identity
		want     directory.Termination
	}{
		"it reports":                                  {ready, false, reporting, nil, directory.TerminationUnknown},
		"it says that it leaves":                      {draining, false, reporting, nil, directory.TerminationUnknown},
		"it left":                                     {gone, false, reporting, nil, directory.TerminationUnknown},
		"another incarnation has its address":         {gone, true, reporting, nil, directory.TerminationConfirmed},
		"it is silent":                                {silent, false, reporting, nil, directory.TerminationSuspected},
		"it is silent and answers":                    {silent, false, reporting, []directory.Identity{confirmed}, directory.TerminationRefuted},
		"it answers after a question was lost":        {silent, false, reporting, []directory.Identity{noAnswer, confirmed}, directory.TerminationRefuted},
		"it was silent and reports again":             {ready, false, reporting, []directory.Identity{noAnswer}, directory.TerminationUnknown},
		"it reports again after all questions":        {ready, false, reporting, []directory.Identity{noAnswer, noAnswer}, directory.TerminationUnknown},
		"another one answers":                         {silent, false, reporting, []directory.Identity{rejected}, directory.TerminationConfirmed},
		"another one answers before it is silent":     {ready, false, reporting, []directory.Identity{rejected}, directory.TerminationConfirmed},
		"one question has no answer":                  {silent, false, reporting, []directory.Identity{noAnswer}, directory.TerminationSuspected},
		"a damaged answer":                            {silent, false, reporting, []directory.Identity{damaged}, directory.TerminationSuspected},
		"a proxy takes its connections":               {silent, false, reporting, []directory.Identity{noAnswer, noAnswer}, directory.TerminationConfirmed},
		"the same, and some others are silent":        {silent, false, []rockwindpb.ServerState{silent, ready}, []directory.Identity{noAnswer, noAnswer}, directory.TerminationConfirmed},
		"the same, and most others are silent":        {silent, false, []rockwindpb.ServerState{silent, silent, ready}, []directory.Identity{noAnswer, noAnswer}, directory.TerminationSuspected},
		"most others are silent and another answers":  {silent, false, []rockwindpb.ServerState{silent, silent}, []directory.Identity{rejected}, directory.TerminationConfirmed},
		"those that are gone are no others":           {silent, false, []rockwindpb.ServerState{gone, gone, silent, ready}, []directory.Identity{noAnswer, noAnswer}, directory.TerminationConfirmed},
		"it is the only one, and a proxy is in place": {silent, false, nil, []directory.Identity{noAnswer, noAnswer}, directory.TerminationConfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			response := &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true}
			response.Servers = append(response.Servers, &rockwindpb.Server{Id: "a", Address: "address", State: test.state, Replaced: test.replaced})
			for position, state := range test.others {
				response.Servers = append(response.Servers, &rockwindpb.Server{Id: fmt.Sprint("other-", position), Address: fmt.Sprint("address-", position), State: state})
			}
			var probes directory.ProbeHistory
			for _, answer := range test.answers {
				probes = probes.With("a", answer)
			}
			if got := directory.Merge(nil, response).Termination("a", probes); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestAddressConflictSuspectsTermination covers an address conflict of a server that still reports.
func TestAddressConflictSuspectsTermination(t *testing.T) {
	for state, want := range map[rockwindpb.ServerState]directory.Termination{ready: directory.TerminationSuspected, gone: directory.TerminationUnknown} {
		view := directory.Merge(nil, &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true, Servers: []*rockwindpb.Server{
			{Id: "a", Address: "address", State: ready}, {Id: "b", Address: "address", State: state},
		}})
		if got := view.Termination("a", directory.ProbeHistory{}); got != want {
			t.Errorf("with another incarnation that is %v: got %v, want %v", state, got, want)
		}
		if got := view.Termination("a", directory.ProbeHistory{}.With("a", directory.Identity{Found: "b", Rejected: "a"})); got != directory.TerminationConfirmed {
			t.Errorf("after another incarnation answered: got %v", got)
		}
	}
}
