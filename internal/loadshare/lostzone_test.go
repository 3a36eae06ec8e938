package loadshare_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/coldstart"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// coldSite is a site of one region whose processes send to cold servers as often as they may.
type coldSite struct {
	*world
	names   []string
	servers []string
	rate    float64
	// sent holds the times of the requests to each server, last that of the last one of a process there.
	sent [][]time.Duration
	last map[*simProcess][]time.Duration
	// spacings are those of a process for the number of live processes that it assumed last.
	spacings map[*simProcess]spacings
}

// spacings are the least times between two requests of a process to each server; a negative one means that it
// may not send there.
type spacings struct {
	live int
	each []time.Duration
}

func newColdSite(zones, stores, routers int, rate float64) *coldSite {
	site := &coldSite{world: newWorld(1, largeSite(zones, stores, routers)), rate: rate, last: make(map[*simProcess][]time.Duration), spacings: make(map[*simProcess]spacings)}
	for _, s := range site.processes {
		site.names = append(site.names, s.member.Name())
		s.own[uint32(len(site.names))] = balance.SharedLoad{Inflight: 1}
	}
	for i := range 12 {
		site.servers = append(site.servers, fmt.Sprint("server-", i))
	}
	site.sent = make([][]time.Duration, len(site.servers))
	return site
}

// live returns how many processes one of them assumes to be alive.
func (c *coldSite) live(s *simProcess) int {
	return s.shares.LiveProcesses(len(c.names), len(s.protocol.Layout().Members()))
}

// spacingsOf returns the current spacings of a process.
func (c *coldSite) spacingsOf(s *simProcess) []time.Duration {
	live, known := c.live(s), c.spacings[s]
	if known.each == nil || known.live != live {
		known = spacings{live: live}
		for _, server := range c.servers {
			spacing, allowed := coldstart.Spacing(server, s.member.Name(), c.names, live, c.rate)
			if !allowed {
				spacing = -1
			}
			known.each = append(known.each, spacing)
		}
		c.spacings[s] = known
	}
	return known.each
}

// send has each process that is not silent send to the servers where it may.
func (c *coldSite) send() {
	for _, s := range c.processes {
		if s.silent {
			continue
		}
		if c.last[s] == nil {
			c.last[s] = slices.Repeat([]time.Duration{-time.Minute}, len(c.servers))
		}
		for i, spacing := range c.spacingsOf(s) {
			if spacing >= 0 && c.now-c.last[s][i] >= spacing {
				c.last[s][i] = c.now
				c.sent[i] = append(c.sent[i], c.now)
			}
		}
	}
}

// check fails if a server was sent more than it can bear in any second.
func (c *coldSite) check(t *testing.T) {
	t.Helper()
	for i, sent := range c.sent {
		for first, at := range sent {
			after, _ := slices.BinarySearch(sent, at+time.Second)
			if got := float64(after - first); got > c.rate*1.5+5 {
				t.Fatalf("server %d is sent %v in the second after %v", i, got, at)
			}
		}
	}
}

// sentBetween returns how many requests the servers were sent on average in a second.
func (c *coldSite) sentBetween(from, to time.Duration) float64 {
	total := 0
	for _, sent := range c.sent {
		first, _ := slices.BinarySearch(sent, from)
		after, _ := slices.BinarySearch(sent, to)
		total += after - first
	}
	return float64(total) / (to - from).Seconds() / float64(len(c.servers))
}

