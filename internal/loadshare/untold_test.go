package loadshare_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// comesAgain is the time between two tries of a client whose request ends servers, each
	// at another process, and shortRun how long a try runs until its server ends.
	comesAgain = 100 * time.Millisecond
	shortRun   = 20 * time.Millisecond
	// besides is how many other requests end with each server, each at another process.
	besides = 4
	// holdWithin is how long after the third end all processes hold the content.
	holdWithin = time.Second
	// silentAfter is how long after an election nothing counts any more that was not told.
	silentAfter = 4 * time.Second
)

// outage plays a request that ends each server that runs it, at a site whose root group has no
// leader.
type outage struct {
	*world
	t    *testing.T
	root *quarantine.Register
	// list is what all processes know of the root group.
	list *quarantine.List
	// waiting are the reports of the processes that no coordinator has taken.
	waiting map[*station]*rockwindpb.ReportQuarantineRequest
	// ends counts the servers that the content has ended, and third is when it ended the third.
	ends  int
	third time.Duration
	// heldAfter is how long after the third end all processes held the content.
	heldAfter time.Duration
}

func newOutage(t *testing.T, members []loadshare.Member, lossPart float64) *outage {
	o := &outage{
		world: newWorld(1, members), t: t, root: quarantine.New(), waiting: make(map[*station]*rockwindpb.ReportQuarantineRequest),
	}
	o.lossPart = lossPart
	// The processes know their delegates.
	o.run(t, time.Second, func() {})
	return o
}

func contentOf(name string) fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Content{Target: name})
}

var deadly = contentOf("ends servers")

// live lists the processes that are there.
func (o *outage) live() []*station {
	return slices.DeleteFunc(slices.Clone(o.stations), func(s *station) bool { return s.silent })
}

// any draws a process.
func (o *outage) any() *station {
	live := o.live()
	return live[o.random.IntN(len(live))]
}

// endStores ends the stores, which are the relays, and lets so much time pass.
func (o *outage) endStores(length time.Duration) {
	for _, s := range o.stations {
		s.silent = strings.Contains(s.member.Name(), "-0-")
	}
	o.run(o.t, length, func() {})
}

func (o *outage) heldAt(s *station) bool {
	return s.untold.HeldFor(deadly, s.clock()) > 0 || o.list.HeldFor(deadly, s.clock()) > 0
}

func (o *outage) heldEverywhere() bool {
	return !slices.ContainsFunc(o.live(), func(s *station) bool { return !o.heldAt(s) })
}

// try sends the content by some process, and ends its server with all that runs there.
func (o *outage) try() {
	by := o.any()
	if o.heldAt(by) {
		return
	}
	o.ends++
	if o.ends == 3 {
		o.third = o.now
	}
	server := fmt.Sprint("server-", o.ends)
	o.ended(by, deadly, server)
	for other := range besides {
		o.ended(o.any(), contentOf(fmt.Sprint(server, " runs ", other)), server)
	}
}

func (o *outage) ended(s *station, content fingerprint.Fingerprint, server string) {
	end := &rockwindpb.ServerEnd{Content: content.Bytes(), Server: server, BeganMsAgo: uint64(shortRun.Milliseconds())}
	s.untold.Ended(end, shortRun, s.clock())
	if o.waiting[s] == nil {
		o.waiting[s] = &rockwindpb.ReportQuarantineRequest{}
	}
	o.waiting[s].Ends = append(o.waiting[s].Ends, end)
}

// elected has a leader take what waits, and all processes know what it comes to.
func (o *outage) elected() {
	for _, s := range o.live() {
		s.now = o.now
		report := o.waiting[s]
		if report == nil {
			continue
		}
		for _, end := range report.GetEnds() {
			end.BeganMsAgo = uint64(time.Minute.Milliseconds())
			if s.untold.Later(end, s.clock()) {
				end.BeganMsAgo = 0
			}
		}
		o.root.Apply(&rockwindpb.QuarantineCommand{
			NowUnixMs: s.clock().UnixMilli(), Command: &rockwindpb.QuarantineCommand_Report{Report: report},
		})
		s.untold.Done(len(report.GetEnds()), s.clock())
	}
	clear(o.waiting)
	now := o.stations[0].clock()
	o.list = quarantine.NewList(o.root.View().Revision(), o.root.View().Notices(now), now)
}

// play has the content come again and again for a time.
func (o *outage) play(length time.Duration) {
	next := o.now
	o.run(o.t, length, func() {
		for _, s := range o.stations {
			s.now = o.now
		}
		if o.ends >= 3 && o.heldAfter == 0 && o.heldEverywhere() {
			o.heldAfter = o.now - o.third
		}
		if o.now >= next {
			next += comesAgain
			o.try()
		}
	})
}

// told counts the observations that processes have for others now.
func (o *outage) told() int {
	told := 0
	for _, s := range o.stations {
		told += len(s.untold.Tell(s.clock()))
	}
	return told
}

// playedSizes are the sizes that a run plays: the large ones take minutes with the race detector.
func playedSizes() map[string][]loadshare.Member {
	played := maps.Clone(sizes)
	if testing.Short() {
		maps.DeleteFunc(played, func(name string, _ []loadshare.Member) bool { return name != "10" && name != "66 in three zones" })
	}
	return played
}

// playedLengths are how long a run plays that there is no leader.
func playedLengths(members []loadshare.Member) []time.Duration {
	if testing.Short() && len(members) > 10 {
		return []time.Duration{2 * time.Second}
	}
	return []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second}
}

