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

// admit applies a report as a coordinator does that got the given answer.
func admit(d *directory.Directory, report *rockwindpb.Server, identity directory.Identity) {
	d.Apply(directory.ReportCommand(report, d.View().ConflictingWith(report), identity))
}

func stateOf(d *directory.Directory, id string) rockwindpb.ServerState {
	server, _ := d.View().Server(id)
	return server.GetState()
}

func TestLateReportOfAnUnknownIncarnationEndsNobody(t *testing.T) {
	d := directory.New()
	admit(d, reportOf("new", "x", 1), directory.Identity{})
	for sequence := range uint64(3) {
		admit(d, reportOf("old", "x", sequence+1), directory.Identity{Found: "new", Rejected: "old"})
	}
	if stateOf(d, "new") != ready || stateOf(d, "old") != gone {
		t.Fatalf("the new one is %v, the old one %v", stateOf(d, "new"), stateOf(d, "old"))
	}
	if changes := d.View().WouldChange(reportOf("old", "x", 9)); changes {
		t.Error("a further report of the old one needs a question")
	}
}

func TestRestartedServerTakesItsAddress(t *testing.T) {
	d := directory.New()
	admit(d, reportOf("old", "x", 9), directory.Identity{})
	admit(d, reportOf("new", "x", 1), directory.Identity{Found: "new"})
	if stateOf(d, "new") != ready || stateOf(d, "old") != gone || !d.View().Lost("old") {
		t.Fatalf("the new one is %v, the old one %v", stateOf(d, "new"), stateOf(d, "old"))
	}
}

func TestIncarnationsOfAnAddressThatDoesNotAnswerAreKept(t *testing.T) {
	for name, settled := range map[string]directory.Identity{
		"found":  {Found: "b"},
		"denied": {Rejected: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			admit(d, reportOf("a", "x", 1), directory.Identity{})
			admit(d, reportOf("b", "x", 1), directory.Identity{})
			admit(d, reportOf("c", "y", 1), directory.Identity{})
			if stateOf(d, "a") != ready || stateOf(d, "b") != ready {
				t.Fatalf("a is %v, b is %v", stateOf(d, "a"), stateOf(d, "b"))
			}
			contests := d.View().AddressConflicts()
			if len(contests) != 1 || len(contests[0]) != 2 {
				t.Fatalf("contests are %v", contests)
			}
			for _, nothing := range []directory.Identity{{}, {Found: "never-seen"}} {
				if command := directory.ResolveConflict(contests[0], nothing); command != nil {
					t.Fatalf("%v settles by %v", nothing, command)
				}
			}
			d.Apply(directory.ResolveConflict(contests[0], settled))
			if stateOf(d, "a") != gone || stateOf(d, "b") != ready || len(d.View().AddressConflicts()) != 0 {
				t.Errorf("a is %v, b is %v", stateOf(d, "a"), stateOf(d, "b"))
			}
		})
	}
}

// TestSuccessionOutlivesItsQuestion: another incarnation reports between the question and its
// commit. It was not asked about, and is kept.
func TestSuccessionOutlivesItsQuestion(t *testing.T) {
	d := directory.New()
	admit(d, reportOf("a", "x", 1), directory.Identity{})
	late := directory.ReportCommand(reportOf("b", "x", 1), d.View().ConflictingWith(reportOf("b", "x", 1)), directory.Identity{Found: "b"})
	admit(d, reportOf("c", "x", 1), directory.Identity{Found: "c"})
	d.Apply(late)
	if stateOf(d, "a") != gone || stateOf(d, "c") != ready {
		t.Fatalf("a is %v, c is %v", stateOf(d, "a"), stateOf(d, "c"))
	}
}

// fleet is a model of servers at two addresses, their messages on the way, and coordinators
// with views of different age.
type fleet struct {
	directory *directory.Directory
	views     []*directory.View
	// living has the incarnation at each address, and left those that said so.
	living   map[string]string
	left     map[string]bool
	sequence map[string]uint64
	born     int
	// mail is what was sent and may arrive at any time, more than once; pending is what
	// coordinators are about to commit.
	mail    []*rockwindpb.DirectoryCommand
	pending []*rockwindpb.DirectoryCommand
	now     int64
}

func newFleet() *fleet {
	f := &fleet{directory: directory.New(), living: map[string]string{}, left: map[string]bool{}, sequence: map[string]uint64{}}
	f.views = append(f.views, f.directory.View())
	return f
}

func (f *fleet) apply(command *rockwindpb.DirectoryCommand) {
	f.now += 10
	command.NowUnixMs = f.now
	f.directory.Apply(command)
	f.views = append(f.views, f.directory.View())
}

func (f *fleet) birth(address string) {
	if f.living[address] != "" {
		return
	}
	f.born++
	f.living[address] = fmt.Sprintf("i%02d", f.born)
	f.beat(address, ready)
}

func (f *fleet) beat(address string, state rockwindpb.ServerState) {
	id := f.living[address]
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
	f.mail = append(f.mail, &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: report}})
}

func (f *fleet) leave(address string) {
	if id := f.living[address]; id != "" {
		f.left[id] = true
		f.mail = append(f.mail, &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Leave{Leave: &rockwindpb.LeaveServerRequest{Id: id}}})
	}
}

