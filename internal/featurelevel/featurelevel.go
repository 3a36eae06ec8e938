// Package featurelevel is the replicated state machine of the feature levels of the coordinators. A
// coordinator ignores the root group commands of a later version, so a command is proposed only once
// all coordinators have announced a level that includes it. The package is pure.
//
// The levels are replicated beside the directory: coordinators that do not know them would number
// the revisions of the directory differently if a level were a change of it. A coordinator that
// restores a snapshot of an earlier version knows no levels until the machines announce them again,
// and proposes fewer commands until then; committed commands are applied whatever the levels are.
package featurelevel

import (
	"maps"
	"slices"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Levels. Each includes the ones before it.
const (
	// ColdServers is the level of the commands about cold servers.
	ColdServers uint32 = 1
	// ZoneDrains is the level of the commands that start the drain of a zone.
	ZoneDrains uint32 = 2
	// Witnesses is the level of groups with witnesses, which have no content.
	Witnesses uint32 = 3
	// JobMoves is the level of the commands that move jobs between shards. Stores ask each other for their levels,
	// since those in the directory are not updated.
	JobMoves uint32 = 4
	// PromptParts is the level of the commands about parts of prompts in the quarantine.
	PromptParts uint32 = 5
	// Current is the level of this version.
	Current = PromptParts
)

// Levels is an immutable set of announced levels, safe for concurrent use. A nil Levels is empty.
type Levels struct {
	byMachine map[string]uint32
}

// Of returns the level that a machine announced, zero if it announced none.
func (l *Levels) Of(machine string) uint32 {
	if l == nil {
		return 0
	}
	return l.byMachine[machine]
}

// Open reports whether all the given machines announced at least a level. It is closed if there are
// none.
func (l *Levels) Open(level uint32, machines []string) bool {
	return len(machines) > 0 && len(l.Missing(level, machines)) == 0
}

// Missing returns the machines of a list that have not announced at least a level, sorted and without
// duplicates.
func (l *Levels) Missing(level uint32, machines []string) []string {
	missing := slices.DeleteFunc(slices.Clone(machines), func(machine string) bool { return l.Of(machine) >= level })
	slices.Sort(missing)
	return slices.Compact(missing)
}

// With returns the levels after a machine announced one; zero removes the machine.
func (l *Levels) With(machine string, level uint32) *Levels {
	if l.Of(machine) == level {
		return l
	}
	next := &Levels{byMachine: make(map[string]uint32)}
	if l != nil {
		maps.Copy(next.byMachine, l.byMachine)
	}
	next.byMachine[machine] = level
	if level == 0 {
		delete(next.byMachine, machine)
	}
	return next
}

// Save returns the complete state, sorted by name.
func (l *Levels) Save() *rockwindpb.FeatureLevelSnapshot {
	snapshot := &rockwindpb.FeatureLevelSnapshot{}
	if l == nil {
		return snapshot
	}
	for _, name := range slices.Sorted(maps.Keys(l.byMachine)) {
		snapshot.Machines = append(snapshot.Machines, &rockwindpb.MachineFeatureLevel{Name: name, Level: l.byMachine[name]})
	}
	return snapshot
}

// Load returns the state saved by Save; nil is empty.
func Load(snapshot *rockwindpb.FeatureLevelSnapshot) *Levels {
	levels := &Levels{byMachine: make(map[string]uint32, len(snapshot.GetMachines()))}
	for _, machine := range snapshot.GetMachines() {
		levels.byMachine[machine.GetName()] = machine.GetLevel()
	}
	return levels
}
