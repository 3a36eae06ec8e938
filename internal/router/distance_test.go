package router_test

import (
	"context"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/topology"
)

// regionDispatcher returns a dispatcher in north-a with one server with a slot in each listed zone.
func regionDispatcher(sites topology.Map, zones ...string) *router.Dispatcher {
	register := directory.New()
	for _, zone := range zones {
		register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
			Id: "server-" + zone, Service: "app", Address: zone + ":1", Zone: zone, Slots: 1,
			State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: 1,
		}}})
	}
	dispatcher := router.NewDispatcher("north-a", sites, featuregate.Set{})
	dispatcher.Update(register.View())
	return dispatcher
}

func northAndSouth() topology.Map {
	return topology.New(map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"})
}

// Guards against a dispatcher that does not pass the topology to its pools: requests leave the region
// although it has room, or wait although another region has.
func TestRequestsGoToTheNearestServerWithRoom(t *testing.T) {
	dispatcher := regionDispatcher(northAndSouth(), "south-a", "north-b", "north-a")
	for _, want := range []string{"server-north-a", "server-north-b", "server-south-a"} {
		lease, err := dispatcher.Acquire(context.Background(), router.AcquireRequest{Service: "app", StartBy: time.Now().Add(time.Second), MaxWait: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		if lease.ID != want {
			t.Fatalf("the request goes to %s, want %s", lease.ID, want)
		}
		defer lease.Done(health.Success, 0)
	}
	for distance, count := range dispatcher.StartsByDistance() {
		if count != 1 {
			t.Errorf("%d requests were counted for %s", count, distance)
		}
	}
}

// Guards against measurements of the own region or of unknown addresses that count for other regions,
// and against measurements at sites with one region.
func TestConnectTimesMeasureOtherRegions(t *testing.T) {
	connect := func(dispatcher *router.Dispatcher) map[string]time.Duration {
		for range 3 {
			dispatcher.RecordConnect("south-a:1", 18*time.Millisecond)
			dispatcher.RecordConnect("north-b:1", 3*time.Millisecond)
			dispatcher.RecordConnect("unknown:1", 50*time.Millisecond)
		}
		return dispatcher.RoundTrips()
	}
	got := connect(regionDispatcher(northAndSouth(), "south-a", "north-b"))
	if len(got) != 1 || got["south-a"] != 18*time.Millisecond {
		t.Errorf("the round-trip times are %v", got)
	}
	if got := connect(regionDispatcher(topology.Map{}, "south-a", "north-b")); len(got) != 0 {
		t.Errorf("the round-trip times of a site with one region are %v", got)
	}
}

// Guards against load queries across regions, and against servers that nobody queries because their
// region has too few stores.
func TestServersAreQueriedFromTheirRegion(t *testing.T) {
	register := directory.New()
	for name, zone := range map[string]string{"store-1": "north-a", "store-2": "north-b", "store-3": "south-a", "store-4": "unlisted", "store-5": "unlisted"} {
		register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Announce{Announce: &rockwindpb.Machine{
			Name: name, Role: rockwindpb.SiteRole_SITE_ROLE_STORE, Address: "127.0.0.1:1", Zone: zone,
		}}})
	}
	names, byRegion := router.SurveyingProcesses(regionDispatcher(northAndSouth()), register.View())
	if len(names) != 5 || len(byRegion) != 1 || len(byRegion["north"]) != 2 {
		t.Errorf("all: %v, by region: %v", names, byRegion)
	}
	if _, byRegion := router.SurveyingProcesses(regionDispatcher(topology.Map{}), register.View()); len(byRegion) != 0 {
		t.Errorf("by region at a site with one region: %v", byRegion)
	}
}
