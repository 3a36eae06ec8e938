package directory_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
)

func reportOf(id, address string, sequence uint64) *rockwindpb.Server {
	return &rockwindpb.Server{Id: id, Service: "s", Address: address, State: ready, Sequence: sequence}
}

// applyReport applies a report as a coordinator does after a probe with the given result.
func applyReport(d *directory.Directory, report *rockwindpb.Server, identity directory.Identity) {
	d.Apply(directory.ReportCommand(report, d.View().ConflictingWith(report), identity))
}

func stateOf(d *directory.Directory, id string) rockwindpb.ServerState {
	server, _ := d.View().Server(id)
	return server.GetState()
}

func TestLateReportOfAnUnknownIncarnationEndsNobody(t *testing.T) {
	d := directory.New()
	applyReport(d, reportOf("new", "x", 1), directory.Identity{})
	for sequence := range uint64(3) {
		applyReport(d, reportOf("old", "x", sequence+1), directory.Identity{Found: "new", Rejected: "old"})
	}
	if stateOf(d, "new") != ready || stateOf(d, "old") != gone {
		t.Fatalf("new incarnation is %v, old one is %v", stateOf(d, "new"), stateOf(d, "old"))
	}
	if changes := d.View().WouldChange(reportOf("old", "x", 9)); changes {
		t.Error("a further report of the old incarnation would need a probe")
	}
}

func TestRestartedServerTakesItsAddress(t *testing.T) {
	d := directory.New()
	applyReport(d, reportOf("old", "x", 9), directory.Identity{})
	applyReport(d, reportOf("new", "x", 1), directory.Identity{Found: "new"})
	if stateOf(d, "new") != ready || stateOf(d, "old") != gone || !d.View().Lost("old") {
		t.Fatalf("new incarnation is %v, old one is %v", stateOf(d, "new"), stateOf(d, "old"))
	}
}

func TestIncarnationsOfAnAddressThatDoesNotAnswerAreKept(t *testing.T) {
	for name, settled := range map[string]directory.Identity{
		"found":  {Found: "b"},
		"denied": {Rejected: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			applyReport(d, reportOf("a", "x", 1), directory.Identity{})
			applyReport(d, reportOf("b", "x", 1), directory.Identity{})
			applyReport(d, reportOf("c", "y", 1), directory.Identity{})
			if stateOf(d, "a") != ready || stateOf(d, "b") != ready {
				t.Fatalf("a is %v, b is %v", stateOf(d, "a"), stateOf(d, "b"))
			}
			conflicts := d.View().AddressConflicts()
			if len(conflicts) != 1 || len(conflicts[0]) != 2 {
				t.Fatalf("unexpected conflicts: %v", conflicts)
			}
			for _, nothing := range []directory.Identity{{}, {Found: "never-seen"}} {
				if command := directory.ResolveConflict(conflicts[0], nothing); command != nil {
					t.Fatalf("probe result %v led to command %v", nothing, command)
				}
			}
			d.Apply(directory.ResolveConflict(conflicts[0], settled))
			if stateOf(d, "a") != gone || stateOf(d, "b") != ready || len(d.View().AddressConflicts()) != 0 {
				t.Errorf("a is %v, b is %v", stateOf(d, "a"), stateOf(d, "b"))
			}
		})
	}
}

// TestLaterIncarnationSurvivesEarlierProbe guards against ending an incarnation that reported
// between a probe and the commit of its result.
func TestLaterIncarnationSurvivesEarlierProbe(t *testing.T) {
	d := directory.New()
	applyReport(d, reportOf("a", "x", 1), directory.Identity{})
	late := directory.ReportCommand(reportOf("b", "x", 1), d.View().ConflictingWith(reportOf("b", "x", 1)), directory.Identity{Found: "b"})
	applyReport(d, reportOf("c", "x", 1), directory.Identity{Found: "c"})
	d.Apply(late)
	if stateOf(d, "a") != gone || stateOf(d, "c") != ready {
		t.Fatalf("a is %v, c is %v", stateOf(d, "a"), stateOf(d, "c"))
	}
}

