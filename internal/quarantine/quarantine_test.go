package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// driver applies commands to a registry in virtual time.
type driver struct {
	t        *testing.T
	registry *quarantine.Registry
	now      time.Time
}

func newDriver(t *testing.T) *driver {
	return &driver{t: t, registry: quarantine.New(), now: time.UnixMilli(1_000_000)}
}

func contentOf(name string) fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Content{Target: name})
}

func (d *driver) apply(command *rockwindpb.QuarantineCommand) {
	command.NowUnixMs = d.now.UnixMilli()
	d.registry.Apply(command)
}

func (d *driver) report(report *rockwindpb.ReportQuarantineRequest) {
	d.apply(&rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Report{Report: report}})
}

func crashOf(content, server string, ago time.Duration) *rockwindpb.ServerEnd {
	return &rockwindpb.ServerEnd{Content: contentOf(content).Bytes(), Server: server, BeganMsAgo: uint64(ago.Milliseconds())}
}

func itemCrashOf(content, server string, ago time.Duration) *rockwindpb.ServerEnd {
	crash := crashOf(content, server, ago)
	crash.Item = true
	return crash
}

// crashed reports server crashes.
func (d *driver) crashed(crashes ...*rockwindpb.ServerEnd) {
	d.report(&rockwindpb.ReportQuarantineRequest{Ends: crashes})
}

// hold crashes three servers with a content, one after the other.
func (d *driver) hold(content string) {
	for place := range 3 {
		d.now = d.now.Add(gap)
		d.crashed(crashOf(content, fmt.Sprint("s", place), shortRun))
	}
}

func (d *driver) answered(content string) {
	d.report(&rockwindpb.ReportQuarantineRequest{Answered: [][]byte{contentOf(content).Bytes()}})
}

// heldFor returns for how long a router with an up-to-date list holds a content.
func (d *driver) heldFor(content string) time.Duration {
	view := d.registry.View()
	return quarantine.NewList(view.Revision(), view.Notices(d.now), d.now).QuarantinedFor(contentOf(content), d.now)
}

func (d *driver) checkHeld(content string, want bool) {
	d.t.Helper()
	if held := d.heldFor(content); (held > 0) != want {
		d.t.Errorf("%s is held for %v", content, held)
	}
}

const (
	shortRun = 50 * time.Millisecond
	gap      = 200 * time.Millisecond
)

func TestThirdCrashHoldsContent(t *testing.T) {
	d := newDriver(t)
	for place, held := range []bool{false, false, true} {
		d.now = d.now.Add(gap)
		d.crashed(crashOf("a", fmt.Sprint("s", place), shortRun))
		d.checkHeld("a", held)
	}
	d.checkHeld("b", false)
}

func TestRepeatedReportsOfACrashCountOnce(t *testing.T) {
	d := newDriver(t)
	for range 10 {
		d.now = d.now.Add(gap)
		d.crashed(crashOf("a", "s", shortRun), crashOf("a", "s", shortRun))
	}
	d.checkHeld("a", false)
	if suspect, _ := d.registry.View().Suspect(contentOf("a")); len(suspect.GetServers()) != 1 {
		t.Fatalf("%d crashes", len(suspect.GetServers()))
	}
}

// TestSimultaneousCrashesDoNotHoldPopularContent: a content that is requested all the time runs
// on each of the servers that fail at the same time.
func TestSimultaneousCrashesDoNotHoldPopularContent(t *testing.T) {
	d := newDriver(t)
	for place := range 5 {
		d.now = d.now.Add(10 * time.Millisecond)
		d.crashed(crashOf("popular", fmt.Sprint("s", place), shortRun+time.Duration(place)*10*time.Millisecond))
	}
	d.checkHeld("popular", false)
	d.now = d.now.Add(gap)
	d.answered("popular")
	for wave := range 3 {
		d.now = d.now.Add(gap)
		d.crashed(crashOf("popular", fmt.Sprint("later", wave), shortRun))
		d.checkHeld("popular", false)
		d.answered("popular")
	}
}

func TestResponseClearsContent(t *testing.T) {
	d := newDriver(t)
	d.hold("a")
	d.checkHeld("a", true)
	revision := d.registry.View().Revision()
	d.answered("a")
	d.checkHeld("a", false)
	if d.registry.View().Revision() == revision {
		t.Error("the revision did not change")
	}
}

