package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// prompt returns the parts of a prompt that other requests may share.
func prompt(ids ...string) []fingerprint.Fingerprint {
	return fingerprint.OfParts("models", append(ids, "own"))
}

// promptCrash is the crash of a server that ran a request with the given parts, sent some time ago.
func promptCrash(server string, ago time.Duration, ids ...string) *rockwindpb.ServerEnd {
	return &rockwindpb.ServerEnd{Server: server, Parts: fingerprint.BytesOf(prompt(ids...)), BeganMsAgo: uint64(ago.Milliseconds()), Route: "hints"}
}

// promptAnswered reports the answer to a request with the given parts, sent some time ago.
func (d *driver) promptAnswered(ago time.Duration, ids ...string) {
	report := &rockwindpb.ReportQuarantineRequest{}
	for _, part := range prompt(ids...) {
		report.AnsweredParts = append(report.AnsweredParts, &rockwindpb.PartAnswer{Part: part.Bytes(), SentMsAgo: uint64(ago.Milliseconds())})
	}
	d.report(report)
}

// heldPrompt returns why a router with an up-to-date list holds a prompt.
func (d *driver) heldPrompt(ids ...string) quarantine.HeldParts {
	view := d.registry.View()
	return quarantine.NewList(view.Revision(), view.Notices(d.now), d.now).HeldParts(prompt(ids...), nil, d.now)
}

// crashPrompts crashes servers one after the other under requests with the given parts and a subject of its own.
func (d *driver) crashPrompts(count int, name string, ids ...string) {
	for crash := range count {
		d.now = d.now.Add(gap)
		d.crashed(promptCrash(fmt.Sprint(name, crash), shortRun, append(ids, fmt.Sprint(name, "-subject-", crash))...))
	}
}

func (d *driver) checkPrompt(wantHeld bool, ids ...string) {
	d.t.Helper()
	if held := d.heldPrompt(ids...); (held.For > 0) != wantHeld {
		d.t.Errorf("%v is held for %v, want held: %v", ids, held.For, wantHeld)
	}
}

// Guards against the refusal of prompts that share all but the crashing part, before anything is answered.
func TestPromptIsHeldInTheCompanyInWhichItCrashed(t *testing.T) {
	d := newDriver(t)
	d.crashPrompts(3, "a", "shared", "crashing")
	d.checkPrompt(true, "shared", "crashing", "new")
	d.checkPrompt(false, "shared", "other", "new")
	// One more crash, without the shared part, shows which of the two is to blame.
	d.checkPrompt(false, "crashing", "new")
	d.now = d.now.Add(gap)
	d.crashed(promptCrash("alone", shortRun, "crashing"))
	d.checkPrompt(true, "crashing", "new")
	d.checkPrompt(false, "shared", "other", "new")
}

// Guards against a sound part that is held because only one of the processes that had requests on a crashed server has
// reported the crash.
func TestPartIsNotHeldByTheFirstReportOfACrash(t *testing.T) {
	d := newDriver(t)
	for _, server := range []string{"a", "b"} {
		d.now = d.now.Add(gap)
		d.crashed(promptCrash(server, shortRun, "shared", "sound", "crashing"))
	}
	d.now = d.now.Add(gap)
	d.promptAnswered(0, "shared", "other")
	d.now = d.now.Add(gap)
	d.crashed(promptCrash("c", shortRun, "shared", "sound"))
	d.checkPrompt(false, "shared", "sound", "new")
	d.crashed(promptCrash("c", shortRun, "shared", "other", "crashing"))
	d.checkPrompt(false, "shared", "sound", "new")
	// The next answer tells the two parts apart.
	d.promptAnswered(0, "shared", "sound")
	d.checkPrompt(false, "shared", "sound", "new")
	d.checkPrompt(true, "shared", "crashing", "new")
}

// Guards against a crashing part that is not held since it had company at all crashes but the last.
func TestPartIsHeldOnceAllHaveReportedItsCrashes(t *testing.T) {
	const allReported = time.Second
	d := newDriver(t)
	for _, server := range []string{"a", "b"} {
		d.now = d.now.Add(gap)
		d.crashed(promptCrash(server, shortRun, "beside", "crashing"))
	}
	d.now = d.now.Add(gap)
	d.crashed(promptCrash("c", shortRun, "crashing"))
	d.now = d.now.Add(allReported)
	if !d.registry.View().HoldDue(d.now) {
		t.Error("nothing tells the leader to decide again")
	}
	d.report(&rockwindpb.ReportQuarantineRequest{})
	d.checkPrompt(true, "crashing", "new")
	d.checkPrompt(false, "beside", "new")
}

// Guards against a part that is held for what was answered since, and against answers that clear the crashes of later requests.
func TestAnswerClearsEarlierCrashesOnly(t *testing.T) {
	d := newDriver(t)
	d.crashPrompts(2, "a", "popular")
	d.promptAnswered(0, "popular")
	d.crashPrompts(2, "b", "popular")
	d.checkPrompt(false, "popular", "new")
	d.promptAnswered(time.Minute, "popular")
	d.crashPrompts(1, "c", "popular")
	d.now = d.now.Add(maxGrace)
	d.report(&rockwindpb.ReportQuarantineRequest{})
	d.checkPrompt(true, "popular", "new")
}

// maxGrace is longer than the next answer of a part is waited for.
const maxGrace = 4 * time.Second

