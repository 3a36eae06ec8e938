package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/singleflight"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// maxChecks bounds concurrent crash checks. More connections break at once only if a machine
	// loses all of them; further ones are ignored.
	maxChecks = 256
	// crashNoticeTimeout is how long after a broken connection the directory may show that the
	// server has ended: longer than a restart, or than missed heartbeats (four of 1.2 s) and two
	// unanswered identity queries.
	crashNoticeTimeout = 11 * time.Second
	// identityTimeout bounds an identity query to a silent server. A live server answers in
	// milliseconds, or later under load.
	identityTimeout = time.Second
	// identityQueryInterval is the time between identity queries.
	identityQueryInterval = 500 * time.Millisecond
	// maxIdentityQueries bounds the identity queries of one check, each of which takes a slot of
	// the server. Two decide if other processes report as well; the others allow for a busy
	// server.
	maxIdentityQueries = 4
)

// CrashReporter finds out which requests were running at a server that crashed and reports them
// to the coordinators. A broken connection alone proves nothing: servers reset connections and
// lose responses. A server has crashed if no process listens at its address although it has not
// announced a leave. If a proxy or supervisor accepts connections in its place, it has crashed if
// the directory soon shows another incarnation at its address, or shows it as silent and the
// address does not identify itself as that server: see directory.View.Termination. An unreachable
// server does not refuse connections, and its connections do not break.
//
// Its methods are safe for concurrent use and never block, apart from Run.
type CrashReporter struct {
	watcher  *site.Watcher
	client   *upstream.Client
	reporter *site.QuarantineReporter
	// identifier queries which incarnation is at an address.
	identifier site.Identifier
	// observeCold applies the cold time of a health answer to this process's pools and reports whether
	// it extends what was known.
	observeCold     func(id string, cold time.Duration) bool
	coldReports     singleflight.Group
	checks          singleflight.Group
	identityQueries singleflight.Group
	checkSlots      chan struct{}
	stopped         chan struct{}
	answers         *recentAnswers
	partAnswers     *quarantine.PartAnswers
	// observeCrash is called with the identifier of each server that crashed; nil if it is not set.
	observeCrash func(server string)
	// trialClaims holds the claim of a trial that is being made.
	trialClaims chan struct{}
}

// NewCrashReporter returns a reporter that probes servers with the given client and identifies
// them by the given protocol. The dispatcher receives the cold times that servers give on that occasion.
func NewCrashReporter(watcher *site.Watcher, client *upstream.Client, protocol Protocol, dispatcher *Dispatcher) *CrashReporter {
	return &CrashReporter{
		watcher: watcher, client: client, reporter: site.NewQuarantineReporter(watcher), identifier: site.HTTPIdentifier(protocol.IdentityHeaders()),
		observeCold: dispatcher.ObserveCold,
		checkSlots:  make(chan struct{}, maxChecks), stopped: make(chan struct{}), answers: newRecentAnswers(time.Now()),
		partAnswers: quarantine.NewPartAnswers(time.Now()), trialClaims: make(chan struct{}, 1),
	}
}

// ObserveCrashes sets the observer of crashed servers. It must be called before the reporter is used.
func (r *CrashReporter) ObserveCrashes(observe func(server string)) { r.observeCrash = observe }

// Run sends reports until the context ends. It may be called only once.
func (r *CrashReporter) Run(ctx context.Context) {
	defer close(r.stopped)
	var answers sync.WaitGroup
	defer answers.Wait()
	answers.Go(func() { r.reportKnownAnswers(ctx) })
	r.reporter.Run(ctx)
}

// Attempt is a request that was sent to a server.
type Attempt struct {
	Content fingerprint.Fingerprint
	// Parts are the parts of the request's prompt that other requests may share.
	Parts   []fingerprint.Fingerprint
	Server  string
	Address string
	// SentAt is when the request was sent.
	SentAt time.Time
	// Route and Tenant are those of the request.
	Route  string
	Tenant string
	// BatchItem is set for an item of a batch job.
	BatchItem bool
}

// ConnectionLost records that the connection of an attempt broke with the given error before the
// response was complete. Timeouts are ignored: the server may be alive.
func (r *CrashReporter) ConnectionLost(attempt Attempt, cause error) {
	if upstream.IsTimeout(cause) {
		return
	}
	select {
	case r.checkSlots <- struct{}{}:
	default:
		log.WithField("server", attempt.Server).Debug("too many connections broke at once; skipping the crash check")
		return
	}
	go func() {
		defer func() { <-r.checkSlots }()
		if r.serverCrashed(attempt) {
			if r.observeCrash != nil {
				r.observeCrash(attempt.Server)
			}
			r.reportCrash(attempt)
		}
	}()
}

// reportCrash reports that the server of an attempt crashed. The check may have taken seconds: a response
// to the same content before or since shows that the request is harmless, and is needed no more.
// Responses to its parts are reported with the crash.
func (r *CrashReporter) reportCrash(attempt Attempt) {
	now := time.Now()
	end := &rockwindpb.ServerEnd{
		Content: attempt.Content.Bytes(), Parts: fingerprint.BytesOf(attempt.Parts), Server: attempt.Server,
		Route: attempt.Route, Tenant: attempt.Tenant, Item: attempt.BatchItem,
	}
	if r.answers.has(attempt.Content, now) {
		if len(attempt.Parts) == 0 {
			return
		}
		end.Content = nil
	}
	if len(attempt.Parts) > 0 {
		r.reporter.ShareParts()
	}
	var answeredAt []time.Time
	for _, part := range attempt.Parts {
		answeredAt = append(answeredAt, r.partAnswers.LastSent(part, now))
	}
	r.reporter.ReportCrash(end, attempt.SentAt, answeredAt)
}

