// Package catalog is the state machine of the root group: the configuration in
// force, the acceptances of the last ones, and the last changes, from which a
// daemon that fell behind gets one merged change.
package catalog

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Bounds of what a replica keeps.
const (
	// KeptAcceptances is how many acceptances a resend can still be matched to.
	KeptAcceptances = 4096
	// KeptChanges is how many numbers a daemon may be behind and still get a
	// change instead of the whole.
	KeptChanges = 512
	// keptChangeBytes bounds the encoded size of the kept changes.
	keptChangeBytes = 16 << 20
)

// Outcome is the result of applying a command. Exactly one field is set.
type Outcome struct {
	// Response is set where the configuration was accepted, now or before.
	Response *rockwindpb.ApplyConfigurationResponse
	// Fault is set where it was refused.
	Fault *fault.Fault
}

// NumberPolicy says which numbers of configurations are accepted. All replicas
// of a group must use the same.
type NumberPolicy int

// The policies.
const (
	// NextNumber accepts exactly one more than the number in force, and refuses a
	// different file under an accepted number.
	NextNumber NumberPolicy = iota
	// HighestNumber accepts any number above the one in force. A number that is
	// not above it is acknowledged and changes nothing.
	HighestNumber
)

// Machine is the replicated state. Its owner goroutine alone may call it; the
// View that it hands out is immutable.
type Machine struct {
	policy NumberPolicy
	view   *View
	// changeBytes is the encoded size of the kept changes.
	changeBytes int
	hooks       hooks
}

// hooks let tests break the machine on purpose.
type hooks struct {
	skipCompare bool
}

// New returns a machine in which no configuration was accepted yet. It accepts
// consecutive numbers only.
func New() *Machine {
	return NewWithPolicy(NextNumber)
}

// NewWithPolicy is New with another policy of numbers.
func NewWithPolicy(policy NumberPolicy) *Machine {
	return &Machine{policy: policy, view: newView(policy, configuration.Empty(), nil, nil)}
}

var _ replica.StateMachine = (*Machine)(nil)

// View returns the state as applied so far.
func (m *Machine) View() *View {
	return m.view
}

// Apply implements replica.StateMachine. The command is an encoded
// CatalogCommand; the result is an Outcome.
func (m *Machine) Apply(_ uint64, command []byte) any {
	decoded := &rockwindpb.CatalogCommand{}
	if err := proto.Unmarshal(command, decoded); err != nil {
		return Outcome{Fault: fault.Newf(fault.Internal, "run the same version on all control machines", "a command of the root group cannot be read: %v", err)}
	}
	return m.Accept(decoded)
}

// Accept applies a decoded command. It is the compare-and-set: the change takes effect only where it starts
// from the configuration in force. The content was checked before it was
// proposed.
func (m *Machine) Accept(command *rockwindpb.CatalogCommand) Outcome {
	change := command.GetChange()
	if !m.hooks.skipCompare {
		if outcome, settled := m.view.OutcomeWithoutChange(change.GetNumber(), change.GetChecksum()); settled {
			return outcome
		}
	}
	next, err := m.view.index.Apply(change)
	if err != nil {
		return Outcome{Fault: fault.From(err)}
	}
	acceptance := &rockwindpb.Acceptance{
		Number:         next.Number(),
		Checksum:       next.Checksum(),
		Operator:       command.GetOperator(),
		AcceptedUnixMs: command.GetNowUnixMs(),
	}
	m.record(next, acceptance, change)
	m.view.source = command.GetSource()
	return Outcome{Response: &rockwindpb.ApplyConfigurationResponse{Acceptance: acceptance}}
}

// record makes the next configuration the one in force and drops what is older
// than the bounds.
func (m *Machine) record(next *configuration.Index, acceptance *rockwindpb.Acceptance, change *rockwindpb.ConfigurationChange) {
	acceptances := append(m.view.acceptances, acceptance)
	if len(acceptances) > KeptAcceptances {
		acceptances = acceptances[len(acceptances)-KeptAcceptances:]
	}
	changes := append(m.view.changes, change)
	m.changeBytes += proto.Size(change)
	for len(changes) > KeptChanges || (m.changeBytes > keptChangeBytes && len(changes) > 0) {
		m.changeBytes -= proto.Size(changes[0])
		changes = changes[1:]
	}
	m.view = newView(m.policy, next, acceptances, changes)
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m.Save())
}

// Save returns the whole state. The message shares its content with the machine.
func (m *Machine) Save() *rockwindpb.CatalogSnapshot {
	return &rockwindpb.CatalogSnapshot{
		Configuration: m.view.index.Configuration(),
		Acceptances:   m.view.acceptances,
		Changes:       m.view.changes,
		Source:        m.view.source,
	}
}

// Restore implements replica.StateMachine.
func (m *Machine) Restore(snapshot []byte) error {
	decoded := &rockwindpb.CatalogSnapshot{}
	if err := proto.Unmarshal(snapshot, decoded); err != nil {
		return fault.Newf(fault.Corrupt, "let the replica join again with an empty disk", "a snapshot of the root group cannot be read: %v", err)
	}
	return m.Load(decoded)
}

// Load replaces the whole state with one that Save returned.
func (m *Machine) Load(decoded *rockwindpb.CatalogSnapshot) error {
	index, err := configuration.NewIndex(decoded.GetConfiguration())
	if err != nil {
		return err
	}
	view := newView(m.policy, index, decoded.GetAcceptances(), decoded.GetChanges())
	if last := view.Acceptance(); last != nil && !bytes.Equal(last.GetChecksum(), index.Checksum()) {
		return fault.Newf(fault.Corrupt, "let the replica join again with an empty disk",
			"the snapshot's configuration %d does not match its checksum", index.Number())
	}
	view.source = decoded.GetSource()
	m.view = view
	m.changeBytes = 0
	for _, change := range view.changes {
		m.changeBytes += proto.Size(change)
	}
	return nil
}

func formatTime(unixMilliseconds int64) string {
	return time.UnixMilli(unixMilliseconds).UTC().Format(time.RFC3339)
}
