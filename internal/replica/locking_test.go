package replica

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal"
	"rockwind.example/rockwind/internal/wal/faultfs"
)

// TestIdentityAndNewPeersDoNotDeadlock guards against a deadlock between the mutexes of the host
// and the transport. The leader is missing from the membership, as on a machine that has just
// joined, so its address comes from the transport.
func TestIdentityAndNewPeersDoNotDeadlock(t *testing.T) {
	const rounds, routes = 5_000, 500
	opened, err := wal.Open(wal.Options{Folder: "data", FileSystem: faultfs.New()})
	if err != nil {
		t.Fatal(err)
	}
	host := &Host{
		log: opened,
		cluster: &cluster{id: "cluster", groups: []*rockwindpb.FoundingGroup{{
			Group: 1, Membership: &rockwindpb.Membership{Members: []*rockwindpb.Member{{Id: 1, Machine: "joining"}}},
		}}},
	}
	host.options.setDefaults()
	host.transport = newTransport(host)
	host.owners = map[uint32]*owner{1: {host: host, id: 1, status: raft.Status{Leader: 1}}}
	var calls sync.WaitGroup
	calls.Go(func() {
		for number := range routes {
			host.transport.peer(route{machine: fmt.Sprint(number)})
		}
	})
	calls.Go(func() {
		for range rounds {
			if _, err := host.Service().Identity(context.Background(), &rockwindpb.IdentityRequest{}); err != nil {
				t.Error(err)
			}
		}
	})
	calls.Go(func() {
		for range rounds {
			if _, err := host.describeGroups(); err != nil {
				t.Error(err)
			}
		}
	})
	calls.Wait()
}
