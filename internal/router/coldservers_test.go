package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/coldstart"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/topology"
)

// TestServerThatTurnsColdIsSpared guards against a server that turns cold in use and is sent requests at
// once: the rate counts from the last request before, and ends with the cold time.
func TestServerThatTurnsColdIsSpared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := router.NewDispatcher("east", topology.Map{}, featuregate.Set{})
		index, err := configuration.NewIndex(&rockwindpb.Configuration{
			Number: 1, Services: []*rockwindpb.Service{{Name: "app", ColdMs: 3000, ColdRequestsPerSecond: 2}},
		})
		if err != nil {
			t.Fatal(err)
		}
		dispatcher.Configure(index)
		dispatcher.Update(directory.Merge(nil, &rockwindpb.WatchDirectoryResponse{
			Revision: 1, Full: true, Servers: []*rockwindpb.Server{ready(0, 1, 8)},
		}))
		sent := func() (count int) {
			for dispatcher.TryAcquire("app", balance.Demand{}) != nil {
				count++
			}
			return count
		}
		time.Sleep(time.Second)
		if dispatcher.TryAcquire("app", balance.Demand{}) == nil {
			t.Fatal("a warm server is sent nothing")
		}
		dispatcher.SetColdServers(coldstart.NewList(1, []*rockwindpb.ColdServer{
			{Id: "server-0", ColdMs: 3000, SinceUnixMs: time.Now().UnixMilli()},
		}))
		if count := sent(); count != 0 || dispatcher.ColdServers() != 1 {
			t.Errorf("%d requests at once go to one of %d cold servers that got one before", count, dispatcher.ColdServers())
		}
		time.Sleep(600 * time.Millisecond)
		if count := sent(); count != 1 {
			t.Errorf("%d requests go to a cold server 600 ms after the last one, want 1", count)
		}
		time.Sleep(3 * time.Second)
		if count := sent(); count != 6 || dispatcher.ColdServers() != 0 {
			t.Errorf("%d requests find one of six slots left after the cold time, and %d servers are cold", count, dispatcher.ColdServers())
		}
	})
}

// Guards against a health answer that is forgotten with the next change of the server's directory entry, that
// shortens a known cold time, that is reported although it was known, or that has no bound.
func TestHealthAnswerMakesServerCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := router.NewDispatcher("east", topology.Map{}, featuregate.Set{})
		index, err := configuration.NewIndex(&rockwindpb.Configuration{
			Number: 1, Services: []*rockwindpb.Service{{Name: "app", ColdMs: 3000, ColdRequestsPerSecond: 2}, {Name: "unlimited"}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if dispatcher.ObserveCold("server-0", time.Second) {
			t.Error("a process without a directory reports a cold server")
		}
		dispatcher.Configure(index)
		view := func(revision uint64, bornUnixMs int64) *directory.View {
			server, unlimited := ready(0, 1, 8), ready(1, 1, 8)
			server.Sequence, server.BornUnixMs, server.ChangedUnixMs = revision, bornUnixMs, time.Now().UnixMilli()
			unlimited.Service = "unlimited"
			return directory.Merge(nil, &rockwindpb.WatchDirectoryResponse{Revision: revision, Full: true, Servers: []*rockwindpb.Server{server, unlimited}})
		}
		dispatcher.Update(view(1, 7))
		for _, each := range []struct {
			id    string
			cold  time.Duration
			known bool
		}{
			{"server-0", 10 * time.Second, false}, {"server-0", 10 * time.Second, true}, {"server-0", time.Second, true}, {"server-0", 0, true},
			{"server-1", 10 * time.Second, true}, {"server-2", 10 * time.Second, true},
		} {
			if extends := dispatcher.ObserveCold(each.id, each.cold); extends == each.known {
				t.Errorf("an answer of %s with %v extends what is known: %v", each.id, each.cold, extends)
			}
		}
		dispatcher.Update(view(2, 7))
		dispatcher.SetZoneDrains(drainsOf(1, "nowhere"))
		dispatcher.SetColdServers(coldstart.NewList(1, []*rockwindpb.ColdServer{
			{Id: "server-0", BornUnixMs: 7, ColdMs: 1000, SinceUnixMs: time.Now().UnixMilli()},
		}))
		time.Sleep(9500 * time.Millisecond)
		if dispatcher.ColdServers() != 1 {
			t.Error("a cold time of 10 s ended before 9.5 s")
		}
		time.Sleep(time.Second)
		if dispatcher.ColdServers() != 0 {
			t.Error("a cold time of 10 s lasts after 10.5 s")
		}
		if !dispatcher.ObserveCold("server-0", 10*time.Second) {
			t.Error("an answer after the end of the cold time does not extend it")
		}
		dispatcher.Update(view(3, 8))
		if dispatcher.ColdServers() != 0 {
			t.Error("the cold time of a start counts for the next one under the same identifier")
		}
		dispatcher.ObserveCold("server-0", 40*24*time.Hour)
		time.Sleep(10*time.Minute + time.Second)
		if dispatcher.ColdServers() != 0 {
			t.Error("an implausible cold time lasts for more than ten minutes")
		}
	})
}
