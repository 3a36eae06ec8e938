package router_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/zonedrain"
)

// zonedView returns a directory with two servers of one slot in each zone.
func zonedView(zones ...string) *directory.View {
	full := &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true}
	for place, zone := range zones {
		for i := range 2 {
			server := ready(2*place+i, 1, 1)
			server.Id, server.Zone = fmt.Sprint(zone, i), zone
			full.Servers = append(full.Servers, server)
		}
	}
	return directory.Merge(nil, full)
}

func drainsOf(revision uint64, zones ...string) *zonedrain.List {
	var drains []*rockwindpb.ZoneDrain
	for _, zone := range zones {
		drains = append(drains, &rockwindpb.ZoneDrain{Zone: zone})
	}
	return zonedrain.NewList(revision, drains)
}

// TestDrainedZonesGetNothingNew checks that neither requests nor batch items start in a drained
// zone, whether the drain is known before or after the directory, and that waiting requests are
// served once it ends.
func TestDrainedZonesGetNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := router.NewDispatcher("east", topology.Map{}, featuregate.Set{})
		dispatcher.SetZoneDrains(drainsOf(1, "east"))
		dispatcher.Update(zonedView("east", "west"))
		view := zonedView("east", "west")
		for range 2 {
			lease, err := dispatcher.Acquire(context.Background(), router.AcquireRequest{Service: "app"})
			if err != nil {
				t.Fatal(err)
			}
			if server, _ := view.Server(lease.ID); server.GetZone() == "east" {
				t.Fatalf("a request goes to %s in a drained zone", lease.ID)
			}
			if item := dispatcher.TryAcquire("app", balance.Demand{Batch: true}); item != nil {
				if server, _ := view.Server(item.ID); server.GetZone() == "east" {
					t.Fatalf("an item goes to %s in a drained zone", item.ID)
				}
				item.Abandon()
			}
		}
		waiting := make(chan *router.Lease, 1)
		go func() {
			lease, _ := dispatcher.Acquire(context.Background(), router.AcquireRequest{Service: "app", MaxWait: time.Minute})
			waiting <- lease
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		if len(waiting) > 0 {
			t.Fatal("a third request finds room while a zone is drained")
		}
		dispatcher.SetZoneDrains(drainsOf(2))
		if lease := <-waiting; lease == nil {
			t.Fatal("a request that waited finds no room after the drain")
		}
	})
}

// TestServiceInDrainedZonesRefusesAtOnce checks that requests do not wait if all servers of the
// service are in drained zones.
func TestServiceInDrainedZonesRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := router.NewDispatcher("east", topology.Map{}, featuregate.Set{})
		dispatcher.Update(zonedView("east"))
		dispatcher.SetZoneDrains(drainsOf(1, "east"))
		began := time.Now()
		_, err := dispatcher.Acquire(context.Background(), router.AcquireRequest{Service: "app", MaxWait: time.Minute})
		refused := fault.From(err)
		if refused == nil || refused.Ran != fault.NotRun || refused.RetryAfter <= 0 || time.Since(began) > 0 {
			t.Fatalf("the request is answered %v after %v", err, time.Since(began))
		}
	})
}

// TestEndOfDrainRestoresServers checks that servers which left or are draining stay out, and that
// the others start as cold.
func TestEndOfDrainRestoresServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := router.NewDispatcher("east", topology.Map{}, featuregate.Set{})
		index, err := configuration.NewIndex(&rockwindpb.Configuration{
			Number: 1, Services: []*rockwindpb.Service{{Name: "app", ColdMs: 3000, ColdRequestsPerSecond: 2}},
		})
		if err != nil {
			t.Fatal(err)
		}
		dispatcher.Configure(index)
		dispatcher.SetZoneDrains(drainsOf(1, "east"))
		full := &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true}
		for place, state := range []rockwindpb.ServerState{
			rockwindpb.ServerState_SERVER_STATE_READY, rockwindpb.ServerState_SERVER_STATE_DRAINING, rockwindpb.ServerState_SERVER_STATE_GONE,
		} {
			server := ready(place, 1, 8)
			server.Zone, server.State = "east", state
			full.Servers = append(full.Servers, server)
		}
		dispatcher.Update(directory.Merge(nil, full))
		dispatcher.SetZoneDrains(drainsOf(2))
		sent := func() (count int) {
			for {
				lease := dispatcher.TryAcquire("app", balance.Demand{})
				if lease == nil {
					return count
				}
				if lease.ID != "server-0" {
					t.Fatalf("a request goes to %s, which has left or leaves", lease.ID)
				}
				count++
			}
		}
		if cold := sent(); cold != 1 {
			t.Errorf("%d requests at once go to a server that may be cold and bears two a second", cold)
		}
		time.Sleep(4 * time.Second)
		if warm := sent(); warm != 7 {
			t.Errorf("%d requests find one of seven slots left after the cold time", warm)
		}
	})
}
