package coordinator

import (
	"context"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/catalog"
	"rockwind.example/rockwind/internal/coldstart"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featurelevel"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/zonedrain"
)

// rootStateMachine is the replicated state of the root group: the configuration, the directory,
// the quarantine, the drained zones, the cold servers and the feature levels of the coordinators.
type rootStateMachine struct {
	catalog    *catalog.Machine
	directory  *directory.Directory
	quarantine *quarantine.Registry
	zoneDrains *zonedrain.Registry
	cold       *coldstart.Registry
	levels     *featurelevel.Levels
	// published is the view for other goroutines.
	published atomic.Pointer[rootView]
	// urgent is notified at changes that watchers receive immediately: those of the configuration,
	// of zone drains and of cold servers. A large site has hundreds of other changes per second, which must not
	// wake every watch.
	urgent signal
}

// rootView is an immutable view of the applied state.
type rootView struct {
	catalog    *catalog.View
	directory  *directory.View
	quarantine *quarantine.View
	zoneDrains *zonedrain.List
	cold       *coldstart.List
	levels     *featurelevel.Levels
}

func newRootStateMachine() *rootStateMachine {
	created := &rootStateMachine{
		catalog: catalog.NewWithPolicy(catalog.HighestNumber), directory: directory.New(), quarantine: quarantine.New(), zoneDrains: zonedrain.New(),
		cold: coldstart.NewRegistry(),
	}
	created.Publish()
	return created
}

// Publish implements replica.Publisher.
func (m *rootStateMachine) Publish() {
	next := &rootView{
		catalog: m.catalog.View(), directory: m.directory.View(), quarantine: m.quarantine.View(), zoneDrains: m.zoneDrains.List(),
		cold: m.cold.List(), levels: m.levels,
	}
	previous := m.published.Swap(next)
	if previous == nil || previous.catalog != next.catalog || previous.zoneDrains != next.zoneDrains || previous.cold != next.cold {
		m.urgent.notify()
	}
}

// view returns the last published view.
func (m *rootStateMachine) view() *rootView { return m.published.Load() }

// Apply implements replica.StateMachine. The command is an encoded RootCommand.
func (m *rootStateMachine) Apply(_ uint64, command []byte) any {
	decoded := &rockwindpb.RootCommand{}
	if err := proto.Unmarshal(command, decoded); err != nil {
		return catalog.Outcome{Fault: fault.Newf(fault.Internal, "run the same version on all coordinators", "cannot decode a root group command: %v", err)}
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
	if cold := decoded.GetColdServer(); cold != nil {
		m.cold.Apply(cold)
		return nil
	}
	m.directory.Apply(decoded.GetDirectory())
	m.applyLevel(decoded.GetDirectory())
	return nil
}

// applyLevel records the feature level of an announced coordinator. The level of a coordinator that
// is forgotten is kept: it stays a member of the root group, and a gate must not close whenever a
// coordinator is silent. One of an earlier version that returns announces itself without a level.
func (m *rootStateMachine) applyLevel(command *rockwindpb.DirectoryCommand) {
	if announced := command.GetAnnounce(); announced.GetRole() == rockwindpb.SiteRole_SITE_ROLE_COORDINATOR {
		m.levels = m.levels.With(announced.GetName(), announced.GetFeatureLevel())
	}
}

// Snapshot implements replica.StateMachine.
func (m *rootStateMachine) Snapshot() ([]byte, error) {
	snapshot := &rockwindpb.RootSnapshot{
		Catalog: m.catalog.Save(), Directory: m.directory.Save(), Quarantine: m.quarantine.Save(), ZoneDrains: m.zoneDrains.Save(),
		ColdServers: m.cold.Save(), FeatureLevels: m.levels.Save(),
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

// Restore implements replica.StateMachine.
func (m *rootStateMachine) Restore(snapshot []byte) error {
	decoded := &rockwindpb.RootSnapshot{}
	if err := proto.Unmarshal(snapshot, decoded); err != nil {
		return fault.Newf(fault.Corrupt, "let the replica join again with an empty disk", "cannot decode a root group snapshot: %v", err)
	}
	if err := m.catalog.Load(decoded.GetCatalog()); err != nil {
		return err
	}
	m.directory.Load(decoded.GetDirectory())
	m.quarantine.Load(decoded.GetQuarantine())
	m.zoneDrains.Load(decoded.GetZoneDrains())
	m.cold.Load(decoded.GetColdServers())
	m.levels = featurelevel.Load(decoded.GetFeatureLevels())
	m.Publish()
	return nil
}

// catalogGroup wraps the commands that the catalog service proposes in root group commands.
type catalogGroup struct {
	replica.Group
	machine *rootStateMachine
}

// Applied implements replica.Group. The channel is closed at urgent changes only, which include
// those of the configuration.
func (g catalogGroup) Applied() <-chan struct{} { return g.machine.urgent.wait() }

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
