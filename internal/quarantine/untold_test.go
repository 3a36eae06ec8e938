package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// TestUntoldEndsHoldAContentUntilTheyAreTold: a process that reaches no coordinator judges by what
// it saw itself, as the coordinators do by what all saw.
func TestUntoldEndsHoldAContentUntilTheyAreTold(t *testing.T) {
	const between, run = 100 * time.Millisecond, 5 * time.Millisecond
	content := contentOf("ends servers")
	now := time.UnixMilli(1_000_000)
	untold := quarantine.NewUntold()
	for _, server := range []string{"a", "b", "c"} {
		if held := untold.HeldFor(content, now); held > 0 {
			t.Fatalf("held for %v before server %s ended", held, server)
		}
		now = now.Add(between)
		untold.Ended(endOf("ends servers", server, 0), run, now)
	}
	if untold.Empty() || !untold.Suspected(content) || untold.HeldFor(content, now) == 0 {
		t.Fatal("three servers ended, and the content is not held")
	}
	if untold.HeldFor(contentOf("another"), now) > 0 {
		t.Error("another content is held")
	}
	untold.Done(2, now)
	if untold.HeldFor(content, now) > 0 {
		t.Error("the coordinators know of two ends, and the third alone holds the content")
	}
	untold.Done(1, now)
	if !untold.Empty() || untold.HeldFor(content, now) > 0 {
		t.Error("all is told, and the content is still held by what this process saw")
	}
}

// TestUntoldAnswerSpeaksForAContent, and servers that end together do not hold what all had.
func TestUntoldAnswerSpeaksForAContent(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	untold := quarantine.NewUntold()
	for _, server := range []string{"a", "b", "c"} {
		untold.Ended(endOf("asked all the time", server, 0), time.Second, now)
		untold.Ended(endOf("answered", server, 0), 0, now)
		now = now.Add(time.Millisecond)
	}
	untold.Answered(contentOf("answered"), now)
	for _, content := range []string{"asked all the time", "answered"} {
		if held := untold.HeldFor(contentOf(content), now); held > 0 {
			t.Errorf("what was %s is held for %v", content, held)
		}
	}
}

// neighbours are processes that tell each other what no coordinator has taken.
type neighbours struct {
	now   time.Time
	first *quarantine.Untold
	other *quarantine.Untold
}

func newNeighbours() *neighbours {
	return &neighbours{now: time.UnixMilli(1_000_000), first: quarantine.NewUntold(), other: quarantine.NewUntold()}
}

// pass lets time pass, and the two tell each other in between.
func (n *neighbours) pass(length time.Duration) {
	const turn = 50 * time.Millisecond
	for end := n.now.Add(length); n.now.Before(end); n.now = n.now.Add(turn) {
		n.other.Hear(n.first.Tell(n.now), n.now)
		n.first.Hear(n.other.Tell(n.now), n.now)
	}
}

func (n *neighbours) wantHeld(t *testing.T, content string, want bool) {
	t.Helper()
	if held := n.other.HeldFor(contentOf(content), n.now); (held > 0) != want {
		t.Errorf("%s is held for %v", content, held)
	}
}

// TestEndsThatOthersSawHoldAContent: one process saw two ends, another one the third.
func TestEndsThatOthersSawHoldAContent(t *testing.T) {
	n := newNeighbours()
	for _, server := range []string{"a", "b"} {
		n.first.Ended(endOf("a", server, 0), shortRun, n.now)
		n.pass(gap)
	}
	n.wantHeld(t, "a", false)
	n.other.Ended(endOf("a", "c", 0), shortRun, n.now)
	n.wantHeld(t, "a", true)
	n.wantHeld(t, "b", false)
	// Both have told a coordinator: its list decides.
	n.first.Done(2, n.now)
	n.other.Done(1, n.now)
	n.pass(4 * time.Second)
	n.wantHeld(t, "a", false)
	if told := n.other.Tell(n.now); !n.other.Empty() || len(told) > 0 {
		t.Errorf("%d observations are told on", len(told))
	}
}

// TestAnEndThatTwoSawCountsOnce, however often it is told.
func TestAnEndThatTwoSawCountsOnce(t *testing.T) {
	n := newNeighbours()
	for _, seen := range []*quarantine.Untold{n.first, n.other} {
		for _, server := range []string{"a", "b"} {
			seen.Ended(endOf("a", server, 0), shortRun, n.now)
			n.pass(gap)
		}
	}
	n.pass(time.Second)
	n.wantHeld(t, "a", false)
}

