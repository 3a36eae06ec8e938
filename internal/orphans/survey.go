// Package orphans estimates the orphaned requests: those that servers still run for callers that no
// longer exist. After a power loss the servers continue with the requests of the failed machines,
// while the load digests of their processes are lost or replaced by digests that report zero. A
// process that has just started therefore queries some servers for their load, counts what no
// live process accounts for as orphaned, shares the result with the other processes, and
// queries again until nothing is left. The package does no I/O; times are durations since an
// origin that the caller chooses.
package orphans

import (
	"math"
	"slices"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/ownership"
)

// Limits and intervals of a survey.
const (
	// QueriersPerServer is the number of processes that query each server, so that one of them
	// may still be down or fail.
	QueriersPerServer = 2
	// maxServers limits the servers that one process queries where few processes share many
	// servers.
	maxServers = 64
	// restartWindow is the maximum difference between the starts of processes that lost power
	// together. A larger window would count twice the requests that the first processes have
	// sent since their start.
	restartWindow = 500 * time.Millisecond
	// peerTimeout is how long a process waits for the load of any peer before it counts the
	// reported load alone. It covers two rounds of load digests. Later digests are still
	// compared with the counts.
	peerTimeout = 160 * time.Millisecond
	// settleTime is when the load digests of the surviving peers are taken to be complete,
	// after the start.
	settleTime = 400 * time.Millisecond
	// survivorReportTime is how long after its start a process reports surviving peers. It
	// reaches every process that starts within restartWindow, until that one's settleTime.
	// Processes that start later detect the survivors themselves.
	survivorReportTime = restartWindow + settleTime
	// minExcessFraction is the fraction of the reported load that the surviving peers must not
	// account for, and minTotalExcess its minimum in requests. Reports and digests are taken at
	// different times, so they usually differ by a few requests.
	minExcessFraction = 0.25
	minTotalExcess    = 4
	// queryInterval is the time between queries to a server with orphaned requests, and
	// maxQueries the number of queries, not counting the one that confirms an excess. The
	// second query detects short runs that have ended and an initial count that was too high.
	// More queries would add errors, since a count is never raised.
	queryInterval = time.Second
	maxQueries    = 2
	// minServerExcess is the minimum difference between the reported load of a server and the
	// load of its live callers; differences of one request are normal.
	minServerExcess = 2
	// maxDuration is when a process stops counting requests as orphaned, after its start. It
	// is longer than most batch runs, and it ensures that a server that always reports a high
	// load is used again.
	maxDuration = 4 * time.Second
	// maxRequestsPerSlot is the largest plausible load: a server queues only a few requests
	// beyond its slots.
	maxRequestsPerSlot = 4
)

// Server is a server that can be queried.
type Server struct {
	ID      string
	Address string
	Slots   int
	// Processes lists the processes that may query the server; if it is empty, all processes of the survey may.
	Processes []string
}

// PeerStatus is what a process has learned about its peers since its start.
type PeerStatus struct {
	// Reported reports whether any peer has sent its load.
	Reported bool
	// EarliestStart is the earliest start time among those peers, in Unix milliseconds.
	EarliestStart int64
	// SurvivorsReported reports whether a peer that has just started announced surviving peers.
	// Start times are not forwarded with the load digests of others, so they do not show this.
	SurvivorsReported bool
}

// Survey is the state of one process's load queries after its start. It is not safe for
// concurrent use.
type Survey struct {
	// processStartUnixMs is when this process started.
	processStartUnixMs int64
	startedAt          time.Duration
	started            bool
	stage              stage
	servers            map[string]*serverState
	counts             Counts
	// survivors is set once some peer is known to be older than the restart, and compared once
	// the reported loads were compared with those of the peers. elapsed is the time since the
	// survey started.
	survivors bool
	compared  bool
	elapsed   time.Duration
	// late is set if the survey began so late after the start of this process that peers which started
	// together with it may have sent requests before.
	late bool
}

// Counts are the totals of a survey.
type Counts struct {
	// Asked is the number of queries sent, and Answered the number of valid answers.
	Asked    int
	Answered int
	// Orphaned is the number of requests initially counted as orphaned.
	Orphaned int
}

type stage int

const (
	// listening: no peer has reported its load.
	listening stage = iota
	// settling: some peers survived, and their loads are still arriving.
	settling
	// counting: orphaned requests are counted and queried again.
	counting
	// finished: no requests are orphaned.
	finished
)

// serverState is the state of a server that this process queries.
type serverState struct {
	Server
	// reported is the load of the first valid answer, if hasReport is set.
	reported  int
	hasReport bool
	// orphaned is the current number of orphaned requests, and maxOrphaned its upper bound.
	// Where unconfirmed is set, another query is required before any are counted.
	orphaned    int
	maxOrphaned int
	unconfirmed bool
	// queriedAt is the time of the last query, and awaiting is set until it is answered.
	queriedAt time.Duration
	queries   int
	awaiting  bool
}

