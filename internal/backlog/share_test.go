package backlog_test

import (
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/backlog"
)

// jobs returns items of a tenant that are submitted at once, run for five seconds and are due 18 s
// later.
func jobs(tenant string, count int, submitted float64) []backlog.Item {
	var items []backlog.Item
	for range count {
		items = append(items, at(submitted, submitted+18, 5).WithTenant(tenant, 0))
	}
	return items
}

// orderShared orders the items of a single shard.
func orderShared(waiting, running []backlog.Item, now time.Time) []backlog.Item {
	ordered, _ := backlog.OrderShared(waiting, len(running), backlog.NewUsage(running, nil), now, same)
	return ordered
}

// onTime simulates the items with eight concurrent runs and counts those that are on time.
func onTime(ordered []backlog.Item, now time.Time) map[string]int {
	const runs = 8
	done := make(map[string]int)
	for place, item := range ordered {
		ends := now.Add(time.Duration(place/runs+1) * 5 * time.Second)
		for _, tenant := range []string{"flood", "small"} {
			if item == item.WithTenant(tenant, 0) && item.OnTime(ends.Add(-5*time.Second)) {
				done[tenant]++
			}
		}
	}
	return done
}

// TestManyItemsOfOneTenantDoNotMakeOthersLate guards against ordering by due time alone, where the
// other tenant's items came after 200 earlier ones.
func TestManyItemsOfOneTenantDoNotMakeOthersLate(t *testing.T) {
	waiting := append(jobs("flood", 200, 0), jobs("small", 8, 1)...)
	now := start.Add(time.Second)
	running := jobs("flood", 8, 0)
	if before := onTime(backlog.Order(waiting, now, same), now); before["small"] != 0 {
		t.Fatalf("ordering by due time alone must make the small tenant late: %v", before)
	}
	after := onTime(orderShared(waiting, running, now), now)
	if after["small"] != 8 || after["flood"] < 12 {
		t.Fatalf("items on time: %v", after)
	}
}

// TestItemsAreOrderedByDueTimeIfAllFit checks that tenants do not share if all items can be on
// time.
func TestItemsAreOrderedByDueTimeIfAllFit(t *testing.T) {
	waiting := append(jobs("flood", 6, 0), jobs("small", 2, 1)...)
	now := start.Add(time.Second)
	shared := orderShared(waiting, jobs("flood", 8, 0), now)
	if !slices.Equal(shared, backlog.Order(waiting, now, same)) {
		t.Fatalf("the order is %v", shared)
	}
}

func TestItemsWithoutTenantsAreOrderedByDueTime(t *testing.T) {
	waiting := append(jobs("", 150, 2), jobs("", 150, 0)...)
	now := start.Add(2 * time.Second)
	shared := orderShared(waiting, jobs("", 8, 0), now)
	if !slices.Equal(shared, backlog.Order(waiting, now, same)) {
		t.Fatal("the order differs from that without sharing")
	}
}
