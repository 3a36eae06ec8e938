package sitemetrics_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/sitemetrics"
)

// newSet returns the metrics of a process that discards its log.
func newSet(role string) *sitemetrics.Set {
	return sitemetrics.New(role, decision.NewRecorder(&log.Logger{Handler: discard.New(), Level: log.InfoLevel}, time.Now))
}

// scrape returns the metrics page.
func scrape(set *sitemetrics.Set) string {
	recorder := httptest.NewRecorder()
	set.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, sitemetrics.Path, nil))
	return recorder.Body.String()
}

func TestScrapeShowsTokenCountsOfRoutes(t *testing.T) {
	set := newSet("store")
	waiting := uint64(7)
	set.Limits(func() []sitemetrics.Limit { return []sitemetrics.Limit{sitemetrics.NewLimit("batch", 1000, waiting)} })
	for _, waiting = range []uint64{7, 990} {
		page := scrape(set)
		for _, want := range []string{`rockwind_route_limit_tokens{route="batch"} 1000`, `rockwind_route_waiting_tokens{route="batch"} `} {
			if !strings.Contains(page, want) {
				t.Errorf("the page lacks %s", want)
			}
		}
	}
}
