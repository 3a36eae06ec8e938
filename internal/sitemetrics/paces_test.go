package sitemetrics_test

import (
	"strings"
	"testing"
)

func TestScrapeShowsThePacesOfServers(t *testing.T) {
	set := newSet("router")
	set.Paces(func() map[string][]float64 { return map[string][]float64{"chat": {3, 1, 0.5}} })
	page := scrape(set)
	for _, want := range []string{
		`rockwind_server_pace{service="chat",quantile="0"} 0.5`, `rockwind_server_pace{service="chat",quantile="0.5"} 1`,
		`rockwind_server_pace{service="chat",quantile="1"} 3`, `rockwind_server_pace_count{service="chat"} 3`,
	} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
}
