package sitemetrics_test

import (
	"strings"
	"testing"
)

func TestScrapeShowsOrphanedRequests(t *testing.T) {
	set := newSet("store")
	set.Orphaned(func() (requests, questions int) { return 12, 34 })
	page := scrape(set)
	for _, want := range []string{"rockwind_left_behind_requests 12", "rockwind_load_questions_total 34"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
}
