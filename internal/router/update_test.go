package router_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/topology"
)

// ready returns the directory entry of a ready server.
func ready(id int, sequence uint64, slots uint32) *rockwindpb.Server {
	return &rockwindpb.Server{
		Id: fmt.Sprint("server-", id), Service: "app", Address: fmt.Sprintf("10.0.%d.%d:1", id/250, id%250),
		Slots: slots, State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: sequence, Revision: sequence,
	}
}

// viewsOf returns a directory and its views after successive changes of single servers.
func viewsOf(servers, changes int) []*directory.View {
	full := &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true}
	for i := range servers {
		full.Servers = append(full.Servers, ready(i, 1, 4))
	}
	all := []*directory.View{directory.Merge(nil, full)}
	for change := range changes {
		revision := uint64(change) + 2
		news := &rockwindpb.WatchDirectoryResponse{Revision: revision, Servers: []*rockwindpb.Server{ready(change%servers, revision, 5)}}
		all = append(all, directory.Merge(all[change], news))
	}
	return all
}

// leasedServers returns the servers that a new dispatcher leases after the given updates, until
// none has capacity.
func leasedServers(views []*directory.View) []string {
	dispatcher := router.NewDispatcher("zone", topology.Map{}, featuregate.Set{})
	for _, view := range views {
		dispatcher.Update(view)
		dispatcher.Update(view)
	}
	var names []string
	for {
		lease, err := dispatcher.Acquire(context.Background(), router.AcquireRequest{Service: "app"})
		if err != nil {
			slices.Sort(names)
			return names
		}
		names = append(names, lease.ID)
	}
}

// TestDispatcherFollowsChanges covers servers that are added, drained, restored, changed, and
// missing from a full update.
func TestDispatcherFollowsChanges(t *testing.T) {
	draining := ready(1, 3, 1)
	draining.State = rockwindpb.ServerState_SERVER_STATE_DRAINING
	var views []*directory.View
	var view *directory.View
	for i, step := range []struct {
		name   string
		full   bool
		update []*rockwindpb.Server
		want   []string
	}{
		{"two", true, []*rockwindpb.Server{ready(0, 1, 1), ready(1, 1, 1)}, []string{"server-0", "server-1"}},
		{"one more", false, []*rockwindpb.Server{ready(2, 2, 1)}, []string{"server-0", "server-1", "server-2"}},
		{"one drains", false, []*rockwindpb.Server{draining}, []string{"server-0", "server-2"}},
		{"it is back", false, []*rockwindpb.Server{ready(1, 4, 1)}, []string{"server-0", "server-1", "server-2"}},
		{"two slots", false, []*rockwindpb.Server{ready(2, 5, 2)}, []string{"server-0", "server-1", "server-2", "server-2"}},
		{"the whole", true, []*rockwindpb.Server{ready(0, 1, 1), ready(2, 5, 2)}, []string{"server-0", "server-2", "server-2"}},
	} {
		view = directory.Merge(view, &rockwindpb.WatchDirectoryResponse{Revision: uint64(i) + 1, Full: step.full, Servers: step.update})
		views = append(views, view)
		if got := leasedServers(views); !slices.Equal(got, step.want) {
			t.Errorf("%s: requests go to %v, want %v", step.name, got, step.want)
		}
	}
}

// BenchmarkUpdate measures an update with one changed server and an update without changes.
func BenchmarkUpdate(b *testing.B) {
	const changes = 100
	for _, servers := range []int{48, 1200, 3000} {
		b.Run(fmt.Sprintf("change/servers=%d", servers), func(b *testing.B) {
			var all []*directory.View
			dispatcher := router.NewDispatcher("zone", topology.Map{}, featuregate.Set{})
			for i := 0; b.Loop(); i++ {
				if i%changes == 0 {
					b.StopTimer()
					all = viewsOf(servers, changes)
					dispatcher = router.NewDispatcher("zone", topology.Map{}, featuregate.Set{})
					dispatcher.Update(all[0])
					b.StartTimer()
				}
				dispatcher.Update(all[i%changes+1])
			}
		})
		b.Run(fmt.Sprintf("known/servers=%d", servers), func(b *testing.B) {
			view := viewsOf(servers, 0)[0]
			dispatcher := router.NewDispatcher("zone", topology.Map{}, featuregate.Set{})
			for b.Loop() {
				dispatcher.Update(view)
			}
		})
	}
}
