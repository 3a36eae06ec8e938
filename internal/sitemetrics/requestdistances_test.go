package sitemetrics_test

import (
	"strings"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/topology"
)

// Guards against requests to other regions that are missing in the metrics.
func TestScrapeShowsRequestsByDistance(t *testing.T) {
	set := newSet("router")
	set.RequestDistances(
		func() map[topology.Distance]uint64 {
			return map[topology.Distance]uint64{topology.SameZone: 7, topology.OtherRegion: 2}
		},
		func() map[string]time.Duration { return map[string]time.Duration{"south-a": 16 * time.Millisecond} },
	)
	page := scrape(set)
	for _, want := range []string{
		`rockwind_requests_started_total{distance="same_zone"} 7`, `rockwind_requests_started_total{distance="other_region"} 2`,
		`rockwind_zone_round_trip_seconds{zone="south-a"} 0.016`,
	} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
}
