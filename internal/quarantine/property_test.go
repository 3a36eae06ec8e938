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

// siteModel simulates a site of many routers in virtual time. Some contents crash each
// server that runs them; others run alongside.
type siteModel struct {
	*driver
	// lags is how long each router takes to learn of a change.
	lags []time.Duration
	// published holds the list after each change.
	published []publication
	servers   int
	// crashes counts the servers that each content has crashed, and confirmedAt is the time of
	// its third crash.
	crashes     map[string]int
	confirmedAt map[string]time.Time
	// late counts the runs of a content that started later than noticeTime after that.
	late map[string]int
}

// publication is a list and the time of its publication.
type publication struct {
	at   time.Time
	list *quarantine.List
}

// noticeTime is how long the routers may take to learn of a crash.
const noticeTime = 3 * time.Second

// publish adds the current list of the registry.
func (s *siteModel) publish() {
	view := s.registry.View()
	s.published = append(s.published, publication{at: s.now, list: quarantine.NewList(view.Revision(), view.Notices(s.now), s.now)})
}

// known returns the list that a router has received so far.
func (s *siteModel) known(router int) *quarantine.List {
	var known *quarantine.List
	for _, each := range s.published {
		if !each.at.Add(s.lags[router]).After(s.now) {
			known = each.list
		}
	}
	return known
}

// send runs a content that crashes its server, alongside other contents.
func (s *siteModel) send(router int, content string, beside []string) {
	if s.known(router).QuarantinedFor(contentOf(content), s.now) > 0 {
		return
	}
	s.servers++
	server := fmt.Sprint("server", s.servers)
	s.crashes[content]++
	if s.crashes[content] == 3 {
		s.confirmedAt[content] = s.now
	}
	if third := s.confirmedAt[content]; !third.IsZero() && s.now.Sub(third) > noticeTime {
		s.late[content]++
	}
	crashes := []*rockwindpb.ServerEnd{crashOf(content, server, shortRun)}
	for _, other := range beside {
		crashes = append(crashes, crashOf(other, server, shortRun))
	}
	s.now = s.now.Add(shortRun)
	s.crashed(crashes...)
	s.publish()
}

// TestCrashingContentReachesFewMoreServers: regardless of the routers, their lags and the times
// between attempts, a content that crashes servers may reach at most three more servers
// later than noticeTime after its third crash, and one that is answered in between must not be
// held.
func TestCrashingContentReachesFewMoreServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site := &siteModel{
			driver: newDriver(nil), crashes: make(map[string]int), confirmedAt: make(map[string]time.Time), late: make(map[string]int),
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
				saved := site.registry.Save()
				site.registry = quarantine.New()
				site.registry.Load(proto.CloneOf(saved))
			}
			site.now = site.now.Add(20 * time.Millisecond)
			site.answered("popular")
			site.publish()
			if site.heldFor("popular") > 0 {
				t.Fatal("an answered content is held")
			}
		}
		for content, late := range site.late {
			if late > 3 {
				t.Fatalf("%s reached %d servers after the notice time", content, late)
			}
		}
	})
}
