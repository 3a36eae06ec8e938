// Package zonedrain is the replicated state machine of drained zones. Servers in a drained zone
// receive no new work and finish what they have. The state is part of the root group. Commands
// carry the time, so that applying them is deterministic.
//
// Invariants:
//   - Repeated commands have no effect.
//   - Every change increments the revision, so that a watcher can compare a single number.
package zonedrain

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Registry is the replicated state. Only its owner goroutine may call its methods; the List that
// it returns is immutable.
type Registry struct {
	list *List
}

// New returns an empty register.
func New() *Registry { return &Registry{list: &List{}} }

// Apply executes a committed command.
func (r *Registry) Apply(command *rockwindpb.ZoneDrainCommand) {
	switch content := command.GetCommand().(type) {
	case *rockwindpb.ZoneDrainCommand_Start:
		r.start(content.Start.GetZone(), command.GetNowUnixMs())
	case *rockwindpb.ZoneDrainCommand_End:
		r.end(content.End.GetZone())
	}
}

func (r *Registry) start(zone string, now int64) {
	if r.list.Drained(zone) {
		return
	}
	drains := append(r.list.Drains(), &rockwindpb.ZoneDrain{Zone: zone, SinceUnixMs: now})
	r.list = NewList(r.list.revision+1, drains)
}

func (r *Registry) end(zone string) {
	if !r.list.Drained(zone) {
		return
	}
	drains := slices.DeleteFunc(r.list.Drains(), func(drain *rockwindpb.ZoneDrain) bool { return drain.GetZone() == zone })
	r.list = NewList(r.list.revision+1, drains)
}

// List returns the current drains.
func (r *Registry) List() *List { return r.list }

// Save returns the complete state, sorted by zone.
func (r *Registry) Save() *rockwindpb.ZoneDrainSnapshot {
	return &rockwindpb.ZoneDrainSnapshot{Revision: r.list.revision, Drains: r.list.Drains()}
}

// Load replaces the state with one returned by Save; nil is empty.
func (r *Registry) Load(snapshot *rockwindpb.ZoneDrainSnapshot) {
	r.list = NewList(snapshot.GetRevision(), snapshot.GetDrains())
}

// List is an immutable set of drained zones, safe for concurrent use. A nil List is empty. The
// returned messages must not be modified.
type List struct {
	revision uint64
	drains   map[string]*rockwindpb.ZoneDrain
}

// NewList returns a list of the drains at a revision.
func NewList(revision uint64, drains []*rockwindpb.ZoneDrain) *List {
	list := &List{revision: revision, drains: make(map[string]*rockwindpb.ZoneDrain, len(drains))}
	for _, drain := range drains {
		list.drains[drain.GetZone()] = drain
	}
	return list
}

// Revision returns the revision of the register that the list was taken from.
func (l *List) Revision() uint64 {
	if l == nil {
		return 0
	}
	return l.revision
}

// Drained reports whether a zone is drained.
func (l *List) Drained(zone string) bool {
	if l == nil {
		return false
	}
	_, drained := l.drains[zone]
	return drained
}

// Drains lists the drains by zone.
func (l *List) Drains() []*rockwindpb.ZoneDrain {
	if l == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(l.drains), func(a, b *rockwindpb.ZoneDrain) int { return cmp.Compare(a.GetZone(), b.GetZone()) })
}

// Equal reports whether two lists hold the same drains; revisions are not compared.
func (l *List) Equal(other *List) bool {
	return slices.EqualFunc(l.Drains(), other.Drains(), func(a, b *rockwindpb.ZoneDrain) bool { return proto.Equal(a, b) })
}
