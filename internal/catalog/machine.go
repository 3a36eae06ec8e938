// Package catalog is the state machine of the root group. It holds the configuration
// in force, the acceptances of recent configurations, and recent changes. A daemon
// that is behind gets these changes merged into one.
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

// Limits of the history that a replica keeps.
const (
	// KeptAcceptances is how many acceptances are kept to recognize resent files.
	KeptAcceptances = 4096
	// KeptChanges is how many changes are kept. A daemon that is further behind
	// gets the full configuration.
	KeptChanges = 512
	// keptChangeBytes bounds the encoded size of the kept changes.
	keptChangeBytes = 16 << 20
)

// Outcome is the result of applying a command. Exactly one field is set.
type Outcome struct {
	// Response is set if the configuration is accepted, now or earlier.
	Response *rockwindpb.ApplyConfigurationResponse
	// Fault is set if the configuration is refused.
	Fault *fault.Fault
}

// NumberPolicy decides which configuration numbers are accepted. All replicas of a
// group must use the same policy.
type NumberPolicy int

// Number policies.
const (
	// NextNumber accepts only the number in force plus one, and refuses a different
	// file under an accepted number.
	NextNumber NumberPolicy = iota
	// HighestNumber accepts any number above the one in force. Lower or equal numbers
	// are acknowledged and change nothing.
	HighestNumber
)

// Machine is the replicated state machine. Only its owner goroutine may call it; the
// View that it returns is immutable.
type Machine struct {
	policy NumberPolicy
	view   *View
	// changeBytes is the encoded size of the kept changes.
	changeBytes int
	hooks       hooks
}

// hooks disable checks so that tests can verify that the oracle detects it.
type hooks struct {
	skipCompare bool
}

// New returns a machine without a configuration, with the policy NextNumber.
func New() *Machine {
	return NewWithPolicy(NextNumber)
}

// NewWithPolicy returns a machine without a configuration, with the given policy.
func NewWithPolicy(policy NumberPolicy) *Machine {
	return &Machine{policy: policy, view: newView(policy, configuration.Empty(), nil, nil)}
}

var _ replica.StateMachine = (*Machine)(nil)

// View returns the current state.
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

// Accept applies a decoded command by compare-and-set: the change takes effect only if
// it starts from the configuration in force. The content must have been checked
// before the command was proposed.
func (m *Machine) Accept(command *rockwindpb.CatalogCommand) Outcome {
	change := command.GetChange()
	if !m.hooks.skipCompare {
		if outcome, decided := m.view.OutcomeWithoutChange(change.GetNumber(), change.GetChecksum()); decided {
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

// record puts the next configuration in force and trims the history to its limits.
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

// Save returns the whole state. The message shares memory with the machine.
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
