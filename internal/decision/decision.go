// Package decision writes one structured log record for each decision that affects a request or
// changes the state that a process acts on. Records contain the identifier of the request, the
// facts behind the decision, the age of these facts, and the outcome.
//
// The volume is bounded: each kind has a budget of records per second, and successful requests are
// sampled by a hash of their identifier, so that all processes log the same requests. Writing
// never blocks: see Stream.
package decision

import (
	"maps"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
)

// Kind is the type of a record. docs/OPERATIONS.md describes each kind.
type Kind string

// The kinds of records.
const (
	// RequestFinished: a request was answered.
	RequestFinished Kind = "request finished"
	// RequestRefused: the router itself refused a request.
	RequestRefused Kind = "request refused"
	// RequestTriedAgain: an attempt at a server ended without a response for the client.
	RequestTriedAgain Kind = "request tried again"
	// RequestBroken: a response that had begun could not be completed.
	RequestBroken Kind = "request broken"
	// RequestAbandoned: the client disconnected before the end.
	RequestAbandoned Kind = "request abandoned"
	// StreamEndedInEvent: the body of a stream ended before the end of an event.
	StreamEndedInEvent Kind = "stream ended inside an event"
	// StreamVersionDecided: at which software version of its servers a stream goes on.
	StreamVersionDecided Kind = "stream version decided"
	// AnswerEnded: the unread rest of a response was dropped.
	AnswerEnded Kind = "answer ended"
	// BodyRefused: there was no memory for the body of a request.
	BodyRefused Kind = "body refused"
	// OverloadReliefChanged: a router started or stopped sending clients to other routers.
	OverloadReliefChanged Kind = "relief changed"
	// JobTaken, JobRefused and JobEnded are the outcomes of calls about a job.
	JobTaken   Kind = "job taken"
	JobRefused Kind = "job refused"
	JobEnded   Kind = "job ended"
	// TokensRefused: a job exceeds the token limit of its route.
	TokensRefused Kind = "tokens refused"
	// JobWouldBeLate: a job can't be done by its due time and is refused.
	JobWouldBeLate Kind = "job would be late"
	// ItemStarted: an item was sent to a server.
	ItemStarted Kind = "item started"
	// ItemRestarted: an item begins anew, because its output cannot go on at any server.
	ItemRestarted Kind = "item restarted"
	// ItemReturned: an attempt of an item ended without a result.
	ItemReturned Kind = "item returned"
	// ItemRecorded: the result of an item was recorded, done or dead.
	ItemRecorded Kind = "item recorded"
	// JobMoveBegan, JobMoved and JobMoveAborted are the steps of a job's move at the shard that it leaves, and
	// JobArrived is its activation at the other shard.
	JobMoveBegan   Kind = "job move began"
	JobMoved       Kind = "job moved"
	JobMoveAborted Kind = "job move aborted"
	JobArrived     Kind = "job arrived"
	// ConfigurationInForce: this process applied another configuration.
	ConfigurationInForce Kind = "configuration in force"
	// ServerEnded: a server ended while it ran a request. ContentCleared: the suspicion against a
	// request content was cleared.
	ServerEnded    Kind = "server ended under a request"
	ContentCleared Kind = "content cleared"
	// RequestHeld and ItemHeld: a request was refused or an item was not started, because its
	// content or a part of its prompt is quarantined. RequestTried: it runs as a trial of its parts.
	RequestHeld  Kind = "request held"
	RequestTried Kind = "request tried although held"
	ItemHeld     Kind = "item held"
	// RunCopied: a run that must not run twice was copied to a second server. RunContinued: the
	// first server ended and the run continues on the second one. RunLost: a copied run ended with
	// its server.
	RunCopied    Kind = "run copied"
	RunContinued Kind = "run continued"
	RunLost      Kind = "run lost"
	// AddressAsked: an address was probed for which of several server incarnations is there.
	AddressAsked Kind = "address asked"
	// ServersAsked: after the start of this process, servers were queried for orphaned requests.
	ServersAsked Kind = "servers asked"
	// StartFinished: this process has the state that it needs to serve.
	StartFinished Kind = "start finished"
	// StartsLimited and StartsUnlimited: the number of online requests that this process may have at
	// servers is limited because the loads of other processes are unknown, or is no longer limited.
	StartsLimited   Kind = "starts limited"
	StartsUnlimited Kind = "starts no longer limited"
	// ConnectionsTurnedAway: an overloaded router closed new connections of clients unread.
	ConnectionsTurnedAway Kind = "connections turned away"
	// TenantHeldBack: requests of a tenant wait behind those of tenants that used less.
	TenantHeldBack Kind = "tenant held back"
	// CoordinatorsSilent: no known coordinator has answered for some time.
	CoordinatorsSilent Kind = "coordinators are silent"
	// LeadershipTransferred: a replica gave up the leadership of a group without being told to.
	LeadershipTransferred Kind = "leadership handed over"
	// StateConfirmed: after a restart, a majority confirmed a replica's state before a leader was
	// elected.
	StateConfirmed Kind = "state confirmed"
	// ZoneDrainsInForce: this process applied another list of drained zones.
	ZoneDrainsInForce Kind = "zone drains in force"
	// ColdServersInForce: this process applied another list of cold servers.
	ColdServersInForce Kind = "cold servers in force"
	// DependencyLost and DependencyRegained: a coordinator or store stopped answering or answers
	// again.
	DependencyLost     Kind = "dependency lost"
	DependencyRegained Kind = "dependency regained"
)