func TestHeldContentIsRetriedAndHeldAgain(t *testing.T) {
	d := newDriver(t)
	d.hold("a")
	d.now = d.now.Add(d.heldFor("a"))
	d.checkHeld("a", false)
	d.now = d.now.Add(gap)
	d.crashed(crashOf("a", "trial", shortRun))
	d.checkHeld("a", true)
}

func TestReleasedContentMayRun(t *testing.T) {
	d := newDriver(t)
	d.hold("a")
	d.apply(&rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Release{
		Release: &rockwindpb.ReleaseContentRequest{Content: contentOf("a").Bytes()},
	}})
	d.checkHeld("a", false)
}

// TestItemBesideHeldRequestIsNotHeld: the store reruns an item immediately, so that it runs
// alongside the crashing request each time.
func TestItemBesideHeldRequestIsNotHeld(t *testing.T) {
	d := newDriver(t)
	for place := range 4 {
		d.now = d.now.Add(gap)
		server := fmt.Sprint("s", place)
		d.crashed(itemCrashOf("beside", server, shortRun), crashOf("crashing", server, shortRun))
	}
	d.checkHeld("crashing", true)
	d.checkHeld("beside", false)
}

// TestCrashingItemIsRetriedLessOften: at most five servers may crash in ten minutes.
func TestCrashingItemIsRetriedLessOften(t *testing.T) {
	d := newDriver(t)
	began, crashes := d.now, 0
	for d.now.Sub(began) < 10*time.Minute {
		d.now = d.now.Add(gap)
		if d.heldFor("item") > 0 {
			continue
		}
		crashes++
		d.crashed(itemCrashOf("item", fmt.Sprint("s", crashes), shortRun))
	}
	if crashes != 5 {
		t.Fatalf("%d servers crashed", crashes)
	}
}

func TestSuspectsAreBoundedAndExpire(t *testing.T) {
	d := newDriver(t)
	d.hold("held")
	for i := range 5000 {
		d.crashed(crashOf(fmt.Sprint("other", i), "s", shortRun))
	}
	if listed := len(d.registry.View().List(d.now)); listed > 1024 {
		t.Fatalf("%d contents are stored", listed)
	}
	d.checkHeld("held", true)
	d.now = d.now.Add(2 * time.Hour)
	d.answered("nothing")
	if listed := len(d.registry.View().List(d.now)); listed != 0 {
		t.Fatalf("%d contents are stored after two hours", listed)
	}
}

func TestSnapshotRestoresState(t *testing.T) {
	d := newDriver(t)
	for place := range 3 {
		d.now = d.now.Add(gap)
		d.crashed(crashOf("a", fmt.Sprint("s", place), shortRun), crashOf("b", "s0", shortRun))
	}
	saved := d.registry.Save()
	loaded := quarantine.New()
	loaded.Load(proto.CloneOf(saved))
	if !proto.Equal(saved, loaded.Save()) {
		t.Fatal("the loaded state differs")
	}
	d.registry = loaded
	d.checkHeld("a", true)
	// Later crashes must add to the restored ones.
	d.now = d.now.Add(gap)
	d.crashed(crashOf("b", "s1", shortRun))
	d.now = d.now.Add(gap)
	d.crashed(crashOf("b", "s2", shortRun))
	d.checkHeld("b", true)
}

func TestInvalidContentsAreIgnored(t *testing.T) {
	d := newDriver(t)
	d.crashed(&rockwindpb.ServerEnd{Content: []byte("short"), Server: "s"})
	d.report(&rockwindpb.ReportQuarantineRequest{Answered: [][]byte{nil, []byte("short")}})
	d.apply(&rockwindpb.QuarantineCommand{})
	if len(d.registry.View().List(d.now)) != 0 {
		t.Fatal("an invalid content was stored")
	}
	if quarantine.NewList(1, []*rockwindpb.SuspectNotice{{Content: []byte("short"), HeldMs: 5}}, d.now).Quarantined(d.now) != 0 {
		t.Fatal("a list accepted an invalid content")
	}
	var none *quarantine.List
	if !none.Empty() || none.Suspected(contentOf("a")) || none.QuarantinedFor(contentOf("a"), d.now) != 0 || none.Quarantined(d.now) != 0 || none.Revision() != 0 {
		t.Fatal("a nil list is not empty")
	}
}
