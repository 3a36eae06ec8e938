package directory

import (
	"cmp"
	"slices"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Change is what is different in a view from one before. Entries that are the same messages
// in both are the same; a watcher keeps those that it is told nothing new of.
type Change struct {
	servers  []*rockwindpb.Server
	left     []*rockwindpb.Server
	machines bool
}

// Servers lists the entries that are new or other than before, by identifier.
func (c Change) Servers() []*rockwindpb.Server { return c.servers }

// Removed lists the entries of before that are no more, by identifier.
func (c Change) Removed() []*rockwindpb.Server { return c.left }

// MachinesChanged tells whether any machine is new, other than before or no more.
func (c Change) MachinesChanged() bool { return c.machines }

// ChangeFrom compares the view with one before that the same watcher held, nil for an empty
// one. It looks at what has changed; where entries may have left meanwhile, at each of them.
func (v *View) ChangeFrom(before *View) Change {
	if before == nil {
		before = newView()
	}
	if before.revision >= v.whole && before.revision <= v.revision {
		change := Change{servers: byID(slices.Collect(v.servers.since(before.revision)))}
		for range v.machines.since(before.revision) {
			change.machines = true
		}
		return change
	}
	change := Change{
		servers: unlike(&v.servers.entries, &before.servers.entries), left: missing(&before.servers.entries, &v.servers.entries),
		machines: v.machines.size() != before.machines.size(),
	}
	change.machines = change.machines || len(unlike(&v.machines, &before.machines)) > 0
	return change
}

// unlike lists the entries that are not the same messages in the others, by name.
func unlike[M message](of, others *entries[M]) []M {
	return slices.DeleteFunc(of.list(), func(entry M) bool { return others.get(of.name(entry)) == entry })
}

// missing lists the entries that the others lack, by name.
func missing[M message](of, others *entries[M]) []M {
	var none M
	return slices.DeleteFunc(of.list(), func(entry M) bool { return others.get(of.name(entry)) != none })
}

func byID(servers []*rockwindpb.Server) []*rockwindpb.Server {
	slices.SortFunc(servers, func(one, other *rockwindpb.Server) int { return cmp.Compare(one.GetId(), other.GetId()) })
	return servers
}
