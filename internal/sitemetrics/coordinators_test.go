package sitemetrics_test

import (
	"strings"
	"testing"
	"time"
)

func TestScrapeShowsThatCoordinatorsAreSilent(t *testing.T) {
	set := newSet("router")
	set.Coordinators(func() (time.Duration, uint64) { return 1500 * time.Millisecond, 7 })
	page := scrape(set)
	for _, want := range []string{"rockwind_coordinators_silent_seconds 1.5", "rockwind_coordinator_tries_failed_total 7"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
}
