// Package decision writes one structured line for each decision that touches a
// request or changes what a process believes. Lines name the request, what the
// decision rested on, how old that was, and the outcome.
//
// The volume is bounded: each kind has a budget of lines a second, and requests
// that went well are sampled by their identifier, alike in every process, so that
// a request is found in all logs or in none. Writing never blocks: see Stream.
package decision

import (
	"maps"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
)

// Kind is the type of a line. docs/OPERATIONS.md lists what each one tells.
type Kind string

// The kinds of line.
const (
	// RequestFinished: a request has its answer.
	RequestFinished Kind = "request finished"
	// RequestRefused: a request got a refusal of the router's own.
	RequestRefused Kind = "request refused"
	// RequestTriedAgain: a try at a server ended without an answer for the client.
	RequestTriedAgain Kind = "request tried again"
	// RequestBroken: an answer that had begun could not be completed.
	RequestBroken Kind = "request broken"
	// RequestAbandoned: the client left before the end.
	RequestAbandoned Kind = "request abandoned"
	// AnswerEnded: what a client had not read of an answer was dropped.
	AnswerEnded Kind = "answer ended"
	// BodyRefused: there was no memory for the body of a request.
	BodyRefused Kind = "body refused"
	// ReliefChanged: a router began or ceased to send clients elsewhere.
	ReliefChanged Kind = "relief changed"
	// JobTaken, JobRefused and JobEnded tell what became of a call about a job.
	JobTaken   Kind = "job taken"
	JobRefused Kind = "job refused"
	JobEnded   Kind = "job ended"
	// TokensRefused: a job does not fit below the limit of its route.
	TokensRefused Kind = "tokens refused"
	// ItemStarted: an item was sent to a server.
	ItemStarted Kind = "item started"
	// ItemReturned: a try of an item ended without a result.
	ItemReturned Kind = "item returned"
	// ItemRecorded: an item has its result, done or dead.
	ItemRecorded Kind = "item recorded"
	// ConfigurationInForce: another configuration is in force here.
	ConfigurationInForce Kind = "configuration in force"
	// ServerEnded: a server ended while it ran a request, and ContentCleared: what was held
	// against a content is forgotten.
	ServerEnded    Kind = "server ended under a request"
	ContentCleared Kind = "content cleared"
	// RequestHeld: a request was refused, and ItemHeld: an item was not started, since servers
	// ended under the same content.
	RequestHeld Kind = "request held"
	ItemHeld    Kind = "item held"
	// RunCopied: a run that may run once is copied to a second server, and RunContinued: it
	// goes on there since the first one has ended. RunLost: it ended with its server, though it
	// was copied.
	RunCopied    Kind = "run copied"
	RunContinued Kind = "run continued"
	RunLost      Kind = "run lost"
	// AddressAsked: an address was asked which of several incarnations of servers is there.
	AddressAsked Kind = "address asked"
	// ServersAsked: this process has had servers asked after its start for what others left
	// behind there.
	ServersAsked Kind = "servers asked"
	// StartFinished: this process knows after its start what it needs to serve.
	StartFinished Kind = "start finished"
	// TenantHeldBack: requests of other tenants go before those of one that had more.
	TenantHeldBack Kind = "tenant held back"
	// CoordinatorsSilent: no coordinator that this process knows of has answered for long.
	CoordinatorsSilent Kind = "coordinators are silent"
	// LeadershipHandedOver: a replica gives up the leadership of a group without being told to.
	LeadershipHandedOver Kind = "leadership handed over"
	// ZoneDrainsInForce: this process has learnt which zones are drained.
	ZoneDrainsInForce Kind = "zone drains in force"
	// DependencyLost and DependencyRegained tell of coordinators and stores.
	DependencyLost     Kind = "dependency lost"
	DependencyRegained Kind = "dependency regained"
)

// sampled kinds are written for one request in sampleOf only.
var sampled = map[Kind]bool{RequestFinished: true, RequestAbandoned: true, ItemStarted: true, RunCopied: true}

const (
	// sampleOf is how many requests stand for one that is written.
	sampleOf = 16
	// linesPerSecond is the budget of each kind, and burst what may gather.
	linesPerSecond = 40
	burst          = 120
)

// Recorder writes the lines of one process. It is safe for concurrent use.
type Recorder struct {
	target log.Interface
	now    func() time.Time

	mutex   sync.Mutex
	budgets map[Kind]*budget
	counts  map[Kind]Count
}

// Count is how many decisions of a kind there were.
type Count struct {
	Decided uint64
	// Unwritten counts those without a line: sampled out, or over the budget.
	Unwritten uint64
}

// budget is a token bucket of one kind.
type budget struct {
	tokens  float64
	filled  time.Time
	omitted uint64
}

// NewRecorder returns a recorder that writes to the target.
func NewRecorder(target log.Interface, now func() time.Time) *Recorder {
	return &Recorder{target: target, now: now, budgets: make(map[Kind]*budget), counts: make(map[Kind]Count)}
}

// Default is the recorder of this process, over the process's logger.
var Default = NewRecorder(log.Log, time.Now)

// Sampled tells whether the lines of a request that goes well are written.
func Sampled(id string) bool {
	return xxhash.Sum64String(id)%sampleOf == 0
}

// Enabled tells whether a line of the kind about the request would be written, so
// that callers can spare themselves the fields.
func Enabled(kind Kind, id string) bool {
	return !sampled[kind] || Sampled(id)
}

// Record writes a line about a request, job or server, unless the kind's budget
// is used up. The number of lines that were left out goes with the next one.
func (r *Recorder) Record(kind Kind, id string, fields log.Fields) {
	omitted, allowed := r.take(kind, Enabled(kind, id))
	if !allowed {
		return
	}
	entry := r.target.WithFields(fields).WithField("id", id)
	if omitted > 0 {
		entry = entry.WithField("omitted_before", omitted)
	}
	entry.Info(string(kind))
}

// Skip counts a decision whose line the caller leaves out.
func (r *Recorder) Skip(kind Kind) { r.take(kind, false) }

// Counts returns the counts of all kinds so far.
func (r *Recorder) Counts() map[Kind]Count {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.counts)
}

// take counts a decision and tells whether its line may be written.
func (r *Recorder) take(kind Kind, wanted bool) (omitted uint64, allowed bool) {
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
	if !wanted {
		return 0, false
	}
	now := r.now()
	current := r.budgets[kind]
	if current == nil {
		current = &budget{tokens: burst, filled: now}
		r.budgets[kind] = current
	}
	current.tokens = min(burst, current.tokens+linesPerSecond*now.Sub(current.filled).Seconds())
	current.filled = now
	if current.tokens < 1 {
		current.omitted++
		return 0, false
	}
	current.tokens--
	omitted, current.omitted = current.omitted, 0
	return omitted, true
}
