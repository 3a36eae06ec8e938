package site_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// regionSettings returns the settings of a process in zone north-a of a site with two regions.
func regionSettings(name string) *rockwindpb.SiteSettings {
	return &rockwindpb.SiteSettings{Name: name, Zone: "north-a", Seeds: []string{"10.0.9.9:1"}, ZoneRegions: []*rockwindpb.ZoneRegion{
		{Zone: "north-a", Region: "north"}, {Zone: "north-b", Region: "north"}, {Zone: "south-a", Region: "south"}, {Zone: "south-b", Region: "south"},
	}}
}

// newRegionWatcher returns a watcher in north-a whose directory lists the given coordinators.
func newRegionWatcher(t *testing.T, name string, machines []*rockwindpb.Machine) *site.Watcher {
	t.Helper()
	watcher, err := site.NewWatcher(regionSettings(name), http.DefaultClient, "")
	if err != nil {
		t.Fatal(err)
	}
	watcher.SetDirectory(directory.Merge(nil, &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true, Machines: machines}))
	return watcher
}

// Guards against watches at a coordinator of another region although one of the own region answers, and
// against a watcher that calls no other ones if none of the region answers.
func TestCoordinatorsAreTriedByZoneThenRegion(t *testing.T) {
	machines := []*rockwindpb.Machine{
		newCoordinatorMachine("10.0.0.1:1", "south-a"), newCoordinatorMachine("10.0.0.2:1", "north-b"), newCoordinatorMachine("10.0.0.3:1", "unlisted"),
		newCoordinatorMachine("10.0.0.4:1", "north-a"), newCoordinatorMachine("10.0.0.5:1", "south-b"),
	}
	for i := range 20 {
		watcher := newRegionWatcher(t, fmt.Sprint("front-", i), machines)
		got := watcher.Coordinators()
		if len(got) != 6 || got[0] != "10.0.0.4:1" || got[1] != "10.0.0.2:1" || got[5] != "10.0.9.9:1" {
			t.Fatalf("the coordinators are tried in the order %v", got)
		}
		watcher.Avoid("10.0.0.4:1")
		watcher.Avoid("10.0.0.2:1")
		got = watcher.Coordinators()
		if others := []string{"10.0.0.1:1", "10.0.0.3:1", "10.0.0.5:1"}; len(got) != 6 || !slices.Contains(others, got[0]) || got[4] != "10.0.0.4:1" {
			t.Fatalf("without those of the region, the coordinators are tried in the order %v", got)
		}
	}
}

// Guards against all watchers of a region changing to the same coordinator of another region.
func TestWatchersSpreadOverCoordinatorsOfOtherRegions(t *testing.T) {
	const processes = 300
	machines := []*rockwindpb.Machine{newCoordinatorMachine("10.0.0.9:1", "north-b")}
	for i := range 4 {
		machines = append(machines, newCoordinatorMachine(fmt.Sprintf("10.0.0.%d:1", i), []string{"south-a", "south-b"}[i%2]))
	}
	first := map[string]int{}
	for i := range processes {
		watcher := newRegionWatcher(t, fmt.Sprint("front-", i), machines)
		watcher.Avoid("10.0.0.9:1")
		first[watcher.Coordinators()[0]]++
	}
	for address, count := range first {
		if count > processes/2 {
			t.Errorf("%d of %d processes prefer %s", count, processes, address)
		}
	}
	if len(first) != 4 {
		t.Errorf("the processes prefer %v", first)
	}
}
