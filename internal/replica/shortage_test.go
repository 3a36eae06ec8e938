package replica_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"rockwind.example/rockwind/internal/replica"
)

// shortage returns the shortage of a group as its leader sees it, or none without a leader.
func (f *testCluster) shortage(group uint32) replica.Shortage {
	leader := f.leaderNow(group)
	if leader == nil {
		return replica.Shortage{}
	}
	return leader.running().Shortages()[group]
}

// TestShortageNamesMissingMembersAndReason guards against a group that lacks a member although nothing tells
// for how long, and why no spare takes its place.
func TestShortageNamesMissingMembersAndReason(t *testing.T) {
	runCluster(t, 3, admitNew, func(f *testCluster) {
		f.add(1, "a")
		if found := f.shortage(1); len(found.Missing) != 0 {
			t.Fatalf("a whole group lacks %v", found.Missing)
		}
		lost := f.machines[2]
		lostAt := time.Now()
		f.loseDisk(lost)
		f.eventually("the group waits for a spare", func() bool { return f.shortage(1).Reason == "no_spare" })
		found := f.shortage(1)
		if !slices.Equal(found.Missing, []string{lost.name}) || found.Since.Before(lostAt) || found.Since.After(time.Now()) {
			t.Errorf("the shortage is %+v", found)
		}
		scraped := f.scrape(f.leader(1))
		for _, want := range []string{`rockwind_group_missing_members{group="1"} 1`, `rockwind_group_short_seconds{group="1",reason="no_spare"}`} {
			if !strings.Contains(scraped, want) {
				t.Errorf("the metrics lack %s:\n%s", want, scraped)
			}
		}
		f.addMachine("spare")
		f.eventually("the group is whole", func() bool { return includes(f.repairedVoters(1), "spare") && len(f.shortage(1).Missing) == 0 })
		if scraped := f.scrape(f.leader(1)); !strings.Contains(scraped, `rockwind_group_missing_members{group="1"} 0`) || strings.Contains(scraped, `short_seconds{group="1"`) {
			t.Errorf("the metrics of a whole group are:\n%s", scraped)
		}
	})
}

// scrape returns the metrics of a machine's groups.
func (f *testCluster) scrape(m *machine) string {
	f.t.Helper()
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(replica.Metrics{Host: m.running()})
	recorder := httptest.NewRecorder()
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return recorder.Body.String()
}
