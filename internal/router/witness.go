package router

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/singleflight"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// mostChecks bounds the connections that are looked into at a time. More fail together
	// only where a machine loses all of them; what is passed over then counts for nothing.
	mostChecks = 256
	// noticedWithin is how long after a connection broke off the directory may show that its
	// server has ended: longer than a server needs to start again, or to miss its heartbeats
	// (four of 1.2 s) and not to answer two questions.
	noticedWithin = 11 * time.Second
	// identityTimeout bounds a question to the address of a server that is silent: nobody waits
	// for the answer, and one that lives answers in milliseconds, or later beside much load.
	identityTimeout = time.Second
	// identityPause is the time between such questions.
	identityPause = 500 * time.Millisecond
	// mostQuestions bounds these questions, which take a place at a server: two decide where
	// the others report, and one of two more is answered by one that was busy.
	mostQuestions = 4
)

// CrashReporter finds out which requests were running at a server that ended, and tells the
// coordinators. A connection that broke off shows no more than that: servers reset connections
// and lose answers. The server has ended where nobody listens at its address any more, though
// it did not say that it leaves; or, where a proxy or a supervisor takes connections in its
// place, where the directory shows soon that another incarnation has its address, or that it is
// silent and its address does not answer for it: see directory.View.Ending. One that is out of
// reach refuses nothing, and its connections do not break off.
//
// Its methods may be called by any goroutine and never block.
type CrashReporter struct {
	watcher  *site.Watcher
	client   *upstream.Client
	reporter *site.Reporter
	// identifier asks which incarnation is at an address.
	identifier site.Identifier
	checks     singleflight.Group
	questions  singleflight.Group
	room       chan struct{}
	stopped    chan struct{}
	answers    *recentAnswers
}

// NewCrashReporter returns a witness that looks at servers through the given client, and asks them by
// the given protocol who they are.
func NewCrashReporter(watcher *site.Watcher, client *upstream.Client, protocol Protocol) *CrashReporter {
	return &CrashReporter{
		watcher: watcher, client: client, reporter: site.NewReporter(watcher), identifier: site.AskOverHTTP(protocol.IdentityHeaders()),
		room: make(chan struct{}, mostChecks), stopped: make(chan struct{}), answers: newRecentAnswers(time.Now()),
	}
}

// Run tells what was found out until the context ends. It is called once.
func (w *CrashReporter) Run(ctx context.Context) {
	defer close(w.stopped)
	w.reporter.Run(ctx)
}

// Attempt is a request at a server.
type Attempt struct {
	Content fingerprint.Fingerprint
	Server  string
	Address string
	// SentAt is when it was sent there.
	SentAt time.Time
	// Route and Tenant are those of the request.
	Route  string
	Tenant string
	// BatchItem tells that the request is an item of a batch job.
	BatchItem bool
}

// ConnectionLost tells that the connection of an attempt broke off with the given error before the
// answer was whole. A server that fell silent has not ended by this.
func (w *CrashReporter) ConnectionLost(attempt Attempt, cause error) {
	if timedOut(cause) {
		return
	}
	select {
	case w.room <- struct{}{}:
	default:
		log.WithField("server", attempt.Server).Debug("too many connections broke off at once to look at each server")
		return
	}
	go func() {
		defer func() { <-w.room }()
		// It may take seconds until the end shows: an answer before or since speaks for the content.
		if w.ended(attempt) && !w.answers.has(attempt.Content, time.Now()) {
			w.reporter.Ended(&rockwindpb.ServerEnd{
				Content: attempt.Content.Bytes(), Server: attempt.Server, Route: attempt.Route, Tenant: attempt.Tenant, Item: attempt.BatchItem,
			}, attempt.SentAt)
		}
	}()
}

// timedOut tells whether an error of a connection is a time that ran out here.
func timedOut(cause error) bool {
	var failure *upstream.AttemptError
	if errors.As(cause, &failure) && failure.Timeout {
		return true
	}
	return errors.Is(cause, os.ErrDeadlineExceeded)
}

// ended tells whether the server of an attempt has ended without leaving. Attempts that broke
// off together share one look at the server, which never fails.
func (w *CrashReporter) ended(attempt Attempt) bool {
	if !w.serves(attempt.Server) {
		return false
	}
	looked, _, _ := w.checks.Do(attempt.Server, func() (any, error) {
		return w.client.Reach(context.Background(), attempt.Address, connectLimit) == upstream.ReachRefused, nil
	})
	refused, _ := looked.(bool)
	return refused || w.noticed(attempt.Server)
}

// serves tells whether a server belongs to the site and has not said that it leaves.
func (w *CrashReporter) serves(id string) bool {
	server, known := w.watcher.Directory().Server(id)
	if !known {
		return false
	}
	state := server.GetState()
	return state == rockwindpb.ServerState_SERVER_STATE_READY || state == rockwindpb.ServerState_SERVER_STATE_SILENT
}

// noticed waits for it to show whether a server has ended, and tells whether it did.
func (w *CrashReporter) noticed(id string) bool {
	limit := time.NewTimer(noticedWithin)
	defer limit.Stop()
	var asked directory.ProbeHistory
	var askedAt time.Time
	questions := 0
	for {
		changed := w.watcher.Changed()
		var again <-chan time.Time
		switch w.watcher.Directory().Termination(id, asked) {
		case directory.TerminationConfirmed:
			return true
		case directory.TerminationRefuted:
			return false
		case directory.TerminationSuspected:
			pause := identityPause - time.Since(askedAt)
			if pause <= 0 && questions < mostQuestions {
				asked, askedAt = asked.With(id, w.identify(id)), time.Now()
				questions++
				continue
			}
			if questions < mostQuestions {
				again = time.After(pause)
			}
		}
		select {
		case <-changed:
		case <-again:
		case <-limit.C:
			return false
		case <-w.stopped:
			return false
		}
	}
}

// identify asks the address of a server who is there. Attempts that broke off together share
// one question.
func (w *CrashReporter) identify(id string) directory.Identity {
	shared, _, _ := w.questions.Do(id, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), identityTimeout)
		defer cancel()
		server, _ := w.watcher.Directory().Server(id)
		service, _ := w.watcher.Configuration().Service(server.GetService())
		identity, err := w.identifier(ctx, server, service.GetHealthPath())
		if err != nil {
			log.WithError(err).WithField("server", id).Debug("a server whose connection broke off does not tell who it is")
		}
		return identity, nil
	})
	identity, _ := shared.(directory.Identity)
	return identity
}

// QuarantinedFor is for how much longer a content is held, zero where it may run.
func (w *CrashReporter) QuarantinedFor(content func() fingerprint.Fingerprint) time.Duration {
	now := time.Now()
	untold := w.reporter.HeldFor(content, now)
	list := w.watcher.Quarantine()
	if list.Empty() {
		return untold
	}
	return max(untold, list.HeldFor(content(), now))
}

// Answered tells that a server gave a whole answer to a request. It speaks for the content:
// ends of servers under it are not told for a while, and what is held against it is forgotten.
func (w *CrashReporter) Answered(content fingerprint.Fingerprint) {
	suspected := w.watcher.Quarantine().Suspected(content) || w.reporter.Suspected(content)
	if w.answers.add(content, suspected, time.Now()) {
		w.reporter.Answered(content)
	}
}

// QuarantinedCount counts the contents that are held here.
func (w *CrashReporter) QuarantinedCount() int { return w.watcher.Quarantine().Held(time.Now()) }
