// Package streamversion decides at which software version of its service's servers a stream may go on. What servers
// of two versions send does not fit together, so a stream that has begun goes on at the version that began it, or not
// at all.
//
// The package also holds where the version of a begun stream is found: each process keeps the origins of the streams
// that it began (Table), and announces them to a few others that are chosen by the identifier of the request
// (Holders). A process that resumes a stream asks these. Nothing here does I/O; times are durations since an origin of
// the caller's choice.
package streamversion

// Origin is what is known of the beginning of a stream.
type Origin struct {
	// Known is set if the version of the server that sent the first event is known.
	Known bool
	// Version is that version; empty if the server does not say.
	Version string
}

// Facts are the facts behind a decision.
type Facts struct {
	// Begun is set if events were received in this answer or for this item, and Origin is that of the first one.
	Begun bool
	// Resumed is set if the client resumes a stream of an earlier answer. Named is set if it names the request that
	// brought the first event; Origin is that of this request then.
	Resumed, Named bool
	Origin         Origin
	// Mixed is set if servers of several versions have served within the time for which streams can be resumed.
	Mixed bool
	// Unconfirmed is set if the directory may lack a version at which the stream began: the coordinators have not
	// confirmed it since the client resumed the stream. However recent, an earlier confirmation excludes no version
	// that has joined since.
	Unconfirmed bool
	// Unanswered is set if processes that may know the origin were asked and have not answered.
	Unanswered bool
}

// Verdict is the result of a decision.
type Verdict string

// The verdicts.
const (
	// Any server of the service may take the stream.
	Any Verdict = "any version"
	// Same: only servers of the version that began the stream may take it.
	Same Verdict = "same version"
	// Undecided: the version that began the stream may become known, so its client may come back.
	Undecided Verdict = "undecided"
	// Unknown: the version that began the stream is known to none of the processes asked, so no server may take it.
	Unknown Verdict = "unknown version"
)

// Decision says which servers may take a stream.
type Decision struct {
	Verdict Verdict
	// Version is the only one that may take it, if the verdict is Same.
	Version string
	// Reason is for the log.
	Reason string
}

// Decide decides which servers may take a stream. A client that names no request is served as if there were no
// versions, because it may not know of them.
func Decide(facts Facts) Decision {
	switch {
	case !facts.Begun && !facts.Resumed:
		return Decision{Verdict: Any, Reason: "the stream begins here"}
	case facts.Origin.Known:
		return Decision{Verdict: Same, Version: facts.Origin.Version, Reason: "the stream began at this version"}
	case !facts.Mixed && !facts.Unconfirmed:
		return Decision{Verdict: Any, Reason: "the servers have one version"}
	case facts.Resumed && !facts.Named:
		return Decision{Verdict: Any, Reason: "the client does not name the request that began the stream"}
	case !facts.Mixed:
		return Decision{Verdict: Undecided, Reason: "nothing is known of the beginning of the stream, and the coordinators have not confirmed that there is one version"}
	case facts.Unanswered:
		return Decision{Verdict: Undecided, Reason: "processes that may know the beginning of the stream have not answered"}
	}
	return Decision{Verdict: Unknown, Reason: "nothing is known of the beginning of the stream"}
}

// NeedsOrigin reports whether the decision depends on an origin that other processes may know.
func NeedsOrigin(facts Facts) bool {
	return facts.Resumed && facts.Named && !facts.Origin.Known && (facts.Mixed || facts.Unconfirmed)
}
