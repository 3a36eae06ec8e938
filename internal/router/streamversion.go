package router

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/streamversion"
)

const (
	// directoryConfirmTimeout is how long a resumed stream waits for the coordinators to confirm the directory. A majority
	// of them usually elects a leader within 0.6 s.
	directoryConfirmTimeout = 800 * time.Millisecond
	// undecidedRetryAfter is the Retry-After while the version of a stream may become known. Another router may know it
	// already.
	undecidedRetryAfter = 250 * time.Millisecond
)

// streamFacts returns the facts for the decision at which version the stream goes on.
func (e *exchange) streamFacts() streamversion.Facts {
	facts := streamversion.Facts{
		Begun: e.begun, Origin: e.origin, Resumed: e.info.ResumeAfter != "", Named: e.info.Resumes != "", Mixed: e.router.dispatcher.Mixed(e.service),
		Unconfirmed: !e.directoryConfirmed, Unanswered: e.originSearch.unanswered() || e.router.dispatcher.AwaitsOrigins(e.service),
	}
	if !facts.Origin.Known && facts.Mixed {
		facts.Origin = e.onlyVersion
	}
	return facts
}

// findOrigin finds the version at which the stream that the client resumes began, and refuses the request if that is
// needed and not known.
func (e *exchange) findOrigin(ctx context.Context) *fault.Fault {
	if e.info.ResumeAfter == "" || e.route.GetKind() != rockwindpb.RouteKind_ROUTE_KIND_STREAM {
		return nil
	}
	if e.info.Resumes != "" {
		e.searchOrigin(ctx)
	}
	facts := e.streamFacts()
	if facts.Named && !facts.Mixed && !facts.Unconfirmed {
		e.onlyVersion = e.router.dispatcher.onlyVersion(e.service)
	}
	decided := streamversion.Decide(facts)
	e.recordVersionDecision(facts, decided)
	if e.router.metrics != nil {
		e.router.metrics.CountResumed(string(decided.Verdict), e.originSearch.summary())
	}
	return e.versionFault(decided)
}

// searchOrigin asks other processes for the origin of the stream that the client resumes and, unless the servers are known
// to have several versions, the coordinators whether they have one. It ends as soon as the stream can go on. With one
// version, the processes are asked briefly: their origins outlast the traces of versions that have left the directory.
func (e *exchange) searchOrigin(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	origins, key := e.router.dispatcher.origins, streamversion.KeyOf(e.info.Resumes)
	if e.origin = origins.get(key); e.origin.Known {
		return
	}
	searched, nearlyEnded := make(chan originResult, 1), make(chan struct{})
	go func() { searched <- origins.findNotifying(ctx, key, func() { close(nearlyEnded) }) }()
	brief := time.NewTimer(briefOriginTimeout)
	defer brief.Stop()
	var confirmed chan bool
	if !e.streamFacts().Mixed {
		confirmed = make(chan bool, 1)
		go func() { confirmed <- e.router.confirmDirectory(ctx) }()
	}
	for askedBriefly := false; searched != nil || confirmed != nil; {
		facts := e.streamFacts()
		if facts.Origin.Known {
			return
		}
		if askedBriefly && !streamversion.NeedsOrigin(facts) {
			// An announcement may have arrived meanwhile.
			e.origin = origins.get(key)
			return
		}
		select {
		case e.originSearch = <-searched:
			e.origin, searched, askedBriefly = e.originSearch.Origin, nil, true
		case <-nearlyEnded:
			nearlyEnded, askedBriefly = nil, true
		case <-brief.C:
			askedBriefly = true
		case e.directoryConfirmed = <-confirmed:
			confirmed = nil
		}
	}
}

