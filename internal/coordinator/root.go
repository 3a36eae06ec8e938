package coordinator

import (
	"context"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/catalog"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/zonedrain"
)

// rootMachine is the replicated state of the root group: the configuration, the
// directory, the quarantine and the drains of zones.
type rootMachine struct {
	catalog    *catalog.Machine
	directory  *directory.Directory
	quarantine *quarantine.Register
	zoneDrains *zonedrain.Register
	// views is what other goroutines read.
	views atomic.Pointer[rootView]
	// urgent is raised at changes that watchers are told at once: of the configuration and of
	// the drains of zones. Other changes come hundreds of times a second at a large site, and
	// would wake each of its held calls.
	urgent signal
}

// rootView is the root group's state as applied here.
type rootView struct {
	catalog    *catalog.View
	directory  *directory.View
	quarantine *quarantine.View
	zoneDrains *zonedrain.List
}

func newRootMachine() *rootMachine {
	created := &rootMachine{
		catalog: catalog.NewWithPolicy(catalog.HighestNumber), directory: directory.New(), quarantine: quarantine.New(), zoneDrains: zonedrain.New(),
	}
	created.Publish()
	return created
}

// Publish implements replica.Publisher.
func (m *rootMachine) Publish() {
	next := &rootView{
		catalog: m.catalog.View(), directory: m.directory.View(), quarantine: m.quarantine.View(), zoneDrains: m.zoneDrains.List(),
	}
	before := m.views.Swap(next)
	if before == nil || before.catalog != next.catalog || before.zoneDrains != next.zoneDrains {
		m.urgent.raise()
	}
}

// view is the state as applied on this replica.
func (m *rootMachine) view() *rootView { return m.views.Load() }

// Apply implements replica.StateMachine. The command is an encoded RootCommand.
func (m *rootMachine) Apply(_ uint64, command []byte) any {
	decoded := &rockwindpb.RootCommand{}
	if err := proto.Unmarshal(command, decoded); err != nil {
		return catalog.Outcome{Fault: fault.Newf(fault.Internal, "run the same version on all coordinators", "a command of the root group cannot be read: %v", err)}
	}
	if accepted := decoded.GetCatalog(); accepted != nil {
		return m.catalog.Accept(accepted)
	}
	if suspected := decoded.GetQuarantine(); suspected != nil {
		m.quarantine.Apply(suspected)
		return nil
	}
	if drained := decoded.GetZoneDrain(); drained != nil {
		m.zoneDrains.Apply(drained)
		return nil
	}
	m.directory.Apply(decoded.GetDirectory())
	return nil
}

// Snapshot implements replica.StateMachine.
func (m *rootMachine) Snapshot() ([]byte, error) {
	snapshot := &rockwindpb.RootSnapshot{
		Catalog: m.catalog.Save(), Directory: m.directory.Save(), Quarantine: m.quarantine.Save(), ZoneDrains: m.zoneDrains.Save(),
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

// Restore implements replica.StateMachine.
func (m *rootMachine) Restore(snapshot []byte) error {
	decoded := &rockwindpb.RootSnapshot{}
	if err := proto.Unmarshal(snapshot, decoded); err != nil {
		return fault.Newf(fault.Corrupt, "let the replica join again with an empty disk", "a snapshot of the root group cannot be read: %v", err)
	}
	if err := m.catalog.Load(decoded.GetCatalog()); err != nil {
		return err
	}
	m.directory.Load(decoded.GetDirectory())
	m.quarantine.Load(decoded.GetQuarantine())
	m.zoneDrains.Load(decoded.GetZoneDrains())
	m.Publish()
	return nil
}

// catalogGroup lets the catalog's service propose to the root group, whose
// commands have an envelope.
type catalogGroup struct {
	replica.Group
	machine *rootMachine
}

// Applied implements replica.Group for calls that wait for a configuration: it is closed at urgent
// changes alone.
func (g catalogGroup) Applied() <-chan struct{} { return g.machine.urgent.next() }

// Propose implements replica.Group.
func (g catalogGroup) Propose(ctx context.Context, command []byte) (any, error) {
	decoded := &rockwindpb.CatalogCommand{}
	if err := proto.Unmarshal(command, decoded); err != nil {
		return nil, err
	}
	return proposeRoot(ctx, g.Group, &rockwindpb.RootCommand{Command: &rockwindpb.RootCommand_Catalog{Catalog: decoded}})
}

func proposeRoot(ctx context.Context, group replica.Group, command *rockwindpb.RootCommand) (any, error) {
	encoded, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	return group.Propose(ctx, encoded)
}
