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

// file returns a valid configuration with one group for each share above zero.
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

// oracle is the reference model: the accepted file of each number and its operator.
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

// daemon is a minimal follower that applies the changes that it receives.
type daemon struct {
	index *configuration.Index
}

// harness runs operations against the machine and the oracle and compares them.
type harness struct {
	oracle  oracle
	machine *Machine
	group   *replica.InMemoryGroup
	service *Service
	now     time.Time
	daemons []*daemon
	// submitted lists the files sent so far, to be resent.
	submitted []*rockwindpb.Configuration
	// delayed lists commands that were prepared to be proposed later.
	delayed [][]byte
}

func newHarness(disabled hooks) *harness {
	h := &harness{machine: New(), now: time.UnixMilli(1_000_000)}
	h.machine.hooks = disabled
	h.group = replica.NewInMemoryGroup(h.machine)
	h.service = NewService(h.group, h.machine, func() time.Time { return h.now })
	for range 3 {
		h.daemons = append(h.daemons, &daemon{index: configuration.Empty()})
	}
	return h
}

// drawFile returns a random file with a number near the one in force.
func (h *harness) drawFile(t *rapid.T) *rockwindpb.Configuration {
	offset := rapid.SampledFrom([]int{1, 1, 1, 0, 2, -1, -5}).Draw(t, "offset")
	number := max(int(h.oracle.inForce())+offset, 0)
	shares := rapid.SliceOfN(rapid.IntRange(0, 2), 3, 3).Draw(t, "shares")
	return file(uint64(number), shares...)
}

// submit submits a file and checks the response against the oracle.
func (h *harness) submit(t *rapid.T, configured *rockwindpb.Configuration, operator string) {
	h.now = h.now.Add(time.Second)
	h.submitted = append(h.submitted, proto.CloneOf(configured))
	digest := digestOf(t, configured)
	response, err := h.service.Submit(context.Background(), &rockwindpb.ApplyConfigurationRequest{
		Configuration: proto.CloneOf(configured), Operator: operator,
	})
	h.checkResponse(t, configured, digest, operator, response, err)
}

func (h *harness) checkResponse(t *rapid.T, configured *rockwindpb.Configuration, digest, operator string, response *rockwindpb.ApplyConfigurationResponse, err error) {
	number, inForce := configured.GetNumber(), h.oracle.inForce()
	switch {
	case number == 0:
		wantFault(t, err, fault.InvalidArgument)
	case number == inForce+1:
		h.oracle.accepted = append(h.oracle.accepted, accepted{digest: digest, operator: operator, unixMs: h.now.UnixMilli(), content: configured})
		h.wantAcceptance(t, response, err, number, false)
	case number > inForce:
		wantFault(t, err, fault.Conflict)
		if !strings.Contains(err.Error(), fmt.Sprintf("as number %d", inForce+1)) {
			t.Fatalf("%q does not name the number to use", err)
		}
	case h.oracle.accepted[number-1].digest == digest:
		h.wantAcceptance(t, response, err, number, true)
	default:
		kind := fault.Stale
		if number == inForce {
			kind = fault.Conflict
		}
		wantFault(t, err, kind)
		original := h.oracle.accepted[number-1]
		for _, part := range []string{original.operator, fmt.Sprintf("%x", original.digest), formatTime(original.unixMs)} {
			if !strings.Contains(err.Error(), part) {
				t.Fatalf("%q does not name %q of the accepted file", err, part)
			}
		}
	}
}

