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

// viewOf is a state that holds servers at one address.
func viewOf(servers ...*rockwindpb.Server) *rootView {
	machine := newRootMachine()
	for _, server := range servers {
		machine.directory.Apply(&rockwindpb.DirectoryCommand{
			Command:    &rockwindpb.DirectoryCommand_Report{Report: server},
			Succession: &rockwindpb.Succession{},
		})
	}
	machine.Publish()
	return machine.view()
}

// TestJoinedQuestionEndsOnlyThoseFromBeforeIt: an incarnation that became known after the
// address was asked may be the one that is there now. A second report that joins the question
// must not end it.
func TestJoinedQuestionEndsOnlyThoseFromBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, later, reported := serverAt("old", "a"), serverAt("later", "a"), serverAt("reported", "a")
		questions := 0
		c := &Coordinator{identifier: func(context.Context, *rockwindpb.Server, string) (directory.Identity, error) {
			questions++
			time.Sleep(10 * time.Millisecond)
			return directory.Identity{Found: "reported"}, nil
		}}
		first := make(chan *rockwindpb.DirectoryCommand, 1)
		go func() { first <- c.admission(viewOf(old), reported) }()
		time.Sleep(5 * time.Millisecond)
		second := c.admission(viewOf(old, later), reported)
		if questions != 1 {
			t.Fatalf("%d questions", questions)
		}
		for _, command := range []*rockwindpb.DirectoryCommand{<-first, second} {
			if ended := command.GetSuccession().GetEnded(); !slices.Equal(ended, []string{"old"}) {
				t.Errorf("%v are taken for ended", ended)
			}
		}
	})
}

// TestContestsAreAskedInTurn: more addresses are contested than are asked in one round, and
// each is asked before any is asked again.
func TestContestsAreAskedInTurn(t *testing.T) {
	var contests [][]*rockwindpb.Server
	for place := range 2*mostAsked + 1 {
		address := fmt.Sprintf("a%d", place)
		contests = append(contests, []*rockwindpb.Server{serverAt("x"+address, address), serverAt("y"+address, address)})
	}
	var i identities
	now := time.Unix(1000, 0)
	asked := make(map[string]int)
	for range 3 {
		due := i.due(contests, now)
		if len(due) > mostAsked {
			t.Fatalf("%d are asked in one round", len(due))
		}
		for _, contest := range due {
			asked[contest[0].GetAddress()]++
		}
		now = now.Add(askInterval)
	}
	if len(asked) != len(contests) {
		t.Errorf("%d of %d addresses are asked", len(asked), len(contests))
	}
}

// TestRecordLeavesTheCommandAsItIs: the command is on its way to the leader.
func TestRecordLeavesTheCommandAsItIs(t *testing.T) {
	backing := []string{"old", "kept"}
	command := &rockwindpb.DirectoryCommand{Succession: &rockwindpb.Succession{Ended: backing[:1]}}
	recordIdentity([]*rockwindpb.Server{serverAt("old", "a")}, directory.Identity{}, command)
	if !slices.Equal(backing, []string{"old", "kept"}) {
		t.Errorf("the command's list became %q", backing)
	}
}
