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

// Left lists the entries of before that are no more, by identifier.
func (c Change) Left() []*rockwindpb.Server { return c.left }

// Machines tells whether any machine is new, other than before or no more.
func (c Change) Machines() bool { return c.machines }

// ChangeFrom compares the view with one before, nil for an empty one. It looks at each entry
// once and sorts only what it finds.
func (v *View) ChangeFrom(before *View) Change {
	if before == nil {
		before = &View{}
	}
	change := Change{
		servers: entriesUnlike(v.servers, before.servers), left: missing(before.servers, v.servers),
		machines: len(v.machines) != len(before.machines),
	}
	for name, machine := range v.machines {
		change.machines = change.machines || before.machines[name] != machine
	}
	return change
}

// entriesUnlike lists the entries that are not the same messages in the others.
func entriesUnlike(entries, others map[string]*rockwindpb.Server) []*rockwindpb.Server {
	var found []*rockwindpb.Server
	for id, server := range entries {
		if others[id] != server {
			found = append(found, server)
		}
	}
	return byID(found)
}

// missing lists the entries that the others lack.
func missing(entries, others map[string]*rockwindpb.Server) []*rockwindpb.Server {
	var found []*rockwindpb.Server
	for id, server := range entries {
		if _, there := others[id]; !there {
			found = append(found, server)
		}
	}
	return byID(found)
}

func byID(servers []*rockwindpb.Server) []*rockwindpb.Server {
	slices.SortFunc(servers, func(one, other *rockwindpb.Server) int { return cmp.Compare(one.GetId(), other.GetId()) })
	return servers
}