// TestAnswerThatAnotherSawClearsAContent: it was told after the ends.
func TestAnswerThatAnotherSawClearsAContent(t *testing.T) {
	n := newNeighbours()
	for _, server := range []string{"a", "b", "c"} {
		n.other.Ended(endOf("a", server, 0), shortRun, n.now)
		n.pass(gap)
	}
	n.wantHeld(t, "a", true)
	n.first.Answered(contentOf("a"), n.now)
	n.pass(gap)
	n.wantHeld(t, "a", false)
}

// TestServersThatEndTogetherDoNotHoldWhatOthersSaw: all began before the first end was known.
func TestServersThatEndTogetherDoNotHoldWhatOthersSaw(t *testing.T) {
	n := newNeighbours()
	for _, server := range []string{"a", "b", "c", "d"} {
		n.first.Ended(endOf("popular", server, 0), shortRun, n.now)
		n.now = n.now.Add(10 * time.Millisecond)
	}
	n.pass(time.Second)
	n.wantHeld(t, "popular", false)
}

// TestEndsOfALostProcessLapse: it told of three, and tells nothing any more.
func TestEndsOfALostProcessLapse(t *testing.T) {
	n := newNeighbours()
	for _, server := range []string{"a", "b", "c"} {
		n.first.Ended(endOf("a", server, 0), shortRun, n.now)
		n.pass(gap)
	}
	n.wantHeld(t, "a", true)
	n.now = n.now.Add(4 * time.Second)
	if told := n.other.Tell(n.now); len(told) > 0 {
		t.Errorf("%d observations are told on", len(told))
	}
	n.wantHeld(t, "a", false)
}

// TestWhatIsHeardIsBounded: many servers end at once, and nonsense is passed over.
func TestWhatIsHeardIsBounded(t *testing.T) {
	n := newNeighbours()
	for _, server := range []string{"a", "b", "c"} {
		n.first.Ended(endOf("a", server, 0), shortRun, n.now)
		n.pass(gap)
	}
	for place := range 2000 {
		n.first.Ended(endOf(fmt.Sprint("beside", place), "d", 0), shortRun, n.now)
	}
	n.pass(gap)
	n.wantHeld(t, "a", true)
	told := n.first.Tell(n.now)
	if size := proto.Size(&rockwindpb.LoadBundle{Untold: told}); size > 1024 {
		t.Errorf("%d observations are told in %d bytes", len(told), size)
	}
	n.other.Hear([]*rockwindpb.UntoldObservation{{}, {Content: []byte("short"), Server: 1}, {Content: contentOf("old").Bytes(), Server: 1, NoticedMsAgo: 1 << 20}}, n.now)
}

// TestEndAfterThoseOfTheListHolds: the coordinators told of two ends, and know no third yet.
func TestEndAfterThoseOfTheListHolds(t *testing.T) {
	d := newDriver(t)
	for _, server := range []string{"a", "b"} {
		d.now = d.now.Add(gap)
		d.ended(endOf("a", server, shortRun), endOf("together", server, shortRun), itemEnd("item", server, shortRun))
	}
	list := quarantine.NewList(d.register.View().Revision(), d.register.View().Notices(d.now), d.now)
	untold := quarantine.NewUntold()
	d.now = d.now.Add(shortRun)
	for content, began := range map[string]time.Duration{"a": shortRun / 2, "together": 2 * shortRun, "unknown": shortRun / 2} {
		untold.Ended(endOf(content, "c", 0), began, d.now)
	}
	untold.Ended(itemEnd("item", "c", 0), shortRun/2, d.now)
	for content, want := range map[string]bool{"a": true, "together": false, "unknown": false, "item": false} {
		if held := untold.HeldBy(list, contentOf(content), d.now); (held > 0) != want {
			t.Errorf("%s is held for %v", content, held)
		}
	}
	untold.Answered(contentOf("a"), d.now.Add(time.Millisecond))
	if held := untold.HeldBy(list, contentOf("a"), d.now); held > 0 {
		t.Errorf("what was answered is held for %v", held)
	}
}