// Guards against a wrong hold that lasts: one request of all processes is let through some seconds later, and its answer
// ends the hold; if the server crashes, the next one is let through later.
func TestTrialEndsWrongHold(t *testing.T) {
	const maxWrongHold = 5 * time.Second
	d := newDriver(t)
	d.crashPrompts(3, "a", "sound")
	d.checkPrompt(true, "sound", "new")
	began := d.now
	claims := 0
	for d.heldPrompt("sound", "new").For > 0 && d.now.Sub(began) < time.Minute {
		d.now = d.now.Add(100 * time.Millisecond)
		held := d.heldPrompt("sound", "new")
		if !held.TrialDue {
			continue
		}
		granted := 0
		for claim := range 20 {
			name := fmt.Sprint("claim-", claim)
			parts := fingerprint.BytesOf(held.Parts)
			d.apply(&rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Trial{Trial: &rockwindpb.ClaimTrialRequest{Parts: parts, Claim: name}}})
			if d.registry.View().Claimed(parts, name) {
				granted++
			}
		}
		if claims++; granted != 1 {
			t.Fatalf("%d trials are granted at once", granted)
		}
		d.now = d.now.Add(500 * time.Millisecond)
		d.promptAnswered(500*time.Millisecond, "sound")
	}
	if lasted := d.now.Sub(began); lasted > maxWrongHold || claims != 1 {
		t.Errorf("a wrong hold ends after %v and %d trials", lasted, claims)
	}
}

// Guards against servers that crash under trials one after the other.
func TestTrialsOfACrashingPartAreFew(t *testing.T) {
	d := newDriver(t)
	d.crashPrompts(5, "a", "crashing")
	began, trials := d.now, 0
	for d.now.Sub(began) < 2*time.Minute {
		d.now = d.now.Add(100 * time.Millisecond)
		held := d.heldPrompt("crashing", "new")
		if held.For == 0 {
			t.Fatalf("the part is not held %v after the last crash", d.now.Sub(began))
		}
		if held.TrialDue {
			trials++
			d.apply(&rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Trial{
				Trial: &rockwindpb.ClaimTrialRequest{Parts: fingerprint.BytesOf(held.Parts), Claim: fmt.Sprint(trials)},
			}})
			d.crashed(promptCrash(fmt.Sprint("trial-", trials), shortRun, "crashing"))
		}
	}
	if trials > maxLateRequests {
		t.Errorf("%d trials in two minutes", trials)
	}
}

// Guards against replicas that differ after one of them was restored from a snapshot, and against a hold that a restart ends.
func TestSnapshotKeepsParts(t *testing.T) {
	d := newDriver(t)
	d.crashPrompts(3, "a", "shared", "crashing")
	d.promptAnswered(0, "shared", "other")
	d.crashPrompts(2, "b", "shared", "second")
	saved := d.registry.Save()
	restored := quarantine.New()
	restored.Load(proto.CloneOf(saved))
	if !proto.Equal(saved, restored.Save()) || restored.View().Revision() != d.registry.View().Revision() {
		t.Fatal("the restored state differs")
	}
	for position, notice := range restored.View().Notices(d.now) {
		if other := d.registry.View().Notices(d.now)[position]; !proto.Equal(notice, other) {
			t.Errorf("the notices differ: %v, %v", notice, other)
		}
	}
	d.registry = restored
	d.checkPrompt(true, "shared", "crashing", "new")
}

// Guards against a released part that stays held, and against state without bound.
func TestPartsAreReleasedAndBounded(t *testing.T) {
	d := newDriver(t)
	d.crashPrompts(3, "a", "crashing")
	part := prompt("crashing")[0]
	d.apply(&rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Release{Release: &rockwindpb.ReleaseContentRequest{Content: part.Bytes()}}})
	d.checkPrompt(false, "crashing", "new")
	const maxStateBytes, maxNoticeBytes, maxApplyTime = 4 << 20, 256 << 10, 50 * time.Millisecond
	site := crashingSite(d)
	began := time.Now()
	const reports = 50
	for range reports {
		site()
	}
	perReport := time.Since(began) / reports
	state, notices := 0, 0
	state = proto.Size(d.registry.Save())
	for _, notice := range d.registry.View().Notices(d.now) {
		notices += proto.Size(notice)
	}
	t.Logf("%d bytes of state, %d bytes of notices, %v a report of a server with 12 requests", state, notices, perReport)
	if state > maxStateBytes || notices > maxNoticeBytes || perReport > maxApplyTime {
		t.Error("more than allowed")
	}
}

// crashingSite fills a registry with the crashes of a site of 300 machines and returns a function that reports one more. Each
// server runs 12 requests, and each request has parts of thousands.
func crashingSite(d *driver) func() {
	random := rand.New(rand.NewPCG(300, 56))
	server := 0
	report := func() {
		server++
		d.now = d.now.Add(50 * time.Millisecond)
		var crashes []*rockwindpb.ServerEnd
		for range 12 {
			subject := fmt.Sprint("subject-", int(4000*random.Float64()*random.Float64()))
			crashes = append(crashes, promptCrash(fmt.Sprint("server-", server), shortRun, "shared", fmt.Sprint("document-", random.IntN(20)), subject))
		}
		crashes = append(crashes, promptCrash(fmt.Sprint("server-", server), shortRun, "shared", fmt.Sprint("crashing-", server%4)))
		d.crashed(crashes...)
	}
	for range 1000 {
		report()
	}
	return report
}

func BenchmarkHeldParts(b *testing.B) {
	d := newDriver(nil)
	crashingSite(d)
	view := d.registry.View()
	list := quarantine.NewList(view.Revision(), view.Notices(d.now), d.now)
	parts := prompt("shared", "document-1", "subject-1")
	for b.Loop() {
		list.HeldParts(parts, nil, d.now)
	}
}