// ask is the answer of an address now, as far as it tells.
func (f *fleet) ask(expected *rockwindpb.Server, tells int) directory.Identity {
	found := f.living[expected.GetAddress()]
	switch {
	case found == "" || tells == 0:
		return directory.Identity{}
	case found == expected.GetId():
		return directory.Identity{Found: found}
	case tells == 1:
		return directory.Identity{Rejected: expected.GetId()}
	}
	return directory.Identity{Found: found, Rejected: expected.GetId()}
}

// receive has a coordinator with the given view take a message and ask.
func (f *fleet) receive(view *directory.View, message *rockwindpb.DirectoryCommand, tells int) {
	report := message.GetReport()
	switch {
	case report == nil:
		f.pending = append(f.pending, message)
	case view.WouldChange(report):
		f.pending = append(f.pending, directory.ReportCommand(report, view.ConflictingWith(report), f.ask(report, tells)))
	}
}

// settle has a leader with the given view ask about contests.
func (f *fleet) settle(view *directory.View, tells int) {
	for _, contest := range view.AddressConflicts() {
		if command := directory.ResolveConflict(contest, f.ask(contest[0], tells)); command != nil {
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

// step does one thing that may happen at any time. All are equally likely, which draws of
// rapid's own are not.
func (f *fleet) step(random *rand.Rand) {
	address := []string{"x", "y"}[random.IntN(2)]
	tells := random.IntN(3)
	view := f.views[max(0, len(f.views)-1-random.IntN(4))]
	switch random.IntN(16) {
	case 0, 1:
		f.birth(address)
	case 2, 3:
		f.beat(address, ready)
	case 4:
		delete(f.living, address)
	case 5:
		if random.IntN(4) == 0 {
			f.goAway(address, random.IntN(2) == 0)
		}
	case 6:
		f.silence(random)
	case 7:
		f.settle(view, tells)
	case 8, 9, 10, 11:
		if len(f.mail) > 0 {
			f.receive(view, f.mail[random.IntN(len(f.mail))], tells)
		}
	default:
		f.commitOne(random)
	}
}

// goAway has a server say that it leaves.
func (f *fleet) goAway(address string, drains bool) {
	if drains {
		f.beat(address, draining)
		return
	}
	f.leave(address)
}

// commitOne takes one of the commands that are under way. It may be lost with its
// coordinator, and come again.
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

func (f *fleet) silence(random *rand.Rand) {
	var ids []string
	for _, server := range f.directory.View().Servers() {
		if random.IntN(2) == 0 {
			ids = append(ids, server.GetId())
		}
	}
	f.apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Silence{Silence: &rockwindpb.SilenceServers{Ids: ids}}})
}

// check: no incarnation that lives and has not said that it leaves is gone.
func (f *fleet) check(t *rapid.T) {
	for address, id := range f.living {
		if !f.left[id] && stateOf(f.directory, id) == gone {
			t.Fatalf("%s lives at %s and is gone", id, address)
		}
	}
}

// end has all that was sent arrive, all addresses answer, and checks who has them.
func (f *fleet) end(t *rapid.T) {
	const whole = 2
	f.commitAll()
	for address := range f.living {
		f.beat(address, ready)
	}
	for _, message := range f.mail {
		f.receive(f.directory.View(), message, whole)
		f.commitAll()
		f.check(t)
	}
	f.settle(f.directory.View(), whole)
	f.commitAll()
	f.check(t)
	for address, id := range f.living {
		if !f.left[id] {
			f.checkAlone(t, address, id)
		}
	}
}

// checkAlone: the incarnation that lives at an address is ready, and all others are gone.
func (f *fleet) checkAlone(t *rapid.T, address, id string) {
	if state := stateOf(f.directory, id); state != ready {
		t.Errorf("%s lives at %s and is %v", id, address, state)
	}
	for _, server := range f.directory.View().Servers() {
		if server.GetAddress() == address && server.GetId() != id && server.GetState() != gone {
			t.Errorf("%s is %v at the address of %s", server.GetId(), server.GetState(), id)
		}
	}
}

// TestTheIncarnationThatLivesHasTheAddress plays servers that start, end and leave, reports
// that arrive late, again and in any order at coordinators whose views are old, answers that
// are lost or tell little, and commands that are lost, late or repeated with their leader.
// Nobody that lives may be forgotten; and once all has arrived and addresses answer, the one
// that lives has its address alone.
func TestTheIncarnationThatLivesHasTheAddress(t *testing.T) {
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
			f.end(t)
		}
	})
}

// TestQuestionsLeaveTheViewAsItIs: others read the same view meanwhile.
func TestQuestionsLeaveTheViewAsItIs(t *testing.T) {
	d := directory.New()
	for _, id := range []string{"a", "b", "c"} {
		d.Apply(directory.ReportCommand(&rockwindpb.Server{Id: id, Address: "at-" + id, State: ready, Sequence: 1}, nil, directory.Identity{}))
	}
	view := d.View()
	before := fmt.Sprint(view.Servers())
	unknown := &rockwindpb.Server{Id: "d", Address: "at-c", State: ready, Sequence: 1}
	holders := view.ConflictingWith(unknown)
	view.ConflictingWith(&rockwindpb.Server{Id: "e", Address: "at-e", State: ready, Sequence: 1})
	directory.ResolveConflict(append(holders, unknown), directory.Identity{Found: "d"})
	view.AddressConflicts()
	if after := fmt.Sprint(view.Servers()); after != before {
		t.Fatalf("the view has %s after the questions, %s before", after, before)
	}
}
