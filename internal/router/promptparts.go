package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// trialClaimTimeout bounds the wait of a held request for its claim of a trial.
const trialClaimTimeout = 150 * time.Millisecond

// HeldParts returns why a prompt with the given parts is held.
func (r *CrashReporter) HeldParts(parts []fingerprint.Fingerprint) quarantine.HeldParts {
	if len(parts) == 0 {
		return quarantine.HeldParts{}
	}
	now := time.Now()
	answeredSince := func(part fingerprint.Fingerprint, since time.Time) bool {
		return r.partAnswers.LastSent(part, now).After(since)
	}
	held := r.watcher.Quarantine().HeldParts(parts, answeredSince, now)
	for _, list := range []*quarantine.List{r.reporter.Unreported(), r.reporter.Shared()} {
		if held.For == 0 {
			// Without a leader nobody grants trials.
			held = list.HeldParts(parts, answeredSince, now)
			held.TrialIn, held.TrialDue = held.For, false
		}
	}
	return held
}

// PartsAnswered records that a server answered a request with the given parts, which was sent to it at
// the given time. It clears the suspicion against them.
func (r *CrashReporter) PartsAnswered(parts []fingerprint.Fingerprint, sentAt time.Time) {
	if len(parts) == 0 {
		return
	}
	r.reporter.ShareParts()
	r.partAnswers.Add(parts, sentAt, time.Now())
	r.reportPartAnswers(parts)
}

// lists returns what the coordinators hold, what this process has not reported, and what the processes share
// while the root group has no leader.
func (r *CrashReporter) lists() []*quarantine.List {
	return []*quarantine.List{r.watcher.Quarantine(), r.reporter.Unreported(), r.reporter.Shared()}
}

// reportPartAnswers reports those of the parts that are suspected and have been answered since.
func (r *CrashReporter) reportPartAnswers(parts []fingerprint.Fingerprint) {
	lists := r.lists()
	if !slices.ContainsFunc(lists, (*quarantine.List).SuspectsParts) {
		return
	}
	suspected := func(part fingerprint.Fingerprint) (since time.Time, found bool) {
		for _, list := range lists {
			if since, found = list.SuspectedPart(part); found {
				break
			}
		}
		return since, found
	}
	if answers := r.partAnswers.TakeReport(parts, suspected, r.partReportInterval(), time.Now()); len(answers) > 0 {
		r.reporter.ReportPartAnswers(answers)
	}
}

// partReportInterval returns the shortest time between two reports about the same part.
func (r *CrashReporter) partReportInterval() time.Duration {
	return quarantine.PartReportInterval(len(r.watcher.Directory().WithRole(rockwindpb.SiteRole_SITE_ROLE_ROUTER)))
}

// reportKnownAnswers reports the remembered answers to parts that become suspected, until the context ends.
func (r *CrashReporter) reportKnownAnswers(ctx context.Context) {
	var known *quarantine.List
	for ctx.Err() == nil {
		changed := r.watcher.Changed()
		if list := r.watcher.Quarantine(); list != known {
			known = list
			if list.SuspectsParts() {
				// The first report clears a part for all routers, so they do not send theirs at the same time.
				if !retry.Pause(ctx, rand.N(r.partReportInterval())) {
					return
				}
				r.reportPartAnswers(r.watcher.Quarantine().SuspectedParts())
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// ClaimTrial asks the coordinators for the permission to send one request although its parts are held.
func (r *CrashReporter) ClaimTrial(ctx context.Context, held quarantine.HeldParts, claim string) bool {
	if !held.TrialDue {
		return false
	}
	select {
	case r.trialClaims <- struct{}{}:
		defer func() { <-r.trialClaims }()
	default:
		// Another request of this process is waiting for its claim.
		return false
	}
	claimCtx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	granted, err := r.reporter.ClaimTrial(claimCtx, held.Parts, claim)
	if err != nil {
		log.WithError(err).Debug("no coordinator decided on the trial of a held prompt part")
	}
	return granted
}
