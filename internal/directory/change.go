package directory

import (
	"cmp"
	"slices"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Change is the difference between two views. Entries are compared by pointer: Merge keeps
// the messages of entries that a response does not mention.
type Change struct {
	servers         []*rockwindpb.Server
	removed         []*rockwindpb.Server
	machinesChanged bool
}

// Servers lists new and changed entries by identifier.
func (c Change) Servers() []*rockwindpb.Server { return c.servers }

// Removed lists the entries that the previous view had and this one lacks, by identifier.
func (c Change) Removed() []*rockwindpb.Server { return c.removed }

// MachinesChanged reports whether any machine was added, changed or removed.
func (c Change) MachinesChanged() bool { return c.machinesChanged }

// ChangeFrom compares the view with an earlier one of the same watcher; nil is an empty view.
// It visits only changed entries, or all of them if some may have been removed in between.
func (v *View) ChangeFrom(previous *View) Change {
	if previous == nil {
		previous = newView()
	}
	if previous.revision >= v.completeSince && previous.revision <= v.revision {
		change := Change{servers: sortByID(slices.Collect(v.servers.since(previous.revision)))}
		for range v.machines.since(previous.revision) {
			change.machinesChanged = true
		}
		return change
	}
	change := Change{
		servers: changedEntries(&v.servers.entries, &previous.servers.entries), removed: removedEntries(&previous.servers.entries, &v.servers.entries),
		machinesChanged: v.machines.size() != previous.machines.size(),
	}
	change.machinesChanged = change.machinesChanged || len(changedEntries(&v.machines, &previous.machines)) > 0
	return change
}

// changedEntries lists the current entries that are not the same message in previous, by name.
func changedEntries[M message](current, previous *entries[M]) []M {
	return slices.DeleteFunc(current.list(), func(entry M) bool { return previous.get(current.name(entry)) == entry })
}

// removedEntries lists the previous entries that current lacks, by name.
func removedEntries[M message](previous, current *entries[M]) []M {
	var none M
	return slices.DeleteFunc(previous.list(), func(entry M) bool { return current.get(previous.name(entry)) != none })
}

func sortByID(servers []*rockwindpb.Server) []*rockwindpb.Server {
	slices.SortFunc(servers, func(one, other *rockwindpb.Server) int { return cmp.Compare(one.GetId(), other.GetId()) })
	return servers
}
