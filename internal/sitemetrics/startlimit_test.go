package sitemetrics_test

import (
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/sitemetrics"
)

// Guards against series of a limit that no longer applies, and against exchanged values.
func TestScrapeShowsStartLimits(t *testing.T) {
	set := newSet("router")
	limits := []sitemetrics.StartLimit{{Service: "app", Requests: 9, Inflight: 7}}
	set.StartLimits(func() []sitemetrics.StartLimit { return limits })
	page := scrape(set)
	for _, want := range []string{
		`rockwind_start_limit_requests{service="app"} 9`, `rockwind_start_limit_inflight_requests{service="app"} 7`,
	} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
	limits = nil
	if strings.Contains(scrape(set), `rockwind_start_limit_requests{`) {
		t.Error("a service that is not limited has a series")
	}
}
