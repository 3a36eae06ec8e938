package sitemetrics_test

import (
	"strings"
	"testing"
	"time"
)

// TestScrapeShowsWhichZoneDrainsAreObeyed guards against processes whose drains can't be compared.
func TestScrapeShowsWhichZoneDrainsAreObeyed(t *testing.T) {
	set := newSet("router")
	set.ZoneDrainRevision(func() uint64 { return 12 })
	set.ZoneDrainAge(func() time.Duration { return 1500 * time.Millisecond })
	page := scrape(set)
	for _, want := range []string{"rockwind_zone_drains_revision 12", "rockwind_zone_drains_age_seconds 1.5"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
}
