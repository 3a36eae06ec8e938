package configuration

import (
	"bytes"
	"slices"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Compare returns the change from one configuration to another.
func Compare(old, new *rockwindpb.Configuration) (*rockwindpb.ConfigurationChange, error) {
	before, err := NewIndex(old)
	if err != nil {
		return nil, err
	}
	after, err := NewIndex(new)
	if err != nil {
		return nil, err
	}
	return CompareIndexes(before, after), nil
}

// CompareIndexes returns the change from one index to another.
func CompareIndexes(before, after *Index) *rockwindpb.ConfigurationChange {
	change := &rockwindpb.ConfigurationChange{
		FromNumber: before.number,
		Number:     after.number,
		Checksum:   after.Checksum(),
	}
	walkPairs(before.entries, after.entries, func(old, new *entry) {
		switch {
		case new == nil:
			change.Removals = append(change.Removals, old.key.message())
		case old == nil || old.hash != new.hash:
			change.Upserts = append(change.Upserts, new.object)
		}
	})
	return change
}

func (k Key) message() *rockwindpb.ObjectKey {
	return &rockwindpb.ObjectKey{Kind: k.Kind, Name: k.Name}
}

// walkPairs visits the keys of two sorted lists in order. One of the two entries is
// nil if only the other list has the key.
func walkPairs(old, new []entry, visit func(old, new *entry)) {
	for len(old) > 0 || len(new) > 0 {
		switch {
		case len(new) == 0 || (len(old) > 0 && old[0].key.Compare(new[0].key) < 0):
			visit(&old[0], nil)
			old = old[1:]
		case len(old) == 0 || new[0].key.Compare(old[0].key) < 0:
			visit(nil, &new[0])
			new = new[1:]
		default:
			visit(&old[0], &new[0])
			old, new = old[1:], new[1:]
		}
	}
}

// ApplyChange returns the configuration after a change, in canonical order. It
// shares unchanged objects with the old configuration, which it does not modify. It
// fails with fault.Stale if the change is neither full nor starts from the old
// configuration, and with fault.Corrupt if the result does not match the checksum of
// the change.
func ApplyChange(old *rockwindpb.Configuration, change *rockwindpb.ConfigurationChange) (*rockwindpb.Configuration, error) {
	before, err := NewIndex(old)
	if err != nil {
		return nil, err
	}
	after, err := before.Apply(change)
	if err != nil {
		return nil, err
	}
	return after.Configuration(), nil
}

// Apply returns the index after a change. See ApplyChange for its errors.
func (x *Index) Apply(change *rockwindpb.ConfigurationChange) (*Index, error) {
	if change.GetFull() {
		x = Empty()
	} else if change.GetFromNumber() != x.number {
		return nil, fault.Newf(fault.Stale, "ask for the change from the configuration in force",
			"the change starts from configuration %d, and %d is in force", change.GetFromNumber(), x.number)
	}
	changed, err := newEntries(change.GetUpserts())
	if err != nil {
		return nil, err
	}
	removed, err := removedKeys(change, changed)
	if err != nil {
		return nil, err
	}
	after := newIndex(change.GetNumber(), mergeEntries(x.entries, changed, removed))
	if !bytes.Equal(after.Checksum(), change.GetChecksum()) {
		return nil, corruptError("the checksum of configuration %d does not match its content", change.GetNumber())
	}
	after.setLookups(x, changed, removed)
	return after, nil
}

// removedKeys returns the keys that a change removes, sorted. Keys that are not in
// the configuration are allowed, since merged changes may contain them.
func removedKeys(change *rockwindpb.ConfigurationChange, changed []entry) ([]Key, error) {
	removed := make([]Key, 0, len(change.GetRemovals()))
	for _, key := range change.GetRemovals() {
		removed = append(removed, Key{Kind: key.GetKind(), Name: key.GetName()})
	}
	slices.SortFunc(removed, Key.Compare)
	for _, key := range removed {
		_, both := slices.BinarySearchFunc(changed, key, func(e entry, k Key) int { return e.key.Compare(k) })
		if both {
			return nil, corruptError("the change sets and removes %s", key)
		}
	}
	return removed, nil
}

// mergeEntries returns the old entries with the changed ones inserted or replaced
// and the removed ones left out. All lists are sorted.
func mergeEntries(old, changed []entry, removed []Key) []entry {
	result := make([]entry, 0, len(old)+len(changed))
	walkPairs(old, changed, func(before, after *entry) {
		if after != nil {
			result = append(result, *after)
			return
		}
		_, gone := slices.BinarySearchFunc(removed, before.key, Key.Compare)
		if !gone {
			result = append(result, *before)
		}
	})
	return result
}

// MergeChanges combines consecutive changes into one with the same effect: the last
// change of each object wins. It returns nil if there are no changes.
func MergeChanges(changes []*rockwindpb.ConfigurationChange) *rockwindpb.ConfigurationChange {
	if len(changes) == 0 {
		return nil
	}
	last := changes[len(changes)-1]
	merged := &rockwindpb.ConfigurationChange{
		FromNumber: changes[0].GetFromNumber(),
		Number:     last.GetNumber(),
		Checksum:   last.GetChecksum(),
	}
	effects := make(map[Key]*rockwindpb.ConfigurationObject)
	for _, change := range changes {
		if change.GetFull() {
			merged.Full = true
			merged.FromNumber = change.GetFromNumber()
			clear(effects)
		}
		for _, object := range change.GetUpserts() {
			effects[KeyOf(object)] = object
		}
		for _, key := range change.GetRemovals() {
			effects[Key{Kind: key.GetKind(), Name: key.GetName()}] = nil
		}
	}
	addEffects(merged, effects)
	return merged
}

func addEffects(merged *rockwindpb.ConfigurationChange, effects map[Key]*rockwindpb.ConfigurationObject) {
	keys := make([]Key, 0, len(effects))
	for key := range effects {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, Key.Compare)
	for _, key := range keys {
		switch {
		case effects[key] != nil:
			merged.Upserts = append(merged.Upserts, effects[key])
		case !merged.Full:
			merged.Removals = append(merged.Removals, key.message())
		}
	}
}
