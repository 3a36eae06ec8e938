package sitemetrics_test

import (
	"strings"
	"testing"
)

// Guards against a gauge without the jobs that move.
func TestScrapeShowsMovingJobs(t *testing.T) {
	set := newSet("store")
	set.MovingJobs(func() map[string]int { return map[string]int{"leaving": 3, "arriving": 0} })
	page := scrape(set)
	for _, want := range []string{`rockwind_moving_jobs{state="leaving"} 3`, `rockwind_moving_jobs{state="arriving"} 0`} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
}
