package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// maxLeaderlessHoldTime bounds the time from the third crash until all processes hold a part without a leader, as with one.
const maxLeaderlessHoldTime = 3 * time.Second

// sharedParts returns the parts of a prompt that other requests may share.
func sharedParts(ids ...string) []fingerprint.Fingerprint {
	return fingerprint.OfParts("models", append(ids, "own"))
}

// reporters are the quarantine reporters of the watchers of a site.
type reporters struct {
	all  []*site.QuarantineReporter
	stop func()
}

func (s *virtualSite) startReporters() *reporters {
	ctx, cancel := context.WithCancel(s.t.Context())
	started := &reporters{}
	var running sync.WaitGroup
	for _, p := range s.processes {
		if p.watcher == nil {
			continue
		}
		reporter := site.NewQuarantineReporter(p.watcher)
		reporter.ShareParts()
		started.all = append(started.all, reporter)
		running.Go(func() { reporter.Run(ctx) })
	}
	started.stop = func() { cancel(); running.Wait() }
	return started
}

// holding counts the processes that hold a prompt by what was not reported.
func (r *reporters) holding(parts []fingerprint.Fingerprint) int {
	count := 0
	for _, reporter := range r.all {
		if reporter.Shared().HeldParts(parts, nil, time.Now()).For+reporter.Unreported().HeldParts(parts, nil, time.Now()).For > 0 {
			count++
		}
	}
	return count
}

// Guards against a part that crashes a server at each of many routers while the root group has no leader: each of them sees one
// crash only. And against a hold that outlives what it rests on.
func TestCrashesAreSharedWithoutALeader(t *testing.T) {
	sizes := []int{7, 60, 300}
	if testing.Short() {
		sizes = sizes[:1]
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inVirtualSite(t, coordinators+size, func(s *virtualSite) {
				defer s.runCoordinators()()
				running := s.startReporters()
				defer running.stop()
				time.Sleep(5 * time.Second)
				stopped := s.processes[:coordinators-1]
				for _, p := range stopped {
					p.stop()
				}
				time.Sleep(2 * time.Second)
				s.network.takeCalls()
				crashing, sound := sharedParts("shared", "crashing", "subject"), sharedParts("shared", "document", "subject")
				for crash := range 3 {
					end := &rockwindpb.ServerEnd{
						Content: sharedParts(fmt.Sprint("content-", crash))[0].Bytes(), Server: fmt.Sprint("crashed-", crash), Route: "hints",
						Parts: fingerprint.BytesOf(sharedParts("shared", "crashing", fmt.Sprint("subject-", crash))),
					}
					running.all[crash*len(running.all)/3].ReportCrash(end, time.Now().Add(-50*time.Millisecond), nil)
					time.Sleep(time.Second)
				}
				third := time.Now().Add(-time.Second)
				for running.holding(crashing) < len(running.all) && time.Since(third) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				held := time.Since(third)
				calls := s.network.takeCalls()
				time.Sleep(10 * time.Second)
				t.Logf("%d processes hold the part %v after the third crash; %.1f calls a process and second without a leader",
					len(running.all), held, float64(s.network.takeCalls())/float64(len(running.all))/10)
				if held > maxLeaderlessHoldTime {
					t.Errorf("%d of %d processes hold the part, the last one after %v; %d calls", running.holding(crashing), len(running.all), held, calls)
				}
				if count := running.holding(sound); count > 0 {
					t.Errorf("%d processes hold a prompt without the part", count)
				}
				for _, p := range stopped {
					s.start(p)
				}
				s.awaitCoordinators()
				time.Sleep(10 * time.Second)
				if count := running.holding(crashing); count > 0 {
					t.Errorf("%d processes hold unreported crashes although there is a leader", count)
				}
				for _, p := range s.processes[coordinators:] {
					if p.watcher.Quarantine().HeldParts(crashing, nil, time.Now()).For == 0 {
						t.Fatalf("%s does not hold the part once it was reported to the leader", p.name)
					}
				}
			})
		})
	}
}