// sizes are sites as a mesh, in zones, and of some hundred processes.
var sizes = map[string][]loadshare.Member{
	"10": largeSite(2, 1, 4), "66": largeSite(1, 11, 55), "66 in three zones": largeSite(3, 4, 18),
	"300": largeSite(6, 8, 42), "350": largeSite(10, 5, 30),
}

// TestContentIsHeldWhileNobodyAddsUp: whatever the size of the site, and for however long the
// root group has no leader, a content that ends servers ends three more at most, and all
// processes hold it within a second. Once there is a leader they tell each other nothing more.
func TestContentIsHeldWhileNobodyAddsUp(t *testing.T) {
	for name, members := range playedSizes() {
		for _, length := range playedLengths(members) {
			t.Run(fmt.Sprint(name, " for ", length), func(t *testing.T) {
				t.Parallel()
				holds(t, members, length, func(*outage) {})
			})
		}
	}
}

// TestContentIsHeldWhereTheStoresEndToo: they end together with the coordinators, a moment before
// the content comes or long before.
func TestContentIsHeldWhereTheStoresEndToo(t *testing.T) {
	for name, members := range playedSizes() {
		for _, before := range []time.Duration{step, 2 * time.Second} {
			t.Run(fmt.Sprint(name, " after ", before), func(t *testing.T) {
				t.Parallel()
				holds(t, members, 3*time.Second, func(o *outage) { o.endStores(before) })
			})
		}
	}
}

// holds plays an outage, after which a leader is there again.
func holds(t *testing.T, members []loadshare.Member, length time.Duration, prepare func(*outage)) {
	t.Helper()
	const mostEnds = 6
	aloneEnds := 0
	if !testing.Short() {
		alone := newOutage(t, members, 1)
		prepare(alone)
		alone.play(length)
		aloneEnds = alone.ends
	}
	o := newOutage(t, members, 0.02)
	prepare(o)
	o.play(length)
	t.Logf("%d servers ended, %d where processes tell each other nothing; held everywhere after %s", o.ends, aloneEnds, o.heldAfter)
	if o.ends > mostEnds {
		t.Errorf("%d servers ended", o.ends)
	}
	if o.heldAfter == 0 || o.heldAfter > holdWithin {
		t.Errorf("held everywhere after %s", o.heldAfter)
	}
	o.elected()
	o.play(silentAfter)
	if !o.heldEverywhere() || o.ends > mostEnds {
		t.Errorf("%d servers ended after there was a leader", o.ends)
	}
	if told := o.told(); told > 0 {
		t.Errorf("%d observations are told on", told)
	}
	for _, s := range o.live() {
		if !s.untold.Empty() {
			t.Fatalf("%s goes by what was not told", s.member.Name())
		}
	}
}

// TestNothingIsToldOfEndsWhileThereIsALeader: coordinators take what they are told in 20 ms.
func TestNothingIsToldOfEndsWhileThereIsALeader(t *testing.T) {
	o := newOutage(t, sizes["66 in three zones"], 0)
	for range 50 {
		o.ended(o.any(), contentOf(fmt.Sprint(o.now)), fmt.Sprint(o.now))
		o.run(t, 20*time.Millisecond, func() {
			if told := o.told(); told > 0 {
				t.Fatalf("%d observations are told on", told)
			}
		})
		o.elected()
	}
}

// TestUntoldEndsCostLittle: what processes send of ends while there is no leader.
func TestUntoldEndsCostLittle(t *testing.T) {
	const (
		length = 2 * time.Second
		// mostShare bounds the bytes with ends, as a multiple of those without.
		mostShare = 3.0
	)
	for name, members := range playedSizes() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rates := make(map[bool]int)
			for _, ending := range []bool{false, true} {
				o := newOutage(t, members, 0)
				for _, s := range o.stations {
					s.bytes = 0
				}
				next := o.now
				o.run(t, length, func() {
					o.redraw(2 * len(members))
					if ending && o.now >= next {
						next += comesAgain
						for _, s := range o.stations {
							s.now = o.now
						}
						o.try()
					}
				})
				total := 0
				for _, s := range o.stations {
					total += s.bytes
				}
				rates[ending] = total / len(o.stations) / int(length/time.Second)
			}
			t.Logf("%s: %d bytes a second a process, %d while ends are told", name, rates[false], rates[true])
			if float64(rates[true]) > mostShare*float64(rates[false]) {
				t.Errorf("%d bytes a second a process, %d without ends", rates[true], rates[false])
			}
		})
	}
}

// TestManyUntoldEndsAreToldSlowly: all processes have as many ends as a datagram holds, and tell
// each other less often.
func TestManyUntoldEndsAreToldSlowly(t *testing.T) {
	const (
		ends   = 16
		length = 2 * time.Second
		// mostRate is in bytes a second a process, load digests included.
		mostRate = 80 << 10
	)
	for name, members := range playedSizes() {
		if len(members) > 66 {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := newOutage(t, members, 0)
			for _, s := range o.stations {
				for place := range ends {
					o.ended(s, contentOf(fmt.Sprint(s.member.Name(), place)), fmt.Sprint(place))
				}
				s.bytes, s.outside = 0, 0
			}
			o.run(t, length, func() {})
			total, outside := 0, 0
			for _, s := range o.stations {
				total += s.bytes
				outside += s.outside
			}
			count := len(o.stations) * int(length/time.Second)
			t.Logf("%s: %d bytes a second a process, %d to other zones", name, total/count, outside/count)
			if total/count > mostRate {
				t.Errorf("%d bytes a second a process", total/count)
			}
		})
	}
}
