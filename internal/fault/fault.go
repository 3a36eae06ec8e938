// Package fault provides the typed errors that cross rockwind's process boundaries. A fault has a
// kind, a message that says what went wrong, and a remedy that says what to do about it. Faults of
// requests also say whether the request may have run.
package fault

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
)

// Kind is the type of a fault. The set of kinds is closed, so that callers may switch on it.
type Kind string

// The kinds of fault.
const (
	// InvalidArgument: the input is invalid, and a retry would fail in the same way.
	InvalidArgument Kind = "invalid_argument"
	// Unauthenticated: the request has no known API key.
	Unauthenticated Kind = "unauthenticated"
	// NotFound: the named object does not exist, or not for this tenant.
	NotFound Kind = "not_found"
	// Conflict: another value was already accepted under the same number or key.
	Conflict Kind = "conflict"
	// Stale: the caller's version is older than the current one.
	Stale Kind = "stale"
	// LimitReached: a limit of the tenant is exhausted.
	LimitReached Kind = "limit_reached"
	// Overloaded: the servers cannot meet the request's deadline.
	Overloaded Kind = "overloaded"
	// Quarantined: servers ended while they ran the same request, which is refused for some time.
	Quarantined Kind = "quarantined"
	// VersionGone: the stream can't go on, because no server has the software version at which it began, or that is not
	// known. It can begin again.
	VersionGone Kind = "version_gone"
	// Unavailable: no back end or no quorum can be reached.
	Unavailable Kind = "unavailable"
	// NotLeader: another replica leads the group. Leader has its address if it is known.
	NotLeader Kind = "not_leader"
	// OutcomeUnknown: the request may have run, and its response is lost.
	OutcomeUnknown Kind = "outcome_unknown"
	// Cancelled: the caller or an operator cancelled the work.
	Cancelled Kind = "cancelled"
	// Corrupt: stored data does not match its checksum.
	Corrupt Kind = "corrupt"
	// Internal: a defect in rockwind.
	Internal Kind = "internal"
)

// Ran says whether a request may have run on a back end.
type Ran string

// The values of Ran.
const (
	// RanNotApplicable is for faults that do not concern a request.
	RanNotApplicable Ran = ""
	// NotRun means that no byte can have reached a back end, or that the back end refused the
	// request.
	NotRun Ran = "not_run"
	// RanUnknown means that the request may have run, at most once.
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
	// RetryAfter is the time after which a retry is worthwhile; zero means no advice.
	RetryAfter time.Duration `json:"-"`
	// Leader is the address of the leader, for NotLeader.
	Leader string `json:"leader,omitempty"`
	// FeatureLevel is the feature level that the call needs and that some coordinators have not announced;
	// zero for all other faults. Another coordinator would answer the same.
	FeatureLevel uint32 `json:"-"`
}

// New returns a fault of the given kind.
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

// WithRan returns a copy with the given Ran.
func (f *Fault) WithRan(ran Ran) *Fault {
	copied := *f
	copied.Ran = ran
	return &copied
}

// WithRetryAfter returns a copy with the given RetryAfter.
func (f *Fault) WithRetryAfter(after time.Duration) *Fault {
	copied := *f
	copied.RetryAfter = after
	return &copied
}

// WithLeader returns a copy with the given leader's address.
func (f *Fault) WithLeader(address string) *Fault {
	copied := *f
	copied.Leader = address
	return &copied
}

// WithFeatureLevel returns a copy with the given feature level.
func (f *Fault) WithFeatureLevel(level uint32) *Fault {
	copied := *f
	copied.FeatureLevel = level
	return &copied
}

// From returns the fault in the chain of err, also if it crossed a twirp call. Other errors become
// Internal faults with their text, and nil remains nil.
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

// IsFault reports whether err is a fault, created here or by the other end of a twirp call. Any
// other error of a call does not say what happened at the other end.
func IsFault(err error) bool {
	var local *Fault
	if errors.As(err, &local) {
		return true
	}
	var remote twirp.Error
	return errors.As(err, &remote) && remote.Meta(metaKind) != ""
}

// Is reports whether err is a fault of the given kind.
func Is(err error, kind Kind) bool {
	if err == nil {
		return false
	}
	return From(err).Kind == kind
}

// HTTPStatus returns the HTTP status code for the kind.
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
	case Overloaded, Quarantined, VersionGone, Unavailable, NotLeader:
		return http.StatusServiceUnavailable
	case OutcomeUnknown:
		return http.StatusBadGateway
	case Cancelled:
		return 499
	default:
		return http.StatusInternalServerError
	}
}

// Keys of the twirp metadata that carries a fault.
const (
	metaKind   = "fault_kind"
	metaRemedy = "fault_remedy"
	metaRan    = "fault_ran"
	metaRetry  = "fault_retry_ms"
	metaLeader = "fault_leader"
	metaLevel  = "fault_feature_level"
)

// ToTwirp converts an error to a twirp error from which From restores the fault. It returns nil
// for nil.
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
	if f.FeatureLevel != 0 {
		result = result.WithMeta(metaLevel, strconv.FormatUint(uint64(f.FeatureLevel), 10))
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
	if level, err := strconv.ParseUint(remote.Meta(metaLevel), 10, 32); err == nil {
		f.FeatureLevel = uint32(level)
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
	case VersionGone:
		return twirp.FailedPrecondition
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
