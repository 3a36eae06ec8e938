package streamversion

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream in tables and messages.
type Key uint64

// KeyOf returns the key of the stream that a request began.
func KeyOf(requestID string) Key { return Key(xxhash.Sum64String(requestID)) }

const (
	// MaxEntries bounds the origins in a table, at some 40 bytes each.
	MaxEntries = 1 << 16
	// maxNames bounds the names of versions and services that a table has seen; afterwards it is emptied.
	maxNames = 1 << 12
	// expiryUnit is the resolution of expiry times.
	expiryUnit = 100 * time.Millisecond
	// minExpireInterval is the shortest time between two scans of a full table.
	minExpireInterval = time.Second
)

// Table holds origins of streams until these can no longer be resumed. It is not safe for concurrent use.
type Table struct {
	entries map[Key]entry
	// names holds the versions and services of entries, and indexes their places in it.
	names   []string
	indexes map[string]uint16
	dropped uint64
	// expiredAt is when Expire last ran.
	expiredAt time.Duration
}

// entry is an origin. It has no pointers, so that the garbage collector does not scan tables.
type entry struct {
	// expires is in units of expiryUnit.
	expires          uint32
	version, service uint16
	own              bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[Key]entry), indexes: make(map[string]uint16)}
}

// Len returns the number of origins.
func (t *Table) Len() int { return len(t.entries) }

// Dropped returns how many origins found no room.
func (t *Table) Dropped() uint64 { return t.dropped }

// Put adds the origin of a stream at a service until the given time. The version of a stream never changes: an origin
// that is put again is kept longer, with the version that was put first. Own is set for a stream that this process began.
func (t *Table) Put(key Key, service, version string, own bool, expires, now time.Duration) {
	known, found := t.entries[key]
	if !found && len(t.entries) >= MaxEntries {
		if now-t.expiredAt >= minExpireInterval {
			t.Expire(now)
		}
		if len(t.entries) >= MaxEntries {
			t.dropped++
			return
		}
	}
	added := entry{expires: uint32(expires / expiryUnit), version: t.index(version), service: t.index(service), own: own || (found && known.own)}
	if found {
		added.expires = max(added.expires, known.expires)
	}
	if found && !known.expired(now) {
		added.version, added.service = known.version, known.service
	}
	t.entries[key] = added
}

// index returns the place of a name.
func (t *Table) index(name string) uint16 {
	if place, known := t.indexes[name]; known {
		return place
	}
	if len(t.names) >= maxNames {
		clear(t.entries)
		clear(t.indexes)
		t.names = t.names[:0]
	}
	place := uint16(len(t.names))
	t.names = append(t.names, name)
	t.indexes[name] = place
	return place
}

// Get returns the origin of a stream.
func (t *Table) Get(key Key, now time.Duration) Origin {
	found, known := t.entries[key]
	if !known || found.expired(now) {
		return Origin{}
	}
	return Origin{Known: true, Version: t.names[found.version]}
}

// EachOwn visits the origins of the streams that this process began at a service.
func (t *Table) EachOwn(service string, now time.Duration, visit func(key Key, version string, expires time.Duration)) {
	for key, each := range t.entries {
		if each.own && t.names[each.service] == service && !each.expired(now) {
			visit(key, t.names[each.version], time.Duration(each.expires)*expiryUnit)
		}
	}
}

// Expire removes the origins of streams that can no longer be resumed.
func (t *Table) Expire(now time.Duration) {
	t.expiredAt = now
	for key, each := range t.entries {
		if each.expired(now) {
			delete(t.entries, key)
		}
	}
}

func (e entry) expired(now time.Duration) bool { return time.Duration(e.expires)*expiryUnit < now }
