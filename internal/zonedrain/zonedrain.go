// Package zonedrain is the state machine of the zones that operators drain: their servers get
// nothing new, and finish what they have. It is part of the root group's state, so that a drain
// outlives the process that acknowledged it. The package is pure: time comes in the commands.
//
// Invariants:
//   - a command that is repeated changes nothing;
//   - the revision rises with each change, so that a watcher learns from one number whether it
//     knows all drains.
package zonedrain

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Register is the replicated state. Its owner goroutine alone may call Apply and Load; the List
// that it hands out is immutable.
type Register struct {
	list *List
}

// New returns a register without drains.
func New() *Register { return &Register{list: &List{}} }

// Apply executes a committed command.
func (r *Register) Apply(command *rockwindpb.ZoneDrainCommand) {
	switch content := command.GetCommand().(type) {
	case *rockwindpb.ZoneDrainCommand_Start:
		r.start(content.Start.GetZone(), command.GetNowUnixMs())
	case *rockwindpb.ZoneDrainCommand_End:
		r.end(content.End.GetZone())
	}
}

func (r *Register) start(zone string, now int64) {
	if r.list.Drained(zone) {
		return
	}
	drains := append(r.list.Drains(), &rockwindpb.ZoneDrain{Zone: zone, SinceUnixMs: now})
	r.list = NewList(r.list.revision+1, drains)
}

func (r *Register) end(zone string) {
	if !r.list.Drained(zone) {
		return
	}
	drains := slices.DeleteFunc(r.list.Drains(), func(drain *rockwindpb.ZoneDrain) bool { return drain.GetZone() == zone })
	r.list = NewList(r.list.revision+1, drains)
}

// List is the drains at this moment.
func (r *Register) List() *List { return r.list }

// Save returns the whole state, sorted.
func (r *Register) Save() *rockwindpb.ZoneDrainSnapshot {
	return &rockwindpb.ZoneDrainSnapshot{Revision: r.list.revision, Drains: r.list.Drains()}
}

// Load replaces the whole state with one that Save returned, nil for none.
func (r *Register) Load(snapshot *rockwindpb.ZoneDrainSnapshot) {
	r.list = NewList(snapshot.GetRevision(), snapshot.GetDrains())
}

// List is the zones that are drained. It is immutable and may be used by any goroutine; a nil
// list is empty. The messages that it returns must not be changed.
type List struct {
	revision uint64
	drains   map[string]*rockwindpb.ZoneDrain
}

// NewList returns the drains of a register at a revision.
func NewList(revision uint64, drains []*rockwindpb.ZoneDrain) *List {
	list := &List{revision: revision, drains: make(map[string]*rockwindpb.ZoneDrain, len(drains))}
	for _, drain := range drains {
		list.drains[drain.GetZone()] = drain
	}
	return list
}

// Revision is that of the register which the list was taken from.
func (l *List) Revision() uint64 {
	if l == nil {
		return 0
	}
	return l.revision
}

// Drained tells whether the servers of a zone get nothing new.
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

// Equal tells whether two lists drain the same zones.
func (l *List) Equal(other *List) bool {
	return slices.EqualFunc(l.Drains(), other.Drains(), func(a, b *rockwindpb.ZoneDrain) bool { return proto.Equal(a, b) })
}