// confirmDirectory reports whether the dispatcher has every version that a server had before the call.
func (r *Router) confirmDirectory(ctx context.Context) bool {
	timeout := directoryConfirmTimeout
	if r.directoryAge() > maxDirectoryAge {
		// Another router may be in contact.
		timeout = originTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	revision, err := r.directoryConfirmer(ctx)
	return err == nil && r.dispatcher.AwaitRevision(ctx, revision)
}

// versionFault returns the refusal of a stream that may not go on by a decision, or nil.
func (e *exchange) versionFault(decided streamversion.Decision) *fault.Fault {
	switch decided.Verdict {
	case streamversion.Undecided:
		return e.undecidedFault()
	case streamversion.Unknown:
		return fault.Newf(fault.VersionGone, restartRemedy,
			"servers of service %s have several software versions, and it is not known at which one the stream began", e.service).WithRan(fault.NotRun)
	}
	return nil
}

// undecidedFault returns the refusal of a resumed stream whose version may become known.
func (e *exchange) undecidedFault() *fault.Fault {
	if e.router.directoryAge() > maxDirectoryAge {
		return e.outOfContactFault()
	}
	return fault.Newf(fault.Unavailable, "come back later, preferably at another router",
		"this router can't find out now at which software version of service %s the stream began", e.service).
		WithRan(fault.NotRun).WithRetryAfter(undecidedRetryAfter)
}

// outOfContactFault returns the refusal of a resumed stream by a router that can't know whether its version serves.
func (e *exchange) outOfContactFault() *fault.Fault {
	return fault.Newf(fault.Unavailable, "come back later, preferably at another router",
		"this router is out of contact with the coordinators and does not know the software versions of service %s", e.service).
		WithRan(fault.NotRun).WithRetryAfter(unreachableRetryAfter)
}

// restrictVersion restricts a demand to the servers at which the stream may go on.
func (e *exchange) restrictVersion(demand balance.Demand) balance.Demand {
	if !e.begun && e.info.ResumeAfter == "" {
		return demand
	}
	decided := streamversion.Decide(e.streamFacts())
	demand.SameVersion, demand.Version = decided.Verdict == streamversion.Same, decided.Version
	return demand
}

// allowsVersion reports whether the stream may go on at a server that was assigned. The versions may have changed while
// the request waited.
func (e *exchange) allowsVersion(lease *Lease) bool {
	if !e.begun && e.info.ResumeAfter == "" {
		return true
	}
	decided := streamversion.Decide(e.streamFacts())
	return decided.Verdict == streamversion.Any || (decided.Verdict == streamversion.Same && decided.Version == lease.Version)
}

// noteBegun records the version of the server that sends the first event of the stream, before the event is relayed.
func (e *exchange) noteBegun(lease *Lease) {
	if e.begun {
		return
	}
	e.begun, e.origin = true, streamversion.Origin{Known: true, Version: lease.Version}
	if !e.route.GetResumable() {
		return
	}
	// The client may come back until its own deadline, which may be later than that of the route.
	keep := max(time.Until(e.deadline), e.info.Timeout) + originRetention
	e.router.dispatcher.announceOrigin(streamversion.KeyOf(e.info.streamID()), e.service, lease.Version, keep)
}

// recordVersionDecision records at which version a stream goes on, with the facts.
func (e *exchange) recordVersionDecision(facts streamversion.Facts, decided streamversion.Decision) {
	fields := e.logFields()
	fields["verdict"], fields["reason"], fields["version"] = string(decided.Verdict), decided.Reason, decided.Version
	fields["begun"], fields["named"], fields["origin_known"], fields["origin"], fields["mixed"] = facts.Begun, facts.Named, facts.Origin.Known, facts.Origin.Version, facts.Mixed
	fields["confirmed"], fields["unanswered"] = !facts.Unconfirmed, facts.Unanswered
	fields["directory_age_ms"] = e.router.directoryAge().Milliseconds()
	fields["serving"] = e.router.dispatcher.Versions(e.service)
	fields["asked"], fields["silent"] = e.originSearch.Asked, e.originSearch.silentNames()
	decision.Default.Record(decision.StreamVersionDecided, e.info.ID, fields)
}
