package catalog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// fill submits all configurations up to a number; their content differs.
func fill(t *testing.T, service *Service, to uint64) {
	t.Helper()
	for number := uint64(1); number <= to; number++ {
		request := &rockwindpb.ApplyConfigurationRequest{Configuration: numbered(number), Operator: "ann"}
		if _, err := service.Submit(context.Background(), request); err != nil {
			t.Fatal(err)
		}
	}
}

func numbered(number uint64) *rockwindpb.Configuration {
	shares := []int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	shares[number%10] = int(number)
	return file(number, shares...)
}

func newService() (*Machine, *Service) {
	machine := New()
	return machine, NewService(replica.NewInMemoryGroup(machine), machine, func() time.Time { return time.UnixMilli(5) })
}

func TestHistoryIsBoundedAndKeepsItsPromises(t *testing.T) {
	machine, service := newService()
	const last = KeptAcceptances + 10
	fill(t, service, last)
	view := machine.View()
	if len(view.acceptances) != KeptAcceptances || len(view.changes) != KeptChanges {
		t.Errorf("%d acceptances and %d changes are kept", len(view.acceptances), len(view.changes))
	}
	oldestKept := uint64(last - KeptAcceptances + 1)
	response, err := service.Submit(context.Background(), &rockwindpb.ApplyConfigurationRequest{Configuration: numbered(oldestKept)})
	if err != nil || !response.GetResent() || response.GetAcceptance().GetNumber() != oldestKept {
		t.Errorf("a resend of number %d got %v, %v", oldestKept, response, err)
	}
	_, err = service.Submit(context.Background(), &rockwindpb.ApplyConfigurationRequest{Configuration: numbered(oldestKept - 1)})
	if !fault.Is(err, fault.Stale) {
		t.Errorf("a resend of a number that is no longer kept got %v", err)
	}
	for behind, wantFull := range map[uint64]bool{1: false, 5: false, KeptChanges + 1: true} {
		held := numbered(last - behind)
		configuration.Normalise(held)
		index, err := configuration.NewIndex(held)
		if err != nil {
			t.Fatal(err)
		}
		change := view.ChangeSince(index.Number(), index.Checksum())
		after, err := index.Apply(change)
		if err != nil || after.Number() != last || change.GetFull() != wantFull {
			t.Errorf("a daemon %d behind gets a full transfer: %v, and ends at %v, %v", behind, change.GetFull(), after, err)
		}
	}
}

func TestInvalidConfigurationsAreRefused(t *testing.T) {
	machine, service := newService()
	wrong := numbered(1)
	wrong.Groups[0].Share = -1
	if _, err := service.Submit(context.Background(), &rockwindpb.ApplyConfigurationRequest{Configuration: wrong}); !fault.Is(err, fault.InvalidArgument) {
		t.Errorf("got %v", err)
	}
	if _, err := service.Submit(context.Background(), &rockwindpb.ApplyConfigurationRequest{}); !fault.Is(err, fault.InvalidArgument) {
		t.Errorf("got %v", err)
	}
	if machine.View().Index().Number() != 0 {
		t.Error("an invalid configuration is in force")
	}
}

func TestDamagedSnapshotIsRefused(t *testing.T) {
	machine, service := newService()
	fill(t, service, 3)
	snapshot, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	decoded := &rockwindpb.CatalogSnapshot{}
	if err := proto.Unmarshal(snapshot, decoded); err != nil {
		t.Fatal(err)
	}
	decoded.Configuration.Groups[0].Share++
	damaged, err := proto.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	if err := New().Restore(damaged); !fault.Is(err, fault.Corrupt) {
		t.Errorf("got %v", err)
	}
}

func TestWatchReturnsOnChangeOrAfterTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, service := newService()
		fill(t, service, 1)
		held, err := service.Get(t.Context(), &rockwindpb.GetConfigurationRequest{})
		if err != nil {
			t.Fatal(err)
		}
		request := &rockwindpb.WatchConfigurationRequest{HaveNumber: 1, HaveChecksum: held.GetAcceptance().GetChecksum(), WaitMs: 2000}
		start := time.Now()
		response, err := service.Watch(t.Context(), request)
		if err != nil || response.GetChange() != nil || time.Since(start) != 2*time.Second {
			t.Errorf("got %v, %v after %v", response, err, time.Since(start))
		}
		start = time.Now()
		go func() {
			time.Sleep(time.Second)
			_, _ = service.Submit(context.Background(), &rockwindpb.ApplyConfigurationRequest{Configuration: numbered(2)})
		}()
		response, err = service.Watch(t.Context(), request)
		if err != nil || response.GetChange().GetNumber() != 2 || time.Since(start) != time.Second {
			t.Errorf("got %v, %v after %v", response, err, time.Since(start))
		}
	})
}
