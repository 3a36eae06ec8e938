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
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/sitemetrics"
)

func TestScrapeShowsTheTrafficOfLoadDigests(t *testing.T) {
	set := sitemetrics.New("router", decision.NewRecorder(&log.Logger{Handler: discard.New(), Level: log.InfoLevel}, time.Now))
	set.LoadTraffic(func() loadshare.Traffic { return loadshare.Traffic{Datagrams: 3, Bytes: 600, OtherZones: 200} })
	answer := httptest.NewRecorder()
	set.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, sitemetrics.Path, nil))
	for _, want := range []string{
		"rockwind_load_digests_sent_total 3", "rockwind_load_digest_sent_bytes_total 600", "rockwind_load_digest_sent_other_zones_bytes_total 200",
	} {
		if !strings.Contains(answer.Body.String(), want) {
			t.Errorf("the page lacks %s", want)
		}
	}
}