// New returns the survey of a process that started at the given time.
func New(startedUnixMs int64) *Survey {
	return &Survey{processStartUnixMs: startedUnixMs, servers: make(map[string]*serverState)}
}

// MarkLate records that this process got its first directory the given time after its start. Beyond
// restartWindow its peers may have sent requests by then, so that the reported load is compared with
// theirs. Call it before Start.
func (s *Survey) MarkLate(after time.Duration) { s.late = after >= restartWindow }

// Start selects the servers to query among those of the first directory view, given the names
// of the processes that take part. Servers that appear later have no orphaned requests. Only
// the first call has an effect.
func (s *Survey) Start(self string, processes []string, servers []Server, now time.Duration) {
	if s.started {
		return
	}
	s.started, s.startedAt = true, now
	for _, server := range servers {
		if server.Slots == 0 || len(s.servers) >= maxServers {
			continue
		}
		candidates := processes
		if len(server.Processes) > 0 {
			candidates = server.Processes
		}
		order := ownership.Order(candidates, server.ID)
		if slices.Contains(order[:min(QueriersPerServer, len(order))], self) {
			s.servers[server.ID] = &serverState{Server: server}
		}
	}
	if len(s.servers) == 0 {
		s.stage = finished
	}
}

// Due returns the servers to query now and marks them as queried. The caller reports each
// answer with Answered or Failed.
func (s *Survey) Due(now time.Duration) []Server {
	var due []Server
	for _, state := range s.servers {
		if state.awaiting || s.stage == finished || (state.queries > 0 && !s.queryAgain(state, now)) {
			continue
		}
		state.queriedAt, state.awaiting = now, true
		if !state.unconfirmed {
			state.queries++
		}
		due = append(due, state.Server)
		s.counts.Asked++
	}
	slices.SortFunc(due, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return due
}

// queryAgain reports whether another query to the server is due.
func (s *Survey) queryAgain(state *serverState, now time.Duration) bool {
	if s.stage != counting {
		return false
	}
	return state.unconfirmed || (state.orphaned > 0 && state.queries < maxQueries && now-state.queriedAt >= queryInterval)
}

// Answered records how many requests a server reported, running and queued, and how many all
// live processes have there. The number of orphaned requests at a server only decreases,
// unless surviving peers report later.
func (s *Survey) Answered(id string, reported, liveLoad int) {
	state := s.endQuery(id)
	if state == nil {
		return
	}
	if reported < 0 || reported > maxRequestsPerSlot*state.Slots {
		state.unconfirmed = false
		return
	}
	s.counts.Answered++
	if !state.hasReport {
		state.reported, state.hasReport = reported, true
		switch {
		case s.stage != counting:
		case s.survivors || s.late:
			s.setLeft(state, excess(reported, liveLoad))
		default:
			s.setLeft(state, reported)
		}
		return
	}
	if state.unconfirmed && s.restartedTogether() {
		// The first answer is older than the loads of the peers, which have sent requests since.
		state.unconfirmed = false
		s.setLeft(state, excess(reported, liveLoad))
		return
	}
	before := state.orphaned
	state.orphaned = min(state.maxOrphaned, excess(reported, liveLoad))
	if state.unconfirmed {
		state.unconfirmed = false
		s.counts.Orphaned += state.orphaned
		return
	}
	state.orphaned = min(before, state.orphaned)
}

// Failed records that a server gave no valid answer. An earlier count stays and decays; an
// unconfirmed one is discarded.
func (s *Survey) Failed(id string) {
	if state := s.endQuery(id); state != nil {
		state.unconfirmed = false
	}
}

func (s *Survey) endQuery(id string) *serverState {
	state := s.servers[id]
	if state == nil || !state.awaiting {
		return nil
	}
	state.awaiting = false
	return state
}

// restartedTogether reports whether a late process has found no surviving peers: all processes lost power, and
// others have sent requests before this one had its first directory.
func (s *Survey) restartedTogether() bool { return s.late && !s.survivors }

// excess returns the reported load that live processes do not account for, or zero if it is
// within the tolerance.
func excess(reported, liveLoad int) int {
	if reported-liveLoad < minServerExcess {
		return 0
	}
	return reported - liveLoad
}

// setLeft sets the initial count of a server.
func (s *Survey) setLeft(state *serverState, left int) {
	state.orphaned, state.maxOrphaned = left, left
	s.counts.Orphaned += left
}

// Evaluate updates the survey with the status of the peers and the load that all live processes
// have at each server. Call it several times per 100 ms until Done.
//
// If all known peers have just started too, the whole reported load is orphaned, since it
// was reported before any of them sent a request. If some peers survived, only the excess over
// their loads is orphaned, once those loads have arrived and a second answer confirms it. A
// small excess is ignored, as after a planned restart of a single process.
//
// A process that got its first directory late waits for those loads as well, since its peers may have sent requests by
// then. If no peer survived, a smaller excess counts, and the second answer alone.
//
// Surviving peers may report only after settleTime; the counts are then compared with their
// loads. Reports of survivors by others are ignored by that time, since a machine that restarts
// later than the rest takes the rest for survivors.
func (s *Survey) Evaluate(peers PeerStatus, liveLoad func(id string) int, now time.Duration) {
	if !s.started {
		return
	}
	elapsed := now - s.startedAt
	settled := elapsed >= settleTime
	survivorSeen := peers.Reported && s.processStartUnixMs-peers.EarliestStart > restartWindow.Milliseconds()
	survived := survivorSeen || (peers.SurvivorsReported && !settled)
	s.elapsed, s.survivors = elapsed, s.survivors || survived
	if s.stage == finished {
		return
	}
	switch {
	case elapsed >= maxDuration:
		s.end()
	case (survived || s.late) && !settled:
		s.discardCounts()
		if s.reportedLittle() {
			s.end()
		}
	case settled && !s.compared && (survivorSeen || s.stage == settling):
		s.discardCounts()
		s.compareWithPeers(liveLoad)
	case s.stage == listening && (peers.Reported || elapsed >= peerTimeout):
		s.stage = counting
		for _, state := range s.servers {
			s.setLeft(state, state.reported)
		}
	}
	s.decay(elapsed)
	s.endIfDone(elapsed)
}

// decay lowers the counts linearly to zero over maxDuration.
func (s *Survey) decay(elapsed time.Duration) {
	rest := 1 - float64(elapsed)/float64(maxDuration)
	for _, state := range s.servers {
		state.orphaned = min(state.orphaned, int(math.Ceil(float64(state.maxOrphaned)*rest)))
	}
}

// discardCounts resets the counts because peers survived whose loads have yet to arrive.
func (s *Survey) discardCounts() {
	if s.stage == counting {
		s.counts.Orphaned = 0
	}
	s.stage = settling
	for _, state := range s.servers {
		state.orphaned = 0
	}
}

// reportedLittle reports whether all queries are answered and the total load is too small for a
// comparison with the peers to matter.
func (s *Survey) reportedLittle() bool {
	sum := 0
	for _, state := range s.servers {
		if state.awaiting || state.queries == 0 {
			return false
		}
		sum += state.reported
	}
	return sum < minTotalExcess
}

// compareWithPeers requires another query to each server that reported more than its live
// callers account for, unless the total excess is small. After a restart of all processes it requires one to
// each server that has answered: the peers may have sent more requests since the first answers than are orphaned,
// so these show too small an excess.
func (s *Survey) compareWithPeers(liveLoad func(id string) int) {
	s.stage, s.compared = counting, true
	reported, sum := 0, 0
	for id, state := range s.servers {
		state.maxOrphaned = excess(state.reported, liveLoad(id))
		state.unconfirmed = state.maxOrphaned > 0 || (s.restartedTogether() && state.hasReport)
		reported += state.reported
		sum += state.maxOrphaned
	}
	if sum < minTotalExcess || (!s.restartedTogether() && float64(sum) < minExcessFraction*float64(reported)) {
		s.end()
	}
}

// endIfDone ends the survey once nothing is orphaned and no answer is awaited.
func (s *Survey) endIfDone(elapsed time.Duration) {
	if s.stage != counting || elapsed < settleTime {
		return
	}
	for _, state := range s.servers {
		if state.awaiting || state.orphaned > 0 || state.unconfirmed {
			return
		}
	}
	s.end()
}

func (s *Survey) end() {
	s.stage = finished
	for _, state := range s.servers {
		state.orphaned = 0
	}
}

// Done reports whether the survey needs no more queries or announcements.
func (s *Survey) Done() bool { return s.started && s.stage == finished && !s.ReportSurvivors() }

// ReportSurvivors reports whether to announce surviving peers to processes that start at about
// the same time.
func (s *Survey) ReportSurvivors() bool { return s.survivors && s.elapsed < survivorReportTime }

// Pending reports whether the orphaned requests are still unknown; work that can wait should
// wait.
func (s *Survey) Pending() bool { return s.started && (s.stage == listening || s.stage == settling) }

// Orphaned calls visit for each server that has answered, in no particular order. Zero counts
// are included, because another process may have received a higher report.
func (s *Survey) Orphaned(visit func(id string, left int)) {
	if s.stage != counting {
		return
	}
	for id, state := range s.servers {
		if state.hasReport {
			visit(id, state.orphaned)
		}
	}
}

// Counts returns the totals since the start.
func (s *Survey) Counts() Counts { return s.counts }