// sampledKinds are written for one of every sampleInterval requests.
var sampledKinds = map[Kind]bool{RequestFinished: true, RequestAbandoned: true, ItemStarted: true, RunCopied: true}

const (
	// One of sampleInterval requests is sampled.
	sampleInterval = 16
	// Each kind has a token bucket with this rate and burst size.
	recordsPerSecond = 40
	burst            = 120
)

// Recorder writes the decision records of one process. It is safe for concurrent use.
type Recorder struct {
	target log.Interface
	now    func() time.Time

	mutex   sync.Mutex
	budgets map[Kind]*budget
	counts  map[Kind]Count
}

// Count holds the numbers of decisions of a kind.
type Count struct {
	Decided uint64
	// Unwritten counts decisions without a record: sampled out, or over the budget.
	Unwritten uint64
}

// budget is the token bucket of one kind.
type budget struct {
	tokens     float64
	refilledAt time.Time
	omitted    uint64
}

// NewRecorder returns a recorder that writes to the target.
func NewRecorder(target log.Interface, now func() time.Time) *Recorder {
	return &Recorder{target: target, now: now, budgets: make(map[Kind]*budget), counts: make(map[Kind]Count)}
}

// Default is the recorder of this process, which writes to the default logger.
var Default = NewRecorder(log.Log, time.Now)

// Sampled reports whether records of the sampled kinds are written for a request.
func Sampled(id string) bool {
	return xxhash.Sum64String(id)%sampleInterval == 0
}

// Enabled reports whether a record of the kind about the request would be written, so that callers
// need not compute its fields otherwise.
func Enabled(kind Kind, id string) bool {
	return !sampledKinds[kind] || Sampled(id)
}

// Record writes a record about a request, job or server, unless the kind's budget is exhausted.
// The number of omitted records is added to the next one.
func (r *Recorder) Record(kind Kind, id string, fields log.Fields) {
	omitted, allowed := r.admit(kind, Enabled(kind, id))
	if !allowed {
		return
	}
	entry := r.target.WithFields(fields).WithField("id", id)
	if omitted > 0 {
		entry = entry.WithField("omitted_before", omitted)
	}
	entry.Info(string(kind))
}

// Skip counts a decision for which the caller omits the record.
func (r *Recorder) Skip(kind Kind) { r.admit(kind, false) }

// Counts returns the counts of all kinds.
func (r *Recorder) Counts() map[Kind]Count {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.counts)
}

// admit counts a decision and reports whether its record may be written. It also returns the
// number of records that were omitted before.
func (r *Recorder) admit(kind Kind, enabled bool) (omitted uint64, allowed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := r.counts[kind]
	count.Decided++
	defer func() {
		if !allowed {
			count.Unwritten++
		}
		r.counts[kind] = count
	}()
	if !enabled {
		return 0, false
	}
	now := r.now()
	current := r.budgets[kind]
	if current == nil {
		current = &budget{tokens: burst, refilledAt: now}
		r.budgets[kind] = current
	}
	current.tokens = min(burst, current.tokens+recordsPerSecond*now.Sub(current.refilledAt).Seconds())
	current.refilledAt = now
	if current.tokens < 1 {
		current.omitted++
		return 0, false
	}
	current.tokens--
	omitted, current.omitted = current.omitted, 0
	return omitted, true
}
