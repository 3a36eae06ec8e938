package sitemetrics_test

import (
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/sitemetrics"
)

func TestScrapeShowsWaitingRequestsAndHeldBackTenants(t *testing.T) {
	set := newSet("router")
	held := []sitemetrics.HeldBackTenant{{Tenant: "flood", Waiting: 20}, {Tenant: "flood", Waiting: 3}}
	set.Waiting(func() []sitemetrics.Waiting {
		return []sitemetrics.Waiting{sitemetrics.NewWaiting("app", 25, 400, 6, true, held)}
	})
	page := scrape(set)
	for _, want := range []string{
		`rockwind_waiting_requests{elsewhere="false",service="app"} 25`,
		`rockwind_waiting_requests{elsewhere="true",service="app"} 400`,
		`rockwind_room_scarce{service="app"} 1`,
		`rockwind_promised_returns{service="app"} 6`,
		`rockwind_tenant_held_back_requests{service="app",tenant="flood"} 23`,
	} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
}
