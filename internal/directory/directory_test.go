package directory_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	ready    = rockwindpb.ServerState_SERVER_STATE_READY
	draining = rockwindpb.ServerState_SERVER_STATE_DRAINING
	gone     = rockwindpb.ServerState_SERVER_STATE_GONE
	silent   = rockwindpb.ServerState_SERVER_STATE_SILENT
)

func report(id, address string, state rockwindpb.ServerState, sequence uint64) *rockwindpb.DirectoryCommand {
	return &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{
		Report: &rockwindpb.Server{Id: id, Service: "s", Address: address, State: state, Sequence: sequence},
	}}
}

func leave(id string) *rockwindpb.DirectoryCommand {
	return &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Leave{Leave: &rockwindpb.LeaveServerRequest{Id: id}}}
}

func silence(ids ...string) *rockwindpb.DirectoryCommand {
	return &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Silence{Silence: &rockwindpb.SilenceServers{Ids: ids}}}
}

func announce(name string, role rockwindpb.SiteRole, disk uint64, at int64) *rockwindpb.DirectoryCommand {
	return &rockwindpb.DirectoryCommand{NowUnixMs: at, Command: &rockwindpb.DirectoryCommand_Announce{
		Announce: &rockwindpb.Machine{Name: name, Role: role, DiskId: disk, Address: name, Bootstrap: true},
	}}
}

func state(d *directory.Directory, id string) rockwindpb.ServerState {
	server, _ := d.View().Server(id)
	return server.GetState()
}

func TestLateReportsReviveNobody(t *testing.T) {
	d := directory.New()
	d.Apply(report("a", "x", ready, 3))
	d.Apply(report("a", "x", draining, 4))
	d.Apply(report("a", "x", ready, 3))
	d.Apply(report("a", "x", ready, 5))
	if got := state(d, "a"); got != draining {
		t.Fatalf("draining server became %v", got)
	}
	d.Apply(leave("a"))
	d.Apply(report("a", "x", ready, 9))
	if got := state(d, "a"); got != gone {
		t.Fatalf("server that left became %v", got)
	}
	d.Apply(leave("never-seen"))
	d.Apply(report("never-seen", "y", ready, 1))
	if got := state(d, "never-seen"); got != gone {
		t.Fatalf("server whose leave preceded its first report became %v", got)
	}
}

func TestNewIncarnationTakesTheAddress(t *testing.T) {
	d := directory.New()
	d.Apply(report("old", "x", ready, 9))
	d.Apply(report("new", "x", ready, 1))
	if state(d, "old") != gone || state(d, "new") != ready {
		t.Fatalf("old incarnation is %v, new one is %v", state(d, "old"), state(d, "new"))
	}
}

func TestSilentServerIsBackWithItsNextReport(t *testing.T) {
	d := directory.New()
	d.Apply(report("a", "x", ready, 1))
	d.Apply(report("b", "y", draining, 1))
	d.Apply(silence("a", "b"))
	if state(d, "a") != silent || state(d, "b") != gone {
		t.Fatalf("a is %v, b is %v", state(d, "a"), state(d, "b"))
	}
	d.Apply(report("a", "x", ready, 2))
	if got := state(d, "a"); got != ready {
		t.Fatalf("a is %v", got)
	}
}

func TestAnnouncementKeepsMachineRetiring(t *testing.T) {
	d := directory.New()
	d.Apply(announce("s", rockwindpb.SiteRole_SITE_ROLE_STORE, 1, 0))
	d.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Retire{Retire: &rockwindpb.RetireMachine{Name: "s"}}})
	d.Apply(announce("s", rockwindpb.SiteRole_SITE_ROLE_STORE, 2, 0))
	if machine, _ := d.View().Machine("s"); !machine.GetRetiring() || machine.GetDiskId() != 2 {
		t.Fatalf("unexpected machine: %v", machine)
	}
}

func TestStoresAreFoundedOnceWithAllThatAppeared(t *testing.T) {
	d := directory.New()
	role := rockwindpb.SiteRole_SITE_ROLE_STORE
	start := time.UnixMilli(10_000)
	for i := range 3 {
		d.Apply(announce(fmt.Sprintf("s%d", i), role, uint64(i+1), start.UnixMilli()))
		if directory.PlanStoreCluster(d.View(), directory.FoundingPolicy{Replicas: 3}, start.Add(directory.FoundingQuietPeriod-time.Millisecond)) != nil {
			t.Fatal("founded before the quiet period was over")
		}
	}
	founding := directory.PlanStoreCluster(d.View(), directory.FoundingPolicy{Replicas: 3}, start.Add(directory.FoundingQuietPeriod))
	if len(founding.GetGroups()) != 3 {
		t.Fatalf("unexpected founding: %v", founding)
	}
	for _, group := range founding.GetGroups() {
		if len(group.GetMembership().GetMembers()) != 3 {
			t.Fatalf("unexpected members: %v", group)
		}
	}
	if !proto.Equal(founding, directory.PlanStoreCluster(d.View(), directory.FoundingPolicy{Replicas: 3}, start.Add(time.Hour))) {
		t.Fatal("the same stores yield a different founding")
	}
	found := &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_FoundStores{FoundStores: founding}}
	d.Apply(found)
	other := proto.CloneOf(founding)
	other.ClusterId = "other"
	d.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_FoundStores{FoundStores: other}})
	if got := d.View().StoreCluster().GetClusterId(); got != founding.GetClusterId() {
		t.Fatalf("a second founding changed the cluster to %s", got)
	}
	if directory.PlanStoreCluster(d.View(), directory.FoundingPolicy{Replicas: 3}, start.Add(time.Hour)) != nil {
		t.Fatal("founded twice")
	}
}

