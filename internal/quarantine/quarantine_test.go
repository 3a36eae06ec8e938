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

// driver applies commands to a register at times of its own.
type driver struct {
	t        *testing.T
	register *quarantine.Registry
	now      time.Time
}

func newDriver(t *testing.T) *driver {
	return &driver{t: t, register: quarantine.New(), now: time.UnixMilli(1_000_000)}
}

func contentOf(name string) fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Content{Target: name})
}

func (d *driver) apply(command *rockwindpb.QuarantineCommand) {
	command.NowUnixMs = d.now.UnixMilli()
	d.register.Apply(command)
}

func (d *driver) report(report *rockwindpb.ReportQuarantineRequest) {
	d.apply(&rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Report{Report: report}})
}

func endOf(content, server string, ago time.Duration) *rockwindpb.ServerEnd {
	return &rockwindpb.ServerEnd{Content: contentOf(content).Bytes(), Server: server, BeganMsAgo: uint64(ago.Milliseconds())}
}

func itemEnd(content, server string, ago time.Duration) *rockwindpb.ServerEnd {
	end := endOf(content, server, ago)
	end.Item = true
	return end
}

// ended tells of servers that ended.
func (d *driver) ended(ends ...*rockwindpb.ServerEnd) {
	d.report(&rockwindpb.ReportQuarantineRequest{Ends: ends})
}

// hold ends three servers under a content, one after the other.
func (d *driver) hold(content string) {
	for place := range 3 {
		d.now = d.now.Add(gap)
		d.ended(endOf(content, fmt.Sprint("s", place), shortRun))
	}
}

func (d *driver) answered(content string) {
	d.report(&rockwindpb.ReportQuarantineRequest{Answered: [][]byte{contentOf(content).Bytes()}})
}

// heldFor is what a router that was told just now holds.
func (d *driver) heldFor(content string) time.Duration {
	view := d.register.View()
	return quarantine.NewList(view.Revision(), view.Notices(d.now), d.now).HeldFor(contentOf(content), d.now)
}

func (d *driver) wantHeld(content string, want bool) {
	d.t.Helper()
	if held := d.heldFor(content); (held > 0) != want {
		d.t.Errorf("%s is held for %v", content, held)
	}
}

const (
	shortRun = 50 * time.Millisecond
	gap      = 200 * time.Millisecond
)

func TestThirdEndHoldsAContent(t *testing.T) {
	d := newDriver(t)
	for place, held := range []bool{false, false, true} {
		d.now = d.now.Add(gap)
		d.ended(endOf("a", fmt.Sprint("s", place), shortRun))
		d.wantHeld("a", held)
	}
	d.wantHeld("b", false)
}

func TestAnEndCountsOnceWhoeverTellsIt(t *testing.T) {
	d := newDriver(t)
	for range 10 {
		d.now = d.now.Add(gap)
		d.ended(endOf("a", "s", shortRun), endOf("a", "s", shortRun))
	}
	d.wantHeld("a", false)
	if suspect, _ := d.register.View().Suspect(contentOf("a")); len(suspect.GetServers()) != 1 {
		t.Fatalf("%d ends", len(suspect.GetServers()))
	}
}

// TestServersThatEndTogetherDoNotHoldWhatManyAsk: a request that is asked all the time is at
// each of the servers that fail at once.
func TestServersThatEndTogetherDoNotHoldWhatManyAsk(t *testing.T) {
	d := newDriver(t)
	for place := range 5 {
		d.now = d.now.Add(10 * time.Millisecond)
		d.ended(endOf("popular", fmt.Sprint("s", place), shortRun+time.Duration(place)*10*time.Millisecond))
	}
	d.wantHeld("popular", false)
	d.now = d.now.Add(gap)
	d.answered("popular")
	for wave := range 3 {
		d.now = d.now.Add(gap)
		d.ended(endOf("popular", fmt.Sprint("later", wave), shortRun))
		d.wantHeld("popular", false)
		d.answered("popular")
	}
}

func TestAnswerClearsAContent(t *testing.T) {
	d := newDriver(t)
	d.hold("a")
	d.wantHeld("a", true)
	revision := d.register.View().Revision()
	d.answered("a")
	d.wantHeld("a", false)
	if d.register.View().Revision() == revision {
		t.Error("routers are not told")
	}
}

