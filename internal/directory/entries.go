package directory

import (
	"encoding/binary"
	"iter"
	"sync"

	"github.com/tidwall/btree"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// message is a directory entry.
type message interface {
	comparable
	GetRevision() uint64
}

// entries indexes messages by name and by revision. Copies are copy-on-write, so that a change
// takes logarithmic time: copies of maps took 0.9 MB for each change at a watcher of 10,000 servers.
// A published copy is never modified and is safe for concurrent reads.
type entries[M message] struct {
	name func(M) string
	// copyLock serializes copies: copying a tree marks the original's nodes as shared.
	copyLock   *sync.Mutex
	byName     *btree.Map[string, M]
	byRevision *btree.Map[string, M]
}

func newEntries[M message](name func(M) string) entries[M] {
	return entries[M]{name: name, copyLock: &sync.Mutex{}, byName: &btree.Map[string, M]{}, byRevision: &btree.Map[string, M]{}}
}

func (e *entries[M]) copy() entries[M] {
	e.copyLock.Lock()
	defer e.copyLock.Unlock()
	return entries[M]{name: e.name, copyLock: &sync.Mutex{}, byName: e.byName.Copy(), byRevision: e.byRevision.Copy()}
}

// get returns the entry with a name, or nil.
func (e *entries[M]) get(name string) M {
	found, _ := e.byName.Get(name)
	return found
}

func (e *entries[M]) size() int { return e.byName.Len() }

// put inserts a message and returns the one that it replaces.
func (e *entries[M]) put(added M) (replaced M) {
	name := e.name(added)
	replaced, known := e.byName.Set(name, added)
	if known {
		e.byRevision.Delete(orderedKey(replaced.GetRevision(), name))
	}
	e.byRevision.Set(orderedKey(added.GetRevision(), name), added)
	return replaced
}

// drop removes the entry with a name and returns it.
func (e *entries[M]) drop(name string) (removed M) {
	removed, known := e.byName.Delete(name)
	if known {
		e.byRevision.Delete(orderedKey(removed.GetRevision(), name))
	}
	return removed
}

func (e *entries[M]) list() []M { return e.byName.Values() }

// since iterates over the entries newer than a revision, in the order of their revisions.
func (e *entries[M]) since(revision uint64) iter.Seq[M] {
	return func(yield func(M) bool) {
		e.byRevision.Ascend(orderedKey(revision+1, ""), func(_ string, entry M) bool { return yield(entry) })
	}
}

// orderedKey returns a key that sorts by number, then by name.
func orderedKey(number uint64, name string) string {
	return string(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(name)), number)) + name
}

// servers holds the server incarnations with secondary indexes.
type servers struct {
	entries[*rockwindpb.Server]
	// present indexes incarnations that are not gone by address; gone indexes the others by the
	// time of their last change.
	present *btree.Map[string, *rockwindpb.Server]
	gone    *btree.Map[string, *rockwindpb.Server]
	// silent is the number of silent incarnations.
	silent int
}

func newServers() servers {
	return servers{
		entries: newEntries((*rockwindpb.Server).GetId),
		present: &btree.Map[string, *rockwindpb.Server]{}, gone: &btree.Map[string, *rockwindpb.Server]{},
	}
}

func (s *servers) copy() servers {
	copied := servers{entries: s.entries.copy(), silent: s.silent}
	s.copyLock.Lock()
	defer s.copyLock.Unlock()
	copied.present, copied.gone = s.present.Copy(), s.gone.Copy()
	return copied
}

func (s *servers) put(added *rockwindpb.Server) {
	s.unindex(s.entries.put(added))
	switch added.GetState() {
	case rockwindpb.ServerState_SERVER_STATE_GONE:
		s.gone.Set(goneKey(added), added)
		return
	case rockwindpb.ServerState_SERVER_STATE_SILENT:
		s.silent++
	}
	s.present.Set(presentKey(added.GetAddress(), added.GetId()), added)
}

func (s *servers) drop(id string) { s.unindex(s.entries.drop(id)) }

// unindex removes an entry from the secondary indexes; nil is ignored.
func (s *servers) unindex(removed *rockwindpb.Server) {
	switch {
	case removed == nil:
	case removed.GetState() == rockwindpb.ServerState_SERVER_STATE_GONE:
		s.gone.Delete(goneKey(removed))
	default:
		s.present.Delete(presentKey(removed.GetAddress(), removed.GetId()))
		if removed.GetState() == rockwindpb.ServerState_SERVER_STATE_SILENT {
			s.silent--
		}
	}
}

// at lists the incarnations at an address that are not gone, by identifier.
func (s *servers) at(address string) []*rockwindpb.Server {
	var found []*rockwindpb.Server
	s.present.Ascend(presentKey(address, ""), func(_ string, server *rockwindpb.Server) bool {
		if server.GetAddress() != address {
			return false
		}
		found = append(found, server)
		return true
	})
	return found
}

// goneBefore lists the gone incarnations last changed before a time in Unix milliseconds.
func (s *servers) goneBefore(before int64) []*rockwindpb.Server {
	var found []*rockwindpb.Server
	s.gone.Scan(func(_ string, server *rockwindpb.Server) bool {
		if server.GetChangedUnixMs() >= before {
			return false
		}
		found = append(found, server)
		return true
	})
	return found
}

// presentKey sorts by address, then by identifier. Addresses contain no NUL byte.
func presentKey(address, id string) string { return address + "\x00" + id }

func goneKey(server *rockwindpb.Server) string {
	return orderedKey(uint64(max(0, server.GetChangedUnixMs())), server.GetId())
}