func TestTooFewStoresAreWaitedForOnlySoLong(t *testing.T) {
	d := directory.New()
	start := time.UnixMilli(10_000)
	d.Apply(announce("s0", rockwindpb.SiteRole_SITE_ROLE_STORE, 1, start.UnixMilli()))
	if directory.PlanStoreCluster(d.View(), directory.FoundingPolicy{Replicas: 3}, start.Add(directory.FoundingTimeout-time.Millisecond)) != nil {
		t.Fatal("founded with one store of three before the timeout")
	}
	if directory.PlanStoreCluster(d.View(), directory.FoundingPolicy{Replicas: 3}, start.Add(directory.FoundingTimeout)) == nil {
		t.Fatal("not founded after the timeout")
	}
}

// TestWatchersAndReplicasAgree applies random commands to two replicas, one of which is
// restored from snapshots, and to a watcher that misses some revisions. All must hold the
// same servers.
func TestWatchersAndReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := directory.New(), directory.New()
		var held *directory.View
		now := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 90_000).Draw(t, "pass")
			id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server")
			var command *rockwindpb.DirectoryCommand
			switch rapid.IntRange(0, 3).Draw(t, "command") {
			case 0:
				command = report(id, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address"), ready, rapid.Uint64Range(0, 5).Draw(t, "sequence"))
			case 1:
				command = report(id, "x", draining, rapid.Uint64Range(0, 5).Draw(t, "sequence"))
			case 2:
				command = leave(id)
			case 3:
				command = silence("a", "b")
			}
			command.NowUnixMs = now
			before := map[string]rockwindpb.ServerState{}
			for _, server := range first.View().Servers() {
				before[server.GetId()] = server.GetState()
			}
			first.Apply(command)
			second.Apply(command)
			for _, server := range first.View().Servers() {
				was := before[server.GetId()]
				if (was == gone && server.GetState() != gone) || (was == draining && server.GetState() != draining && server.GetState() != gone) {
					t.Fatalf("server %s went from %v to %v", server.GetId(), was, server.GetState())
				}
			}
			if rapid.Bool().Draw(t, "restart") {
				restored := directory.New()
				restored.Load(second.Save())
				second = restored
			}
			if rapid.Bool().Draw(t, "watch") {
				revision, cluster := uint64(0), ""
				if held != nil {
					revision, cluster = held.Revision(), held.StoreCluster().GetClusterId()
				}
				held = directory.Merge(held, first.View().Since(revision, cluster))
				requireSameServers(t, "watcher", held, first.View())
			}
			requireSameServers(t, "replica", second.View(), first.View())
		}
	})
}

func requireSameServers(t *rapid.T, who string, got, want *directory.View) {
	if got.Revision() != want.Revision() || len(got.Servers()) != len(want.Servers()) {
		t.Fatalf("%s is at revision %d with %d servers, want revision %d with %d", who, got.Revision(), len(got.Servers()), want.Revision(), len(want.Servers()))
	}
	for _, server := range want.Servers() {
		if held, _ := got.Server(server.GetId()); !proto.Equal(held, server) {
			t.Fatalf("%s holds %v, want %v", who, held, server)
		}
	}
}

// TestFoundingIsSentToWatcherOnce guards against resending the founding with each change: for a large
// cluster it is most of the response.
func TestFoundingIsSentToWatcherOnce(t *testing.T) {
	d := directory.New()
	start := time.UnixMilli(10_000)
	for i := range 3 {
		d.Apply(announce(fmt.Sprintf("s%d", i), rockwindpb.SiteRole_SITE_ROLE_STORE, uint64(i+1), start.UnixMilli()))
	}
	founding := directory.PlanStoreCluster(d.View(), directory.FoundingPolicy{Replicas: 3}, start.Add(directory.FoundingQuietPeriod))
	d.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_FoundStores{FoundStores: founding}})
	held := directory.Merge(nil, d.View().Since(0, ""))
	d.Apply(report("a", "x", ready, 1))
	news := d.View().Since(held.Revision(), held.StoreCluster().GetClusterId())
	if news.GetStoreCluster() != nil {
		t.Error("the founding is sent again")
	}
	held = directory.Merge(held, news)
	if held.StoreCluster().GetClusterId() != founding.GetClusterId() || len(held.Servers()) != 1 {
		t.Errorf("watcher holds founding %q and %d servers", held.StoreCluster().GetClusterId(), len(held.Servers()))
	}
}

func TestLostReplacedAndAbsentServers(t *testing.T) {
	d := directory.New()
	for _, id := range []string{"left", "drained", "replaced", "silent", "serves"} {
		d.Apply(report(id, id, ready, 1))
	}
	d.Apply(leave("left"))
	d.Apply(report("drained", "drained", draining, 2))
	for _, id := range []string{"left", "drained", "replaced"} {
		d.Apply(report("next to "+id, id, ready, 1))
	}
	d.Apply(silence("silent"))
	for id, want := range map[string]bool{"left": false, "drained": false, "replaced": true, "silent": true, "serves": false, "unknown": false} {
		if got := d.View().Lost(id); got != want {
			t.Errorf("Lost(%s) = %v", id, got)
		}
	}
	for id, want := range map[string]bool{"left": false, "drained": false, "replaced": true, "silent": false, "serves": false, "unknown": false} {
		if got := d.View().Replaced(id); got != want {
			t.Errorf("Replaced(%s) = %v", id, got)
		}
	}
	for id, want := range map[string]bool{"left": true, "drained": true, "replaced": true, "silent": true, "serves": false, "unknown": false} {
		if got := d.View().Absent(id); got != want {
			t.Errorf("Absent(%s) = %v", id, got)
		}
	}
}
