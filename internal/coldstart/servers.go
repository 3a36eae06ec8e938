package coldstart

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// reportTolerance is added to the reported times. Without it, reports that are delayed
	// differently on their way would seem to extend the time a little again and again.
	reportTolerance = 300 * time.Millisecond
	// renewalWindow is the remaining time from which on a report may extend the known one. A server
	// that always reports the same time is recorded once in that time instead of with each report.
	// It covers several reports of a server, since reports may be lost.
	renewalWindow = 5 * time.Second
	// minTimeLimit and timeLimitFactor bound reported times: a server may say ten times the time that
	// is configured for its service, and ten minutes in any case.
	minTimeLimit    = 10 * time.Minute
	timeLimitFactor = 10
	// retention is how long an entry is kept after its time, so that clocks that differ agree on the
	// remaining time and late reports of the same time are recognized.
	retention = 10 * time.Second
)

// Limit bounds a reported time. configured is the time for servers of the service that report none.
func Limit(reported, configured time.Duration) time.Duration {
	return max(0, min(reported, max(minTimeLimit, timeLimitFactor*configured)))
}

// Registry is the replicated state machine of the servers that reported that they are cold after
// they were entered in the directory. Commands carry the time, so that applying them is
// deterministic. Only its owner goroutine may call its methods; the List that it returns is
// immutable.
//
// Invariants:
//   - A command that does not extend the time of a server has no effect.
//   - A report that is older than the last one of the server has no effect.
//   - Every change increments the revision, so that a watcher can compare a single number.
type Registry struct {
	list *List
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{list: &List{}} }

// Apply executes a committed command.
func (r *Registry) Apply(command *rockwindpb.ColdServerCommand) {
	now := command.GetNowUnixMs()
	reported := command.GetServer()
	if reported.GetColdMs() == 0 || !r.list.Extends(reported, 0, time.UnixMilli(now)) {
		return
	}
	added := proto.CloneOf(reported)
	added.SinceUnixMs = now
	added.ColdMs = min(added.GetColdMs(), math.MaxUint32/2) + uint32(reportTolerance.Milliseconds())
	servers := slices.DeleteFunc(r.list.Servers(), func(server *rockwindpb.ColdServer) bool {
		return server.GetId() == added.GetId() || coldUntil(server)+retention.Milliseconds() < now
	})
	r.list = NewList(r.list.revision+1, append(servers, added))
}

// List returns the current cold servers.
func (r *Registry) List() *List { return r.list }

// Save returns the complete state, sorted by identifier.
func (r *Registry) Save() *rockwindpb.ColdServerSnapshot {
	return &rockwindpb.ColdServerSnapshot{Revision: r.list.revision, Servers: r.list.Servers()}
}

// Load replaces the state with one returned by Save; nil is empty.
func (r *Registry) Load(snapshot *rockwindpb.ColdServerSnapshot) {
	r.list = NewList(snapshot.GetRevision(), snapshot.GetServers())
}

// List is an immutable set of cold servers, safe for concurrent use. It may hold servers that are no
// longer cold. A nil List is empty. The returned messages must not be modified.
type List struct {
	revision uint64
	servers  map[string]*rockwindpb.ColdServer
}

// NewList returns a list of the cold servers at a revision.
func NewList(revision uint64, servers []*rockwindpb.ColdServer) *List {
	list := &List{revision: revision, servers: make(map[string]*rockwindpb.ColdServer, len(servers))}
	for _, server := range servers {
		list.servers[server.GetId()] = server
	}
	return list
}

// Revision returns the revision of the registry that the list was taken from.
func (l *List) Revision() uint64 {
	if l == nil {
		return 0
	}
	return l.revision
}

// Server returns the entry of a server, nil if there is none.
func (l *List) Server(id string) *rockwindpb.ColdServer {
	if l == nil {
		return nil
	}
	return l.servers[id]
}

// Servers lists the entries by identifier.
func (l *List) Servers() []*rockwindpb.ColdServer {
	if l == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(l.servers), func(a, b *rockwindpb.ColdServer) int { return cmp.Compare(a.GetId(), b.GetId()) })
}

// Extends reports whether a report is newer than what is known and says that the server stays cold
// for longer. known is the remaining time that is known from elsewhere.
func (l *List) Extends(reported *rockwindpb.ColdServer, known time.Duration, now time.Time) bool {
	if known > 0 {
		known += reportTolerance
	}
	if entry := l.Server(reported.GetId()); entry != nil {
		if entry.GetBornUnixMs() == reported.GetBornUnixMs() && reported.GetSequence() < entry.GetSequence() {
			return false
		}
		known = max(known, time.Duration(coldUntil(entry)-now.UnixMilli())*time.Millisecond)
	}
	return known < renewalWindow && time.Duration(reported.GetColdMs())*time.Millisecond > known
}

// coldUntil returns when a server stops being cold, in Unix milliseconds.
func coldUntil(server *rockwindpb.ColdServer) int64 {
	return server.GetSinceUnixMs() + int64(server.GetColdMs())
}