// twoAttempts plays a request that may go to a second server and ends each server that runs it: its
// client comes each 100 ms, at one router after the other, each of which hears of what was told to
// the coordinators after 30 ms. It returns how many servers end.
func twoAttempts(t *testing.T, look time.Duration, waits bool) int {
	const (
		routers    = 2
		tries      = 20
		comesAgain = 100 * time.Millisecond
		toldAfter  = 30 * time.Millisecond
	)
	d := newDriver(t)
	var list *quarantine.List
	ends := 0
	for try := range tries {
		untold := quarantine.NewUntold()
		began := d.now
		var reports []*rockwindpb.ServerEnd
		for attempt := range 2 {
			content := contentOf("ends servers")
			if max(untold.HeldFor(content, d.now), list.HeldFor(content, d.now), untold.HeldBy(list, content, d.now)) > 0 {
				break
			}
			ends++
			d.now = d.now.Add(shortRun)
			end := endOf("ends servers", fmt.Sprint("server-", try%routers, "-", try, "-", attempt), shortRun)
			reports = append(reports, end)
			if waits {
				d.now = d.now.Add(look)
				untold.Ended(end, shortRun+look, d.now)
			}
		}
		for _, end := range reports {
			d.now = d.now.Add(toldAfter)
			end.BeganMsAgo = uint64((shortRun + toldAfter).Milliseconds())
			d.ended(end)
		}
		list = quarantine.NewList(d.register.View().Revision(), d.register.View().Notices(d.now), d.now)
		d.now = began.Add(max(comesAgain, d.now.Sub(began)))
	}
	return ends
}

// TestSecondServerOfARequestIsTriedAfterTheLook: a router that looks at the server of a broken
// connection first knows of the third end before it tries a fourth server.
func TestSecondServerOfARequestIsTriedAfterTheLook(t *testing.T) {
	for _, look := range []time.Duration{time.Millisecond, 50 * time.Millisecond} {
		at, after := twoAttempts(t, look, false), twoAttempts(t, look, true)
		t.Logf("%d servers end where the second one is tried at once, %d after a look of %s", at, after, look)
		if after != 3 {
			t.Errorf("%d servers end after a look of %s", after, look)
		}
	}
}

// TestToldEndsCountNoMore: a cut-off process tells something else for long, while the root group has
// taken three ends and their answers.
func TestToldEndsCountNoMore(t *testing.T) {
	n := newNeighbours()
	n.first.Ended(endOf("cut off", "z", 0), shortRun, n.now)
	n.pass(time.Second)
	for _, server := range []string{"a", "b", "c"} {
		n.other.Ended(endOf("good", server, 0), shortRun, n.now)
		n.other.Done(1, n.now)
		n.pass(gap)
	}
	n.wantHeld(t, "good", false)
	// Held by what is told on, and no longer than that.
	for _, server := range []string{"a", "b", "c"} {
		n.other.Ended(endOf("bad", server, 0), shortRun, n.now)
		n.pass(gap)
	}
	if held := n.other.HeldFor(contentOf("bad"), n.now); held == 0 || held > 3*time.Second {
		t.Errorf("held for %v", held)
	}
	n.other.Done(3, n.now)
	n.wantHeld(t, "bad", false)
	n.pass(4 * time.Second)
	if !n.first.Empty() {
		t.Error("what nobody tells counts on at the process that heard it")
	}
}

// TestAnswerThatACoordinatorTookIsToldOn: a process that reaches no coordinator hears it from one that
// does, and its ends stay cleared once the answer has lapsed.
func TestAnswerThatACoordinatorTookIsToldOn(t *testing.T) {
	n := newNeighbours()
	for _, server := range []string{"a", "b", "c"} {
		n.other.Ended(endOf("a", server, 0), shortRun, n.now)
		n.pass(gap)
	}
	n.wantHeld(t, "a", true)
	n.first.Answered(contentOf("a"), n.now)
	n.first.Done(1, n.now)
	n.pass(gap)
	n.wantHeld(t, "a", false)
	n.pass(8 * time.Second)
	n.wantHeld(t, "a", false)
}

// TestAnswersAreNotCrowdedOut by contents with more ends, and each end has its turn.
func TestAnswersAreNotCrowdedOut(t *testing.T) {
	const contents, answers = 16, 20
	n := newNeighbours()
	for place := range contents {
		for _, server := range []string{"a", "b"} {
			n.first.Ended(endOf(fmt.Sprint("ended ", place), server, 0), shortRun, n.now)
		}
	}
	n.pass(time.Second)
	for place := range answers {
		n.first.Answered(contentOf(fmt.Sprint("answered ", place)), n.now)
	}
	told := make(map[string]bool)
	tell := func(times int) {
		for range times {
			n.now = n.now.Add(gap)
			for _, each := range n.first.Tell(n.now) {
				told[fmt.Sprint(each.GetContent(), each.GetServer())] = true
			}
		}
	}
	tell(2)
	for place := range answers {
		if !told[fmt.Sprint(contentOf(fmt.Sprint("answered ", place)).Bytes(), 0)] {
			t.Errorf("answer %d is not told", place)
		}
	}
	tell(2)
	if len(told) != answers+2*contents {
		t.Errorf("%d observations are told in four turns", len(told))
	}
}

