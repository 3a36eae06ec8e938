package replica

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal/faultfs"
)

// TestFoundingSpreadsGroupsEvenly checks that each group has five machines, or all if there are
// fewer, and that no machine holds more than the average number of replicas, rounded up.
func TestFoundingSpreadsGroupsEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := rapid.IntRange(1, 20).Draw(t, "machines")
		shards := rapid.IntRange(1, 30).Draw(t, "shards")
		var candidates []*candidate
		for number := range machines {
			candidates = append(candidates, &candidate{
				identity: &rockwindpb.IdentityResponse{DiskId: uint64(number + 1)},
			})
		}
		held := make(map[uint64]int)
		total := 0
		for _, group := range newFounding(candidates, shards).GetGroups() {
			distinct := make(map[uint64]bool)
			for _, member := range group.GetMembership().GetMembers() {
				distinct[member.GetId()] = true
				held[member.GetId()]++
				total++
			}
			if len(distinct) != min(machines, largestGroup) {
				t.Fatalf("group %d is on %d machines of %d", group.GetGroup(), len(distinct), machines)
			}
		}
		for id, count := range held {
			if even := (total + machines - 1) / machines; count > even {
				t.Fatalf("machine %d holds %d of %d replicas, more than %d", id, count, total, even)
			}
		}
	})
}

// TestFoundingWaitsForRun checks that a founding call that arrives before Run waits for it.
func TestFoundingWaitsForRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host, err := NewHost(Options{
			Machine: "machine", Address: "machine", Folder: "data", FileSystem: faultfs.New(),
			Client: http.DefaultClient, StateMachines: func(uint32) StateMachine { return nil },
		})
		if err != nil {
			t.Fatal(err)
		}
		founded := make(chan error, 1)
		member := &rockwindpb.Member{Id: host.DiskID(), Machine: "other", Address: "machine"}
		go func() {
			_, err := host.Service().Found(t.Context(), &rockwindpb.FoundRequest{
				ClusterId: "cluster",
				Groups:    []*rockwindpb.FoundingGroup{{Group: 1, Membership: &rockwindpb.Membership{Members: []*rockwindpb.Member{member}}}},
			})
			founded <- err
		}()
		synctest.Wait()
		select {
		case err := <-founded:
			t.Fatalf("the founding did not wait for Run: %v", err)
		default:
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- host.Run(ctx) }()
		if err := <-founded; err != nil {
			t.Fatal(err)
		}
		stop()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	})
}
