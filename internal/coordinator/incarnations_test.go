package coordinator

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
)

func serverAt(id, address string) *rockwindpb.Server {
	return &rockwindpb.Server{Id: id, Service: "s", Address: address, State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: 1}
}

// viewOf returns a state with the given servers.
func viewOf(servers ...*rockwindpb.Server) *rootView {
	machine := newRootStateMachine()
	for _, server := range servers {
		machine.directory.Apply(&rockwindpb.DirectoryCommand{
			Command:    &rockwindpb.DirectoryCommand_Report{Report: server},
			Succession: &rockwindpb.Succession{},
		})
	}
	machine.Publish()
	return machine.view()
}

// TestSharedProbeEndsOnlyEarlierIncarnations guards against ending an incarnation that became known
// after the probe that a second report shares.
func TestSharedProbeEndsOnlyEarlierIncarnations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, later, reported := serverAt("old", "a"), serverAt("later", "a"), serverAt("reported", "a")
		probes := 0
		c := &Coordinator{identifier: func(context.Context, *rockwindpb.Server, string) (directory.Identity, error) {
			probes++
			time.Sleep(10 * time.Millisecond)
			return directory.Identity{Found: "reported"}, nil
		}}
		first := make(chan *rockwindpb.DirectoryCommand, 1)
		go func() { first <- c.reportCommand(viewOf(old), reported) }()
		time.Sleep(5 * time.Millisecond)
		second := c.reportCommand(viewOf(old, later), reported)
		if probes != 1 {
			t.Fatalf("%d probes, want 1", probes)
		}
		for _, command := range []*rockwindpb.DirectoryCommand{<-first, second} {
			if ended := command.GetSuccession().GetEnded(); !slices.Equal(ended, []string{"old"}) {
				t.Errorf("%v are considered ended", ended)
			}
		}
	})
}

// TestAddressConflictsAreProbedInTurn guards against probing some addresses again before others when
// there are more conflicts than probes per round.
func TestAddressConflictsAreProbedInTurn(t *testing.T) {
	var conflicts [][]*rockwindpb.Server
	for place := range 2*maxProbesPerRound + 1 {
		address := fmt.Sprintf("a%d", place)
		conflicts = append(conflicts, []*rockwindpb.Server{serverAt("x"+address, address), serverAt("y"+address, address)})
	}
	var prober addressProber
	now := time.Unix(1000, 0)
	probed := make(map[string]int)
	for range 3 {
		due := prober.takeDue(conflicts, now)
		if len(due) > maxProbesPerRound {
			t.Fatalf("%d probes in one round", len(due))
		}
		for _, conflict := range due {
			probed[conflict[0].GetAddress()]++
		}
		now = now.Add(probeInterval)
	}
	if len(probed) != len(conflicts) {
		t.Errorf("%d of %d addresses were probed", len(probed), len(conflicts))
	}
}

// TestRecordLeavesTheCommandAsItIs guards against modifying a command that is then committed.
func TestRecordLeavesTheCommandAsItIs(t *testing.T) {
	backing := []string{"old", "kept"}
	command := &rockwindpb.DirectoryCommand{Succession: &rockwindpb.Succession{Ended: backing[:1]}}
	recordProbe([]*rockwindpb.Server{serverAt("old", "a")}, directory.Identity{}, command)
	if !slices.Equal(backing, []string{"old", "kept"}) {
		t.Errorf("the command's list changed to %q", backing)
	}
}
