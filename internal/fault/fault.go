// Package fault holds the typed errors that cross rockwind's process
// boundaries. Every fault has a kind, a message that says what went wrong, and
// a remedy that says what to do about it. Faults about requests also say
// whether the request may have run.
package fault

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
)

// Kind is the type of a fault. The set is closed; callers may switch on it.
type Kind string

// The kinds of fault.
const (
	// InvalidArgument: the input is wrong and will be wrong again.
	InvalidArgument Kind = "invalid_argument"
	// Unauthenticated: no known API key was given.
	Unauthenticated Kind = "unauthenticated"
	// NotFound: the named thing does not exist, or not for this tenant.
	NotFound Kind = "not_found"
	// Conflict: another value was accepted under the same number or key.
	Conflict Kind = "conflict"
	// Stale: the caller holds something older than what is in force.
	Stale Kind = "stale"
	// LimitReached: a limit of the tenant is used up for now.
	LimitReached Kind = "limit_reached"
	// Overloaded: the fleet cannot meet the request's deadline.
	Overloaded Kind = "overloaded"
	// Quarantined: servers ended under the same request; it is not run for a while.
	Quarantined Kind = "quarantined"
	// Unavailable: no back end or no quorum can be reached for now.
	Unavailable Kind = "unavailable"
	// NotLeader: another replica leads the group; its address is in Leader.
	NotLeader Kind = "not_leader"
	// OutcomeUnknown: the request may have run and its answer is lost.
	OutcomeUnknown Kind = "outcome_unknown"
	// Cancelled: the caller or an operator cancelled the work.
	Cancelled Kind = "cancelled"
	// Corrupt: stored bytes failed their checksum.
	Corrupt Kind = "corrupt"
	// Internal: a defect in rockwind.
	Internal Kind = "internal"
)

// Ran says whether a request may have run on a back end.
type Ran string

// What is known of whether a request ran.
const (
	// RanNotApplicable is used by faults that are not about a request.
	RanNotApplicable Ran = ""
	// NotRun means that no byte can have reached a back end, or that the back
	// end provably refused.
	NotRun Ran = "not_run"
	// RanUnknown means that the request may have run, once.
	RanUnknown Ran = "outcome_unknown"
)

// Fault is a typed error.
type Fault struct {
	// Kind is the type of the fault.
	Kind Kind `json:"type"`
	// Message says what went wrong.
	Message string `json:"message"`
	// Remedy says what to do about it.
	Remedy string `json:"remedy"`
	// Ran says whether the request may have run.
	Ran Ran `json:"ran,omitempty"`
	// RetryAfter is when a retry is worth while; zero means no advice.
	RetryAfter time.Duration `json:"-"`
	// Leader is the address of the leader, for NotLeader.
	Leader string `json:"leader,omitempty"`
}

// New returns a fault of the given kind with a message and its remedy.
func New(kind Kind, message, remedy string) *Fault {
	return &Fault{Kind: kind, Message: message, Remedy: remedy}
}

// Newf is New with a formatted message.
func Newf(kind Kind, remedy, format string, arguments ...any) *Fault {
	return New(kind, fmt.Sprintf(format, arguments...), remedy)
}

// Error implements error.
func (f *Fault) Error() string {
	if f.Remedy == "" {
		return f.Message
	}
	return f.Message + "; " + f.Remedy
}