// Guards against cold servers that are sent only a part of what they can bear for as long as the processes of a
// wholly lost zone are listed, and against more than they can bear in any second: before the loss, while the
// others notice it, and when the zone returns.
func TestShareOfLostZonePassesOn(t *testing.T) {
	t.Parallel()
	// A lost zone is noticed once its last digests have expired everywhere.
	const noticed, span = 3 * time.Second, 8 * time.Second
	for _, zones := range []int{2, 3} {
		for _, rate := range []float64{1.9, 2.9, 9.2, 15} {
			t.Run(fmt.Sprint(zones, rate), func(t *testing.T) {
				t.Parallel()
				c := newColdSite(zones, 4, 16, rate)
				c.run(t, 2*time.Second, func() {})
				c.run(t, span, c.send)
				lost := c.find(inZone(c.processes[len(c.processes)-1].member.Zone()))
				for _, s := range lost {
					s.silent = true
				}
				began := c.now
				c.run(t, span, c.send)
				if got := c.sentBetween(began+noticed, c.now); got < 0.7*rate {
					t.Errorf("servers that bear %v a second are sent %.1f after the loss of one of %d zones", rate, got, zones)
				}
				for _, s := range c.processes {
					if live := c.live(s); !s.silent && live != len(c.names)-len(lost) {
						t.Errorf("%s assumes that %d of %d processes are alive, want %d", s.member.Name(), live, len(c.names), len(c.names)-len(lost))
						break
					}
				}
				for _, s := range lost {
					s.silent = false
					c.start(s, largeSite(zones, 4, 16))
				}
				c.run(t, span, c.send)
				c.check(t)
				for _, s := range c.processes {
					if live := c.live(s); live != len(c.names) {
						t.Errorf("%s assumes that %d of %d processes are alive after the return", s.member.Name(), live, len(c.names))
						break
					}
				}
			})
		}
	}
}

// Guards against misreading digests of the previous version, which carry no counts: where a zone has that
// version, no process takes zones for lost that are not, and those of the other zones notice a lost one.
func TestCountsOfProcessesInMixedVersions(t *testing.T) {
	t.Parallel()
	c := newColdSite(3, 4, 16, 9.2)
	previous := func(s *simProcess) bool { return s.member.Zone() == c.processes[0].member.Zone() }
	for _, s := range c.processes {
		s.uncounted = previous(s)
	}
	c.run(t, 5*time.Second, func() {})
	for _, s := range c.processes {
		if live := c.live(s); live != len(c.names) {
			t.Errorf("%s assumes that %d of %d processes are alive", s.member.Name(), live, len(c.names))
		}
	}
	lost := c.find(inZone(c.processes[len(c.processes)-1].member.Zone()))
	for _, s := range lost {
		s.silent = true
	}
	c.run(t, 5*time.Second, c.send)
	c.check(t)
	for _, s := range c.processes {
		if live := c.live(s); !s.silent && live != len(c.names)-len(lost) && !(previous(s) && live == len(c.names)) {
			t.Errorf("%s assumes that %d of %d processes are alive, want %d", s.member.Name(), live, len(c.names), len(c.names)-len(lost))
		}
	}
}

// removeCounts sets the numbers of processes in a bundle to those of the version before them.
func removeCounts(bundle *rockwindpb.LoadBundle, layout *loadshare.Layout) {
	for _, digest := range bundle.GetDigests() {
		switch {
		case digest.GetElsewhere():
			digest.Members = 0
		case digest.GetGroup() != "":
			digest.Members = uint32(len(layout.Members()))
		}
	}
}

// Guards against counts that cost more than a few bytes a digest on sites of one region.
func TestCountsOfProcessesCostFewBytes(t *testing.T) {
	t.Parallel()
	c := newColdSite(3, 4, 25, 9.2)
	largest, datagrams, bytes, more := 0, 0, 0, 0
	c.observe = func(from *simProcess, datagram loadshare.Datagram, encoded []byte) {
		without := proto.CloneOf(datagram.Bundle)
		removeCounts(without, loadshare.NewLayout(largeSite(3, 4, 25), from.member.Name(), topology.Map{}))
		extra := len(encoded) - proto.Size(without)
		largest = max(largest, extra)
		datagrams, bytes, more = datagrams+1, bytes+len(encoded), more+extra
	}
	c.run(t, 5*time.Second, func() { c.redraw(30) })
	t.Logf("%d datagrams of %d bytes carry %d bytes of counts, at most %d each", datagrams, bytes, more, largest)
	if largest > 4 || more == 0 {
		t.Errorf("counts take up to %d bytes of a datagram, %d in total", largest, more)
	}
}
