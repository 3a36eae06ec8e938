package sitemetrics_test

import (
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/loadshare"
)

func TestScrapeShowsTheTrafficOfLoadDigests(t *testing.T) {
	set := newSet("router")
	set.LoadTraffic(func() loadshare.Traffic {
		return loadshare.Traffic{Datagrams: 3, Bytes: 600, CrossZoneBytes: 200, Oversized: 4, RelaysSilent: true}
	})
	page := scrape(set)
	for _, want := range []string{
		"rockwind_load_digests_sent_total 3", "rockwind_load_digest_sent_bytes_total 600", "rockwind_load_digest_sent_other_zones_bytes_total 200",
		"rockwind_load_digests_unsent_total 4", "rockwind_load_relays_missed 1",
	} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
}