// fleet models servers at two addresses, their messages in flight, and coordinators with views
// of different age.
type fleet struct {
	directory *directory.Directory
	views     []*directory.View
	// live maps addresses to the running incarnation; left holds those that announced a leave.
	live     map[string]string
	left     map[string]bool
	sequence map[string]uint64
	started  int
	// inFlight holds sent messages, which may arrive at any time and repeatedly; pending holds
	// commands that coordinators are about to commit.
	inFlight []*rockwindpb.DirectoryCommand
	pending  []*rockwindpb.DirectoryCommand
	now      int64
}

func newFleet() *fleet {
	f := &fleet{directory: directory.New(), live: map[string]string{}, left: map[string]bool{}, sequence: map[string]uint64{}}
	f.views = append(f.views, f.directory.View())
	return f
}

func (f *fleet) apply(command *rockwindpb.DirectoryCommand) {
	f.now += 10
	command.NowUnixMs = f.now
	f.directory.Apply(command)
	f.views = append(f.views, f.directory.View())
}

func (f *fleet) startServer(address string) {
	if f.live[address] != "" {
		return
	}
	f.started++
	f.live[address] = fmt.Sprintf("i%02d", f.started)
	f.sendReport(address, ready)
}

func (f *fleet) sendReport(address string, state rockwindpb.ServerState) {
	id := f.live[address]
	if id == "" {
		return
	}
	f.sequence[id]++
	report := reportOf(id, address, f.sequence[id])
	report.State = state
	if f.left[id] {
		report.State = draining
	}
	f.left[id] = f.left[id] || state == draining
	f.inFlight = append(f.inFlight, &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: report}})
}

func (f *fleet) leave(address string) {
	if id := f.live[address]; id != "" {
		f.left[id] = true
		f.inFlight = append(f.inFlight, &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Leave{Leave: &rockwindpb.LeaveServerRequest{Id: id}}})
	}
}

// probe returns the answer of an address. detail selects how much it reveals: 0 nothing, 1 a
// rejection, 2 also the identifier of the running incarnation.
func (f *fleet) probe(expected *rockwindpb.Server, detail int) directory.Identity {
	found := f.live[expected.GetAddress()]
	switch {
	case found == "" || detail == 0:
		return directory.Identity{}
	case found == expected.GetId():
		return directory.Identity{Found: found}
	case detail == 1:
		return directory.Identity{Rejected: expected.GetId()}
	}
	return directory.Identity{Found: found, Rejected: expected.GetId()}
}

// receive has a coordinator with the given view handle a message and probe the address.
func (f *fleet) receive(view *directory.View, message *rockwindpb.DirectoryCommand, detail int) {
	report := message.GetReport()
	switch {
	case report == nil:
		f.pending = append(f.pending, message)
	case view.WouldChange(report):
		f.pending = append(f.pending, directory.ReportCommand(report, view.ConflictingWith(report), f.probe(report, detail)))
	}
}

// resolveConflicts has a leader with the given view probe the addresses in conflict.
func (f *fleet) resolveConflicts(view *directory.View, detail int) {
	for _, conflict := range view.AddressConflicts() {
		if command := directory.ResolveConflict(conflict, f.probe(conflict[0], detail)); command != nil {
			f.pending = append(f.pending, command)
		}
	}
}

func (f *fleet) commitAll() {
	for _, command := range f.pending {
		f.apply(command)
	}
	f.pending = nil
}

// step performs a random action. It uses its own generator because rapid's draws are not uniform.
func (f *fleet) step(random *rand.Rand) {
	address := []string{"x", "y"}[random.IntN(2)]
	detail := random.IntN(3)
	view := f.views[max(0, len(f.views)-1-random.IntN(4))]
	switch random.IntN(16) {
	case 0, 1:
		f.startServer(address)
	case 2, 3:
		f.sendReport(address, ready)
	case 4:
		delete(f.live, address)
	case 5:
		if random.IntN(4) == 0 {
			f.sendLeave(address, random.IntN(2) == 0)
		}
	case 6:
		f.silenceSome(random)
	case 7:
		f.resolveConflicts(view, detail)
	case 8, 9, 10, 11:
		if len(f.inFlight) > 0 {
			f.receive(view, f.inFlight[random.IntN(len(f.inFlight))], detail)
		}
	default:
		f.commitOne(random)
	}
}

