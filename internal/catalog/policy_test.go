package catalog

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
)

func newHighestService() (*Machine, *Service) {
	machine := NewWithPolicy(HighestNumber)
	return machine, NewService(replica.NewInMemoryGroup(machine), machine, func() time.Time { return time.UnixMilli(5) })
}

func submit(t *testing.T, service *Service, number uint64, source string) *rockwindpb.ApplyConfigurationResponse {
	t.Helper()
	response, err := service.Submit(context.Background(), &rockwindpb.ApplyConfigurationRequest{
		Configuration: numbered(number), Source: []byte(source),
	})
	if err != nil {
		t.Fatalf("number %d: %v", number, err)
	}
	return response
}

func TestHighestNumberIsInForceAndOthersAreAcknowledged(t *testing.T) {
	machine, service := newHighestService()
	for _, step := range []struct {
		number, inForce uint64
		resent          bool
	}{{3, 3, false}, {9, 9, false}, {5, 9, true}, {9, 9, true}, {40, 40, false}, {1, 40, true}} {
		response := submit(t, service, step.number, "")
		if response.GetResent() != step.resent || response.GetAcceptance().GetNumber() != step.inForce {
			t.Errorf("number %d: %v", step.number, response)
		}
		if got := machine.View().Index().Number(); got != step.inForce {
			t.Errorf("after %d number %d is in force", step.number, got)
		}
	}
}

func TestOtherContentUnderTheNumberInForceChangesNothing(t *testing.T) {
	machine, service := newHighestService()
	submit(t, service, 7, "first")
	before := machine.View().Index().Checksum()
	other := numbered(7)
	other.Groups[0].Share = 99
	if _, err := service.Submit(context.Background(), &rockwindpb.ApplyConfigurationRequest{Configuration: other, Source: []byte("second")}); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(before, machine.View().Index().Checksum()) || string(machine.View().Source()) != "first" {
		t.Fatalf("%q is in force", machine.View().Source())
	}
}

func TestWatchersFollowNumbersWithGaps(t *testing.T) {
	machine, service := newHighestService()
	held := map[uint64]*configuration.Index{}
	numbers := []uint64{2, 7, 8, 30, 31, 90}
	for _, number := range numbers {
		submit(t, service, number, "")
		held[number] = machine.View().Index()
	}
	for _, number := range numbers[:len(numbers)-1] {
		change := machine.View().ChangeSince(number, held[number].Checksum())
		after, err := held[number].Apply(change)
		if err != nil || after.Number() != 90 || change.GetFull() {
			t.Errorf("from %d: full %v, %v", number, change.GetFull(), err)
		}
	}
	if change := machine.View().ChangeSince(5, []byte("none")); !change.GetFull() {
		t.Error("a watcher with an unknown number does not get the full configuration")
	}
}

// TestConcurrentSubmitsAllSucceed submits configurations concurrently. Overtaken
// proposals are repeated, and the highest number is in force at the end.
func TestConcurrentSubmitsAllSucceed(t *testing.T) {
	machine, service := newHighestService()
	var submits sync.WaitGroup
	for number := uint64(1); number <= 20; number++ {
		submits.Go(func() {
			if _, err := service.Submit(context.Background(), &rockwindpb.ApplyConfigurationRequest{Configuration: numbered(number)}); err != nil {
				t.Errorf("number %d: %v", number, err)
			}
		})
	}
	submits.Wait()
	if got := machine.View().Index().Number(); got != 20 {
		t.Fatalf("number %d is in force", got)
	}
}

func TestSourceIsRestoredFromSnapshot(t *testing.T) {
	machine, service := newHighestService()
	submit(t, service, 4, "the file as it was sent")
	snapshot, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewWithPolicy(HighestNumber)
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if string(restored.View().Source()) != "the file as it was sent" || !proto.Equal(restored.Save(), machine.Save()) {
		t.Fatalf("%q", restored.View().Source())
	}
}
