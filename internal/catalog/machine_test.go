package catalog

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// file is a valid configuration whose content is chosen by the shares of its
// groups; a share of zero leaves the group out.
func file(number uint64, shares ...int) *rockwindpb.Configuration {
	result := &rockwindpb.Configuration{Number: number}
	for i, share := range shares {
		if share > 0 {
			result.Groups = append(result.Groups, &rockwindpb.Group{Name: fmt.Sprintf("group-%d", i), Share: float64(share)})
		}
	}
	return result
}

func digestOf(t fataler, configured *rockwindpb.Configuration) string {
	copied := proto.CloneOf(configured)
	configuration.Normalise(copied)
	digest, err := configuration.Checksum(copied)
	if err != nil {
		t.Fatal(err)
	}
	return string(digest)
}

type fataler interface {
	Fatal(...any)
	Fatalf(string, ...any)
}

// oracle is the simplest statement of what the catalog promises: for each
// number the one file that was accepted, and from whom.
type oracle struct {
	accepted []accepted
}

type accepted struct {
	digest   string
	operator string
	unixMs   int64
	content  *rockwindpb.Configuration
}

func (o *oracle) inForce() uint64 {
	return uint64(len(o.accepted))
}

// daemon is a follower in the smallest form: it applies what it is given.
type daemon struct {
	index *configuration.Index
}

// world runs commands against several replicas of the machine and the oracle.
type world struct {
	oracle  oracle
	machine *Machine
	group   *replica.InMemoryGroup
	service *Service
	now     time.Time
	daemons []*daemon
	// submitted are files that operators may send again at any time.
	submitted []*rockwindpb.Configuration
	// delayed are commands that were prepared and not proposed yet.
	delayed [][]byte
}

func newWorld(broken hooks) *world {
	w := &world{machine: New(), now: time.UnixMilli(1_000_000)}
	w.machine.hooks = broken
	w.group = replica.NewInMemoryGroup(w.machine)
	w.service = NewService(w.group, w.machine, func() time.Time { return w.now })
	for range 3 {
		w.daemons = append(w.daemons, &daemon{index: configuration.Empty()})
	}
	return w
}

// drawFile makes a file with a number near the one in force.
func (w *world) drawFile(t *rapid.T) *rockwindpb.Configuration {
	offset := rapid.SampledFrom([]int{1, 1, 1, 0, 2, -1, -5}).Draw(t, "offset")
	number := max(int(w.oracle.inForce())+offset, 0)
	shares := rapid.SliceOfN(rapid.IntRange(0, 2), 3, 3).Draw(t, "shares")
	return file(uint64(number), shares...)
}

// submit applies a file and compares the answer with the oracle's.
func (w *world) submit(t *rapid.T, configured *rockwindpb.Configuration, operator string) {
	w.now = w.now.Add(time.Second)
	w.submitted = append(w.submitted, proto.CloneOf(configured))
	digest := digestOf(t, configured)
	response, err := w.service.Submit(context.Background(), &rockwindpb.ApplyConfigurationRequest{
		Configuration: proto.CloneOf(configured), Operator: operator,
	})
	w.judge(t, configured, digest, operator, response, err)
}

func (w *world) judge(t *rapid.T, configured *rockwindpb.Configuration, digest, operator string, response *rockwindpb.ApplyConfigurationResponse, err error) {
	number, inForce := configured.GetNumber(), w.oracle.inForce()
	switch {
	case number == 0:
		wantFault(t, err, fault.InvalidArgument)
	case number == inForce+1:
		w.oracle.accepted = append(w.oracle.accepted, accepted{digest: digest, operator: operator, unixMs: w.now.UnixMilli(), content: configured})
		w.wantAcceptance(t, response, err, number, false)
	case number > inForce:
		wantFault(t, err, fault.Conflict)
		if !strings.Contains(err.Error(), fmt.Sprintf("as number %d", inForce+1)) {
			t.Fatalf("%q does not name the number to use", err)
		}
	case w.oracle.accepted[number-1].digest == digest:
		w.wantAcceptance(t, response, err, number, true)
	default:
		kind := fault.Stale
		if number == inForce {
			kind = fault.Conflict
		}
		wantFault(t, err, kind)
		winner := w.oracle.accepted[number-1]
		for _, part := range []string{winner.operator, fmt.Sprintf("%x", winner.digest), formatTime(winner.unixMs)} {
			if !strings.Contains(err.Error(), part) {
				t.Fatalf("%q does not name the winner's %q", err, part)
			}
		}
	}
}

func (w *world) wantAcceptance(t *rapid.T, response *rockwindpb.ApplyConfigurationResponse, err error, number uint64, resent bool) {
	if err != nil {
		t.Fatalf("configuration %d was refused: %v", number, err)
	}
	want := w.oracle.accepted[number-1]
	got := response.GetAcceptance()
	if response.GetResent() != resent || got.GetNumber() != number || got.GetOperator() != want.operator ||
		got.GetAcceptedUnixMs() != want.unixMs || string(got.GetChecksum()) != want.digest {
		t.Fatalf("got %v, want number %d of %q, resent %v", response, number, want.operator, resent)
	}
}

func wantFault(t *rapid.T, err error, kind fault.Kind) {
	if !fault.Is(err, kind) {
		t.Fatalf("got %v, want %v", err, kind)
	}
	if fault.From(err).Remedy == "" && kind != fault.InvalidArgument {
		t.Fatalf("%v has no remedy", err)
	}
}