// serverCrashed reports whether the server of an attempt ended without leaving. Concurrent checks
// of one server share a probe, which never fails.
func (r *CrashReporter) serverCrashed(attempt Attempt) bool {
	if !r.isServing(attempt.Server) {
		return false
	}
	checked, _, _ := r.checks.Do(attempt.Server, func() (any, error) {
		return r.client.Probe(context.Background(), attempt.Address, connectTimeout) == upstream.ProbeRefused, nil
	})
	refused, _ := checked.(bool)
	return refused || r.awaitCrashNotice(attempt.Server)
}

// isServing reports whether a server belongs to the site and has not announced that it leaves.
func (r *CrashReporter) isServing(id string) bool {
	view := r.watcher.Directory()
	if view == nil {
		return false
	}
	server, known := view.Server(id)
	if !known {
		return false
	}
	state := server.GetState()
	return state == rockwindpb.ServerState_SERVER_STATE_READY || state == rockwindpb.ServerState_SERVER_STATE_SILENT
}

// awaitCrashNotice waits until the directory shows whether a server has ended and reports whether
// it has.
func (r *CrashReporter) awaitCrashNotice(id string) bool {
	limit := time.NewTimer(crashNoticeTimeout)
	defer limit.Stop()
	var history directory.ProbeHistory
	var queriedAt time.Time
	queries := 0
	for {
		changed := r.watcher.Changed()
		var retry <-chan time.Time
		switch r.watcher.Directory().Termination(id, history) {
		case directory.TerminationConfirmed:
			return true
		case directory.TerminationRefuted:
			return false
		case directory.TerminationSuspected:
			pause := identityQueryInterval - time.Since(queriedAt)
			if pause <= 0 && queries < maxIdentityQueries {
				history, queriedAt = history.With(id, r.identify(id)), time.Now()
				queries++
				continue
			}
			if queries < maxIdentityQueries {
				retry = time.After(pause)
			}
		}
		select {
		case <-changed:
		case <-retry:
		case <-limit.C:
			return false
		case <-r.stopped:
			return false
		}
	}
}

// identify queries the incarnation at the address of a server. Concurrent checks share a query.
func (r *CrashReporter) identify(id string) directory.Identity {
	shared, _, _ := r.identityQueries.Do(id, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), identityTimeout)
		defer cancel()
		server, _ := r.watcher.Directory().Server(id)
		service, _ := r.watcher.Configuration().Service(server.GetService())
		identity, err := r.identifier(ctx, server, service.GetHealthPath())
		if err != nil {
			log.WithError(err).WithField("server", id).Debug("server did not identify itself after its connection broke")
		}
		r.reportCold(identity)
		return identity, nil
	})
	identity, _ := shared.(directory.Identity)
	return identity
}

// reportCold applies the cold time of a health answer and reports it to the coordinators in the
// background, unless it was known. Each server has at most one report on its way.
func (r *CrashReporter) reportCold(identity directory.Identity) {
	cold := time.Duration(identity.ColdMs) * time.Millisecond
	if cold <= 0 || !r.observeCold(identity.Found, cold) {
		return
	}
	r.coldReports.DoChan(identity.Found, func() (any, error) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			select {
			case <-r.stopped:
				cancel()
			case <-ctx.Done():
			}
		}()
		return nil, r.watcher.ReportCold(ctx, identity.Found, cold)
	})
}

// QuarantinedFor returns how much longer a fingerprint is quarantined, or zero if it may run.
func (r *CrashReporter) QuarantinedFor(content func() fingerprint.Fingerprint) time.Duration {
	now := time.Now()
	remaining := r.reporter.QuarantinedFor(content, now)
	for _, list := range []*quarantine.List{r.watcher.Quarantine(), r.reporter.Shared()} {
		if !list.Empty() {
			remaining = max(remaining, list.QuarantinedFor(content(), now))
		}
	}
	return remaining
}

// Answered records a complete response to a request. It clears the suspicion against the
// fingerprint, and crashes are not attributed to it for a while.
func (r *CrashReporter) Answered(content fingerprint.Fingerprint) {
	suspected := r.watcher.Quarantine().Suspected(content) || r.reporter.Suspected(content) || r.reporter.Shared().Suspected(content)
	if r.answers.add(content, suspected, time.Now()) {
		r.reporter.ReportAnswer(content)
	}
}

// QuarantinesAny reports whether any content or part may be quarantined.
func (r *CrashReporter) QuarantinesAny() bool {
	return slices.ContainsFunc(r.lists(), func(list *quarantine.List) bool { return !list.Empty() || list.SuspectsParts() })
}

// QuarantinedCount counts the quarantined fingerprints known here.
func (r *CrashReporter) QuarantinedCount() int { return r.watcher.Quarantine().Quarantined(time.Now()) }
