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

func TestScrapeShowsTheCountsOfRoutes(t *testing.T) {
	set := sitemetrics.New("store", decision.NewRecorder(&log.Logger{Handler: discard.New(), Level: log.InfoLevel}, time.Now))
	waiting := uint64(7)
	set.Limits(func() []sitemetrics.Limit { return []sitemetrics.Limit{sitemetrics.NewLimit("batch", 1000, waiting)} })
	for _, waiting = range []uint64{7, 990} {
		answer := httptest.NewRecorder()
		set.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, sitemetrics.Path, nil))
		page := answer.Body.String()
		for _, want := range []string{`rockwind_route_limit_tokens{route="batch"} 1000`, `rockwind_route_waiting_tokens{route="batch"} `} {
			if !strings.Contains(page, want) {
				t.Errorf("the page lacks %s", want)
			}
		}
	}
}