// sendLeave announces that a server leaves, by a draining report or a leave.
func (f *fleet) sendLeave(address string, drains bool) {
	if drains {
		f.sendReport(address, draining)
		return
	}
	f.leave(address)
}

// commitOne commits a random pending command, which may also be lost or remain pending.
func (f *fleet) commitOne(random *rand.Rand) {
	if len(f.pending) == 0 {
		return
	}
	at := random.IntN(len(f.pending))
	command := f.pending[at]
	if again := random.IntN(4) == 0; !again {
		f.pending = slices.Delete(f.pending, at, at+1)
	}
	if lost := random.IntN(4) == 0; !lost {
		f.apply(command)
	}
}

func (f *fleet) silenceSome(random *rand.Rand) {
	var ids []string
	for _, server := range f.directory.View().Servers() {
		if random.IntN(2) == 0 {
			ids = append(ids, server.GetId())
		}
	}
	f.apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Silence{Silence: &rockwindpb.SilenceServers{Ids: ids}}})
}

// check verifies that no running incarnation that has not announced a leave is gone.
func (f *fleet) check(t *rapid.T) {
	for address, id := range f.live {
		if !f.left[id] && stateOf(f.directory, id) == gone {
			t.Fatalf("%s runs at %s and is gone", id, address)
		}
	}
}

// settleAndCheck delivers all messages, probes all addresses and checks the final state.
func (f *fleet) settleAndCheck(t *rapid.T) {
	const fullAnswer = 2
	f.commitAll()
	for address := range f.live {
		f.sendReport(address, ready)
	}
	for _, message := range f.inFlight {
		f.receive(f.directory.View(), message, fullAnswer)
		f.commitAll()
		f.check(t)
	}
	f.resolveConflicts(f.directory.View(), fullAnswer)
	f.commitAll()
	f.check(t)
	for address, id := range f.live {
		if !f.left[id] {
			f.checkAlone(t, address, id)
		}
	}
}

// checkAlone verifies that the incarnation running at an address is ready and all others are gone.
func (f *fleet) checkAlone(t *rapid.T, address, id string) {
	if state := stateOf(f.directory, id); state != ready {
		t.Errorf("%s runs at %s and is %v", id, address, state)
	}
	for _, server := range f.directory.View().Servers() {
		if server.GetAddress() == address && server.GetId() != id && server.GetState() != gone {
			t.Errorf("%s is %v at the address of %s", server.GetId(), server.GetState(), id)
		}
	}
}

// TestRunningIncarnationKeepsItsAddress simulates starts, ends and leaves with reports and
// commands that are delayed, lost, repeated and reordered, stale views, and partial or lost
// probe answers. A running incarnation must never become gone, and once all messages have
// arrived and addresses answer, it must be the only one at its address.
func TestRunningIncarnationKeepsItsAddress(t *testing.T) {
	const fleets, mostSteps = 50, 150
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		for each := range uint64(fleets) {
			f := newFleet()
			random := rand.New(rand.NewPCG(seed, each))
			for range random.IntN(mostSteps) {
				f.step(random)
				f.check(t)
			}
			f.settleAndCheck(t)
		}
	})
}

// TestQueriesDoNotModifyView guards against modifying a view that other goroutines read.
func TestQueriesDoNotModifyView(t *testing.T) {
	d := directory.New()
	for _, id := range []string{"a", "b", "c"} {
		d.Apply(directory.ReportCommand(&rockwindpb.Server{Id: id, Address: "at-" + id, State: ready, Sequence: 1}, nil, directory.Identity{}))
	}
	view := d.View()
	before := fmt.Sprint(view.Servers())
	unknown := &rockwindpb.Server{Id: "d", Address: "at-c", State: ready, Sequence: 1}
	conflicting := view.ConflictingWith(unknown)
	view.ConflictingWith(&rockwindpb.Server{Id: "e", Address: "at-e", State: ready, Sequence: 1})
	directory.ResolveConflict(append(conflicting, unknown), directory.Identity{Found: "d"})
	view.AddressConflicts()
	if after := fmt.Sprint(view.Servers()); after != before {
		t.Fatalf("the view is %s after the queries, %s before", after, before)
	}
}