// prepare makes the command for the next number as a leader does before it
// proposes, so that another file may be accepted in between.
func (w *world) prepare(t *rapid.T) {
	configured := file(w.oracle.inForce()+1, rapid.SliceOfN(rapid.IntRange(0, 2), 3, 3).Draw(t, "shares")...)
	configuration.Normalise(configured)
	next, err := configuration.NewIndex(configured)
	if err != nil {
		t.Fatal(err)
	}
	command, err := proto.Marshal(&rockwindpb.CatalogCommand{
		NowUnixMs: w.now.UnixMilli(), Operator: "slow", Change: configuration.CompareIndexes(w.machine.View().Index(), next),
	})
	if err != nil {
		t.Fatal(err)
	}
	w.delayed = append(w.delayed, command)
}

// propose commits a delayed command, perhaps for the second time.
func (w *world) propose(t *rapid.T) {
	if len(w.delayed) == 0 {
		return
	}
	command := w.delayed[rapid.IntRange(0, len(w.delayed)-1).Draw(t, "delayed")]
	decoded := &rockwindpb.CatalogCommand{}
	if err := proto.Unmarshal(command, decoded); err != nil {
		t.Fatal(err)
	}
	result, err := w.group.Propose(context.Background(), command)
	if err != nil {
		t.Fatal(err)
	}
	outcome := result.(Outcome)
	change := decoded.GetChange()
	if change.GetNumber() == w.oracle.inForce()+1 {
		w.oracle.accepted = append(w.oracle.accepted, accepted{
			digest: string(change.GetChecksum()), operator: decoded.GetOperator(), unixMs: decoded.GetNowUnixMs(),
			content: w.machine.View().Index().Configuration(),
		})
		w.wantAcceptance(t, outcome.Response, outcomeError(outcome), change.GetNumber(), false)
		return
	}
	if w.oracle.accepted[change.GetNumber()-1].digest == string(change.GetChecksum()) {
		w.wantAcceptance(t, outcome.Response, outcomeError(outcome), change.GetNumber(), true)
		return
	}
	if outcome.Fault == nil {
		t.Fatalf("a second file was accepted with number %d", change.GetNumber())
	}
}

func outcomeError(outcome Outcome) error {
	if outcome.Fault != nil {
		return outcome.Fault
	}
	return nil
}

// restart replaces the machine by one restored from its snapshot, and checks
// that equal states have equal snapshots.
func (w *world) restart(t *rapid.T) {
	snapshot, err := w.machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	restored.hooks = w.machine.hooks
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(snapshot, again) {
		t.Fatal("the snapshot of a restored machine differs")
	}
	*w.machine = *restored
}

// watch lets a daemon ask for what is new.
func (w *world) watch(t *rapid.T) {
	follower := w.daemons[rapid.IntRange(0, len(w.daemons)-1).Draw(t, "daemon")]
	before := follower.index
	change := w.machine.View().ChangeSince(before.Number(), before.Checksum())
	if change == nil {
		if before.Number() != w.oracle.inForce() {
			t.Fatalf("a daemon at %d learns nothing, %d is in force", before.Number(), w.oracle.inForce())
		}
		return
	}
	after, err := before.Apply(change)
	if err != nil {
		t.Fatal(err)
	}
	if after.Number() <= before.Number() || after.Number() != w.oracle.inForce() {
		t.Fatalf("a daemon went from %d to %d, %d is in force", before.Number(), after.Number(), w.oracle.inForce())
	}
	if string(after.Checksum()) != w.oracle.accepted[after.Number()-1].digest {
		t.Fatal("a daemon got another content than was accepted")
	}
	follower.index = after
}

// strange lets a daemon ask that holds something that was never accepted, or
// that is ahead of this replica.
func (w *world) strange(t *rapid.T) {
	view := w.machine.View()
	if change := view.ChangeSince(w.oracle.inForce()+1, nil); change != nil {
		t.Fatalf("a daemon that is ahead gets %v", change)
	}
	if w.oracle.inForce() == 0 {
		return
	}
	number := rapid.Uint64Range(1, w.oracle.inForce()).Draw(t, "number")
	change := view.ChangeSince(number, []byte("something else"))
	if !change.GetFull() {
		t.Fatal("a daemon with a wrong checksum does not get the whole")
	}
	if _, err := configuration.Empty().Apply(change); err != nil {
		t.Fatal(err)
	}
}

// run plays a random history.
func run(t *rapid.T, broken hooks) {
	w := newWorld(broken)
	operators := rapid.SampledFrom([]string{"ann", "bob"})
	t.Repeat(map[string]func(*rapid.T){
		"submit": func(t *rapid.T) { w.submit(t, w.drawFile(t), operators.Draw(t, "operator")) },
		"resend": func(t *rapid.T) {
			if len(w.submitted) == 0 {
				return
			}
			again := w.submitted[rapid.IntRange(0, len(w.submitted)-1).Draw(t, "resent")]
			w.submit(t, again, operators.Draw(t, "operator"))
		},
		"prepare": w.prepare,
		"propose": w.propose,
		"restart": w.restart,
		"watch":   w.watch,
		"strange": w.strange,
		"": func(t *rapid.T) {
			if got := w.machine.View().Index().Number(); got != w.oracle.inForce() {
				t.Fatalf("configuration %d is in force, want %d", got, w.oracle.inForce())
			}
		},
	})
}

func TestCatalogAgreesWithOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { run(t, hooks{}) })
}
