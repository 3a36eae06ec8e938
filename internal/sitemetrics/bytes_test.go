package sitemetrics_test

import (
	"net/netip"
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/traffic"
)

// Guards against exchanged directions, and against labels that do not name the distance and call.
func TestScrapeShowsBytesByDistanceAndCall(t *testing.T) {
	counter := traffic.NewCounter("a", topology.New(map[string]string{"a": "north", "b": "south"}))
	counter.SetPeers(map[string]string{"10.0.0.1:80": "b"})
	peer := netip.MustParseAddrPort("10.0.0.1:80")
	counter.AddDatagram(traffic.Sent, peer, traffic.LoadDigests, 30)
	counter.AddDatagram(traffic.Received, peer, traffic.LoadDigests, 40)
	set := newSet("router")
	set.Traffic(counter)
	page := scrape(set)
	for _, want := range []string{
		`rockwind_traffic_sent_bytes_total{call="load_digests",distance="other_region"} 30`,
		`rockwind_traffic_received_bytes_total{call="load_digests",distance="other_region"} 40`,
	} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
}