// TestRunsBeforeAnEndWasKnownAreSimultaneous: here, at a process that hears late of it, and in
// what coordinators are told.
func TestRunsBeforeAnEndWasKnownAreSimultaneous(t *testing.T) {
	const sentAfter = 5 * time.Millisecond
	for _, late := range []time.Duration{0, 6 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond} {
		n := newNeighbours()
		first := n.now
		for _, server := range []string{"a", "b", "c"} {
			run := n.now.Sub(first) - sentAfter
			n.first.Ended(endOf("popular", server, 0), max(run, shortRun-sentAfter), n.now)
			if server == "a" {
				n.other.Ended(endOf("popular", server, 0), shortRun, n.now)
			}
			n.now = n.now.Add(7 * time.Millisecond)
		}
		n.now = first.Add(150 * time.Millisecond)
		told := n.first.Tell(n.now)
		if len(told) != 3 {
			t.Fatalf("%d ends are told", len(told))
		}
		n.other.Hear(told, n.now.Add(late))
		n.now = first.Add(time.Second)
		n.wantHeld(t, "popular", false)
		for _, server := range []string{"a", "b", "c"} {
			if n.first.Later(endOf("popular", server, 0), n.now) {
				t.Errorf("the run at %s is told as a later one", server)
			}
		}
	}
}

// TestOldListHoldsNothing: the coordinators may have cleared the content since.
func TestOldListHoldsNothing(t *testing.T) {
	d := newDriver(t)
	d.ended(endOf("a", "a", shortRun))
	d.now = d.now.Add(gap)
	d.ended(endOf("a", "b", shortRun))
	list := quarantine.NewList(d.register.View().Revision(), d.register.View().Notices(d.now), d.now)
	for after, want := range map[time.Duration]bool{time.Second: true, 4 * time.Second: false, 9 * time.Minute: false} {
		untold := quarantine.NewUntold()
		now := d.now.Add(after)
		untold.Ended(endOf("a", "c", 0), shortRun, now)
		held := untold.HeldBy(list, contentOf("a"), now)
		if (held > 0) != want || held > 3*time.Second {
			t.Errorf("held for %v by a list of %v before", held, after)
		}
	}
}

// TestWhatFindsNoRoomIsDropped and not what waits longest; answers wait once.
func TestWhatFindsNoRoomIsDropped(t *testing.T) {
	n := newNeighbours()
	n.first.Ended(endOf("oldest", "a", 0), shortRun, n.now)
	n.first.Answered(contentOf("answered"), n.now)
	if !n.first.Answering(contentOf("answered")) || n.first.Answering(contentOf("oldest")) {
		t.Error("not the answer waits")
	}
	n.first.Ended(endOf("newest", "a", 0), shortRun, n.now)
	n.first.Drop(n.now)
	n.first.Ended(endOf("answered", "b", 0), shortRun, n.now)
	if n.first.Answering(contentOf("answered")) {
		t.Error("an answer before the last end counts for one after it")
	}
	n.now = n.now.Add(gap)
	var told []string
	for _, each := range n.first.Tell(n.now) {
		told = append(told, string(each.GetContent()))
	}
	if len(told) != 3 || slices.Contains(told, string(contentOf("newest").Bytes())) || !slices.Contains(told, string(contentOf("oldest").Bytes())) {
		t.Errorf("%d are told", len(told))
	}
}

// TestLateAnswerClearsNoLaterEnds: its datagram came before, and once more a second later.
func TestLateAnswerClearsNoLaterEnds(t *testing.T) {
	n := newNeighbours()
	n.first.Answered(contentOf("a"), n.now)
	n.now = n.now.Add(gap)
	told := n.first.Tell(n.now)
	n.other.Hear(told, n.now)
	for _, server := range []string{"a", "b", "c"} {
		n.now = n.now.Add(gap)
		n.other.Ended(endOf("a", server, 0), shortRun, n.now)
	}
	n.wantHeld(t, "a", true)
	n.now = n.now.Add(time.Second)
	n.other.Hear(told, n.now)
	n.wantHeld(t, "a", true)
}