func (h *harness) wantAcceptance(t *rapid.T, response *rockwindpb.ApplyConfigurationResponse, err error, number uint64, resent bool) {
	if err != nil {
		t.Fatalf("configuration %d was refused: %v", number, err)
	}
	want := h.oracle.accepted[number-1]
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

// prepare encodes the command for the next number without proposing it, so that
// another file can be accepted in between.
func (h *harness) prepare(t *rapid.T) {
	configured := file(h.oracle.inForce()+1, rapid.SliceOfN(rapid.IntRange(0, 2), 3, 3).Draw(t, "shares")...)
	configuration.Normalise(configured)
	next, err := configuration.NewIndex(configured)
	if err != nil {
		t.Fatal(err)
	}
	command, err := proto.Marshal(&rockwindpb.CatalogCommand{
		NowUnixMs: h.now.UnixMilli(), Operator: "slow", Change: configuration.CompareIndexes(h.machine.View().Index(), next),
	})
	if err != nil {
		t.Fatal(err)
	}
	h.delayed = append(h.delayed, command)
}

// propose proposes a delayed command, possibly a second time.
func (h *harness) propose(t *rapid.T) {
	if len(h.delayed) == 0 {
		return
	}
	command := h.delayed[rapid.IntRange(0, len(h.delayed)-1).Draw(t, "delayed")]
	decoded := &rockwindpb.CatalogCommand{}
	if err := proto.Unmarshal(command, decoded); err != nil {
		t.Fatal(err)
	}
	result, err := h.group.Propose(context.Background(), command)
	if err != nil {
		t.Fatal(err)
	}
	outcome := result.(Outcome)
	change := decoded.GetChange()
	if change.GetNumber() == h.oracle.inForce()+1 {
		h.oracle.accepted = append(h.oracle.accepted, accepted{
			digest: string(change.GetChecksum()), operator: decoded.GetOperator(), unixMs: decoded.GetNowUnixMs(),
			content: h.machine.View().Index().Configuration(),
		})
		h.wantAcceptance(t, outcome.Response, outcomeError(outcome), change.GetNumber(), false)
		return
	}
	if h.oracle.accepted[change.GetNumber()-1].digest == string(change.GetChecksum()) {
		h.wantAcceptance(t, outcome.Response, outcomeError(outcome), change.GetNumber(), true)
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

// restart replaces the machine by one restored from its snapshot, and checks that the
// restored machine has the same snapshot.
func (h *harness) restart(t *rapid.T) {
	snapshot, err := h.machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	restored.hooks = h.machine.hooks
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
	*h.machine = *restored
}

// watch sends one daemon the change since its configuration.
func (h *harness) watch(t *rapid.T) {
	follower := h.daemons[rapid.IntRange(0, len(h.daemons)-1).Draw(t, "daemon")]
	before := follower.index
	change := h.machine.View().ChangeSince(before.Number(), before.Checksum())
	if change == nil {
		if before.Number() != h.oracle.inForce() {
			t.Fatalf("a daemon at %d gets no change, %d is in force", before.Number(), h.oracle.inForce())
		}
		return
	}
	after, err := before.Apply(change)
	if err != nil {
		t.Fatal(err)
	}
	if after.Number() <= before.Number() || after.Number() != h.oracle.inForce() {
		t.Fatalf("a daemon went from %d to %d, %d is in force", before.Number(), after.Number(), h.oracle.inForce())
	}
	if string(after.Checksum()) != h.oracle.accepted[after.Number()-1].digest {
		t.Fatal("a daemon has different content than was accepted")
	}
	follower.index = after
}

// watchUnknown requests changes for a daemon that is ahead of this replica, and for one
// that holds a configuration that was never accepted.
func (h *harness) watchUnknown(t *rapid.T) {
	view := h.machine.View()
	if change := view.ChangeSince(h.oracle.inForce()+1, nil); change != nil {
		t.Fatalf("a daemon that is ahead gets %v", change)
	}
	if h.oracle.inForce() == 0 {
		return
	}
	number := rapid.Uint64Range(1, h.oracle.inForce()).Draw(t, "number")
	change := view.ChangeSince(number, []byte("something else"))
	if !change.GetFull() {
		t.Fatal("a daemon with a wrong checksum does not get the full configuration")
	}
	if _, err := configuration.Empty().Apply(change); err != nil {
		t.Fatal(err)
	}
}

// run executes a random sequence of operations.
func run(t *rapid.T, disabled hooks) {
	h := newHarness(disabled)
	operators := rapid.SampledFrom([]string{"ann", "bob"})
	t.Repeat(map[string]func(*rapid.T){
		"submit": func(t *rapid.T) { h.submit(t, h.drawFile(t), operators.Draw(t, "operator")) },
		"resend": func(t *rapid.T) {
			if len(h.submitted) == 0 {
				return
			}
			again := h.submitted[rapid.IntRange(0, len(h.submitted)-1).Draw(t, "resent")]
			h.submit(t, again, operators.Draw(t, "operator"))
		},
		"prepare": h.prepare,
		"propose": h.propose,
		"restart": h.restart,
		"watch":   h.watch,
		"strange": h.watchUnknown,
		"": func(t *rapid.T) {
			if got := h.machine.View().Index().Number(); got != h.oracle.inForce() {
				t.Fatalf("configuration %d is in force, want %d", got, h.oracle.inForce())
			}
		},
	})
}

func TestCatalogAgreesWithOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { run(t, hooks{}) })
}