func TestHeldContentIsTriedAgainAndHeldAgain(t *testing.T) {
	d := newDriver(t)
	d.hold("a")
	d.now = d.now.Add(d.heldFor("a"))
	d.wantHeld("a", false)
	d.now = d.now.Add(gap)
	d.ended(endOf("a", "trial", shortRun))
	d.wantHeld("a", true)
}

func TestReleasedContentMayRun(t *testing.T) {
	d := newDriver(t)
	d.hold("a")
	d.apply(&rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Release{
		Release: &rockwindpb.ReleaseContentRequest{Content: contentOf("a").Bytes()},
	}})
	d.wantHeld("a", false)
}

// TestItemBesideAHeldRequestIsNotHeld: the store runs an item again at once, so that it is
// beside the request that ends the servers each time.
func TestItemBesideAHeldRequestIsNotHeld(t *testing.T) {
	d := newDriver(t)
	for place := range 4 {
		d.now = d.now.Add(gap)
		server := fmt.Sprint("s", place)
		d.ended(itemEnd("beside", server, shortRun), endOf("ends servers", server, shortRun))
	}
	d.wantHeld("ends servers", true)
	d.wantHeld("beside", false)
}

// TestItemThatEndsServersIsTriedLessAndLess: at most five servers end in ten minutes.
func TestItemThatEndsServersIsTriedLessAndLess(t *testing.T) {
	d := newDriver(t)
	began, ends := d.now, 0
	for d.now.Sub(began) < 10*time.Minute {
		d.now = d.now.Add(gap)
		if d.heldFor("item") > 0 {
			continue
		}
		ends++
		d.ended(itemEnd("item", fmt.Sprint("s", ends), shortRun))
	}
	if ends != 5 {
		t.Fatalf("%d servers ended", ends)
	}
}

func TestMemoryIsBoundedAndForgets(t *testing.T) {
	d := newDriver(t)
	d.hold("held")
	for i := range 5000 {
		d.ended(endOf(fmt.Sprint("other", i), "s", shortRun))
	}
	if listed := len(d.register.View().List(d.now)); listed > 1024 {
		t.Fatalf("%d contents are remembered", listed)
	}
	d.wantHeld("held", true)
	d.now = d.now.Add(2 * time.Hour)
	d.answered("nothing")
	if listed := len(d.register.View().List(d.now)); listed != 0 {
		t.Fatalf("%d contents are remembered after two hours", listed)
	}
}

func TestSnapshotHoldsEverything(t *testing.T) {
	d := newDriver(t)
	for place := range 3 {
		d.now = d.now.Add(gap)
		d.ended(endOf("a", fmt.Sprint("s", place), shortRun), endOf("b", "s0", shortRun))
	}
	saved := d.register.Save()
	loaded := quarantine.New()
	loaded.Load(proto.CloneOf(saved))
	if !proto.Equal(saved, loaded.Save()) {
		t.Fatal("the state changed")
	}
	d.register = loaded
	d.wantHeld("a", true)
	// The next end counts on.
	d.now = d.now.Add(gap)
	d.ended(endOf("b", "s1", shortRun))
	d.now = d.now.Add(gap)
	d.ended(endOf("b", "s2", shortRun))
	d.wantHeld("b", true)
}

func TestNonsenseIsPassedOver(t *testing.T) {
	d := newDriver(t)
	d.ended(&rockwindpb.ServerEnd{Content: []byte("short"), Server: "s"})
	d.report(&rockwindpb.ReportQuarantineRequest{Answered: [][]byte{nil, []byte("short")}})
	d.apply(&rockwindpb.QuarantineCommand{})
	if len(d.register.View().List(d.now)) != 0 {
		t.Fatal("something was remembered")
	}
	if quarantine.NewList(1, []*rockwindpb.SuspectNotice{{Content: []byte("short"), HeldMs: 5}}, d.now).Held(d.now) != 0 {
		t.Fatal("a list took nonsense")
	}
	var none *quarantine.List
	if !none.Empty() || none.Suspected(contentOf("a")) || none.HeldFor(contentOf("a"), d.now) != 0 || none.Held(d.now) != 0 || none.Revision() != 0 {
		t.Fatal("a list before the first is not empty")
	}
}