// WithRan returns a copy that says whether the request may have run.
func (f *Fault) WithRan(ran Ran) *Fault {
	copied := *f
	copied.Ran = ran
	return &copied
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (f *Fault) WithRetryAfter(after time.Duration) *Fault {
	copied := *f
	copied.RetryAfter = after
	return &copied
}

// WithLeader returns a copy that names the leader's address.
func (f *Fault) WithLeader(address string) *Fault {
	copied := *f
	copied.Leader = address
	return &copied
}

// From returns the fault inside err, or an Internal fault that wraps its text.
// It understands faults that crossed a twirp call. It returns nil for nil.
func From(err error) *Fault {
	if err == nil {
		return nil
	}
	var found *Fault
	if errors.As(err, &found) {
		return found
	}
	var remote twirp.Error
	if errors.As(err, &remote) {
		return fromTwirp(remote)
	}
	return New(Internal, err.Error(), "report this with the output of 'rockwind logs'")
}

// IsFault tells whether err is a fault that somebody stated, here or at the other end of a twirp
// call. Any other error of a call says nothing of what happened there.
func IsFault(err error) bool {
	var stated *Fault
	if errors.As(err, &stated) {
		return true
	}
	var remote twirp.Error
	return errors.As(err, &remote) && remote.Meta(metaKind) != ""
}

// Is tells whether err is a fault of the given kind.
func Is(err error, kind Kind) bool {
	if err == nil {
		return false
	}
	return From(err).Kind == kind
}

// HTTPStatus is the status code that callers get for the kind.
func (k Kind) HTTPStatus() int {
	switch k {
	case InvalidArgument:
		return http.StatusBadRequest
	case Unauthenticated:
		return http.StatusUnauthorized
	case NotFound:
		return http.StatusNotFound
	case Conflict, Stale:
		return http.StatusConflict
	case LimitReached:
		return http.StatusTooManyRequests
	case Overloaded, Quarantined, Unavailable, NotLeader:
		return http.StatusServiceUnavailable
	case OutcomeUnknown:
		return http.StatusBadGateway
	case Cancelled:
		return 499
	default:
		return http.StatusInternalServerError
	}
}

// Keys of the metadata that carries a fault through twirp.
const (
	metaKind   = "fault_kind"
	metaRemedy = "fault_remedy"
	metaRan    = "fault_ran"
	metaRetry  = "fault_retry_ms"
	metaLeader = "fault_leader"
)

// ToTwirp turns any error into a twirp error that From restores on the other
// side. It returns nil for nil.
func ToTwirp(err error) error {
	if err == nil {
		return nil
	}
	f := From(err)
	result := twirp.NewError(twirpCode(f.Kind), f.Message).
		WithMeta(metaKind, string(f.Kind)).
		WithMeta(metaRemedy, f.Remedy)
	if f.Ran != RanNotApplicable {
		result = result.WithMeta(metaRan, string(f.Ran))
	}
	if f.RetryAfter > 0 {
		result = result.WithMeta(metaRetry, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
	if f.Leader != "" {
		result = result.WithMeta(metaLeader, f.Leader)
	}
	return result
}

func fromTwirp(remote twirp.Error) *Fault {
	kind := Kind(remote.Meta(metaKind))
	if kind == "" {
		return New(Unavailable, "call between rockwind processes failed: "+remote.Msg(),
			"check that the process at the other end is running")
	}
	f := New(kind, remote.Msg(), remote.Meta(metaRemedy))
	f.Ran = Ran(remote.Meta(metaRan))
	f.Leader = remote.Meta(metaLeader)
	if milliseconds, err := strconv.ParseInt(remote.Meta(metaRetry), 10, 64); err == nil {
		f.RetryAfter = time.Duration(milliseconds) * time.Millisecond
	}
	return f
}

func twirpCode(kind Kind) twirp.ErrorCode {
	switch kind {
	case InvalidArgument:
		return twirp.InvalidArgument
	case Unauthenticated:
		return twirp.Unauthenticated
	case NotFound:
		return twirp.NotFound
	case Conflict, Stale:
		return twirp.FailedPrecondition
	case LimitReached, Overloaded, Quarantined:
		return twirp.ResourceExhausted
	case Unavailable, NotLeader, OutcomeUnknown:
		return twirp.Unavailable
	case Cancelled:
		return twirp.Canceled
	case Corrupt:
		return twirp.DataLoss
	default:
		return twirp.Internal
	}
}
