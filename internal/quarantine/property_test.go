package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// siteModel plays requests at a site of many routers in virtual time. Some contents end each
// server that runs them; others run beside them.
type siteModel struct {
	*driver
	// lags is how long news take to reach each router.
	lags []time.Duration
	// published holds what was to be known since when.
	published []publication
	servers   int
	// ends counts the servers that each content has ended, and convictedAt is when the third
	// one did.
	ends        map[string]int
	convictedAt map[string]time.Time
	// late counts the runs of a content that began after the contact time was over.
	late map[string]int
}

// publication is a list that routers hear of at some time after it came about.
type publication struct {
	at   time.Time
	list *quarantine.List
}

// contactTime is how long the routers have to learn of an end.
const contactTime = 3 * time.Second

// publish notes what the register tells from now on.
func (s *siteModel) publish() {
	view := s.register.View()
	s.published = append(s.published, publication{at: s.now, list: quarantine.NewList(view.Revision(), view.Notices(s.now), s.now)})
}

// known is what a router has heard by now.
func (s *siteModel) known(router int) *quarantine.List {
	var known *quarantine.List
	for _, each := range s.published {
		if !each.at.Add(s.lags[router]).After(s.now) {
			known = each.list
		}
	}
	return known
}

// send plays one try of a content that ends its server, beside others that are there.
func (s *siteModel) send(router int, content string, beside []string) {
	if s.known(router).HeldFor(contentOf(content), s.now) > 0 {
		return
	}
	s.servers++
	server := fmt.Sprint("server", s.servers)
	s.ends[content]++
	if s.ends[content] == 3 {
		s.convictedAt[content] = s.now
	}
	if third := s.convictedAt[content]; !third.IsZero() && s.now.Sub(third) > contactTime {
		s.late[content]++
	}
	ends := []*rockwindpb.ServerEnd{endOf(content, server, shortRun)}
	for _, other := range beside {
		ends = append(ends, endOf(other, server, shortRun))
	}
	s.now = s.now.Add(shortRun)
	s.ended(ends...)
	s.publish()
}

// TestRequestsThatEndServersReachFewMore: whatever the routers, their lag and the times
// between tries, a content that ends servers reaches at most three more later than the contact
// time after the third, and one that is answered in between is never held for long.
func TestRequestsThatEndServersReachFewMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site := &siteModel{
			driver: newDriver(nil), ends: make(map[string]int), convictedAt: make(map[string]time.Time), late: make(map[string]int),
		}
		for range rapid.IntRange(1, 250).Draw(t, "routers") {
			lag := rapid.IntRange(0, 400).Draw(t, "lag in ms")
			site.lags = append(site.lags, time.Duration(lag)*time.Millisecond)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			site.now = site.now.Add(time.Duration(rapid.IntRange(20, 2500).Draw(t, "pause in ms")) * time.Millisecond)
			router := rapid.IntRange(0, len(site.lags)-1).Draw(t, "router")
			content := rapid.SampledFrom([]string{"first", "second"}).Draw(t, "content")
			site.send(router, content, []string{"popular"})
			if rapid.IntRange(0, 9).Draw(t, "another leader") == 0 {
				saved := site.register.Save()
				site.register = quarantine.New()
				site.register.Load(proto.CloneOf(saved))
			}
			site.now = site.now.Add(20 * time.Millisecond)
			site.answered("popular")
			site.publish()
			if site.heldFor("popular") > 0 {
				t.Fatal("a content that is answered is held")
			}
		}
		for content, late := range site.late {
			if late > 3 {
				t.Fatalf("%s reached %d servers later than the contact time", content, late)
			}
		}
	})
}
