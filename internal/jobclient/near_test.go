package jobclient_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobclient"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// newZonedClient returns a client in north-a of stores in the given zones, of which none leads, and
// the stores. record is called with the zone of each store that is asked.
func newZonedClient(t *testing.T, sites topology.Map, record func(zone string), zones ...string) *jobclient.Client {
	t.Helper()
	site := fakeSite{view: directory.Merge(nil, &rockwindpb.WatchDirectoryResponse{
		Revision: 1, Full: true, StoreCluster: &rockwindpb.FoundRequest{ClusterId: "c", Groups: []*rockwindpb.FoundingGroup{{Group: 1}}},
	})}
	network := newMemoryNetwork()
	for i, zone := range zones {
		store := &fakeStore{submit: func(context.Context) error {
			record(zone)
			return fault.New(fault.NotLeader, "not the leader", "ask another").WithRan(fault.NotRun)
		}}
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		network.serve(t, address, rockwindpb.NewJobStoreServiceServer(store))
		site.stores = append(site.stores, &rockwindpb.Machine{Name: address, Address: address, Zone: zone})
	}
	client := jobclient.New(site, network.client(t))
	client.PreferNear("north-a", sites)
	return client
}

// callTimeout is the limit of a submission or read by a client that gives up after 5 s: a router answers 100 ms
// before. Without it, a call that is never answered would hang until the time limit of the test run.
const callTimeout = 4900 * time.Millisecond

// callContext returns a context that ends after callTimeout.
func callContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	t.Cleanup(cancel)
	return ctx
}

// Guards against calls that cross regions to find the leader of a shard although near stores know it,
// and against stores of other regions that are never asked.
func TestNearStoresAreAskedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sites := topology.New(map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"})
		for range 6 {
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			zones := make(chan string, 1000)
			client := newZonedClient(t, sites, func(zone string) { zones <- zone }, "south-a", "north-b", "south-a", "north-a")
			go func() { _ = client.Submit(ctx, &rockwindpb.StoredJob{Id: "job"}, 0) }()
			var asked []string
			for range 4 {
				select {
				case zone := <-zones:
					asked = append(asked, zone)
				case <-ctx.Done():
					t.Fatalf("only the stores %v are asked", asked)
				}
			}
			cancel()
			if got := strings.Join(asked, " "); got != "north-a north-b south-a south-a" {
				t.Fatalf("the stores are asked in the order %s", got)
			}
		}
	})
}
