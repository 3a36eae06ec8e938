package sitemetrics_test

import (
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/sitemetrics"
)

func TestScrapeShowsWhichItemsAreShortAndHeldBack(t *testing.T) {
	set := newSet("store")
	set.ShortItems(func() []sitemetrics.ShortItems {
		return []sitemetrics.ShortItems{{Service: "app", Here: 40, Elsewhere: 7, HeldBack: 5}}
	})
	page := scrape(set)
	for _, want := range []string{
		`rockwind_short_items{elsewhere="false",service="app"} 40`,
		`rockwind_short_items{elsewhere="true",service="app"} 7`,
		`rockwind_held_back_items{service="app"} 5`,
	} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
}
