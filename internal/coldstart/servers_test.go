package coldstart_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/coldstart"
	"rockwind.example/rockwind/internal/rockwindpb"
)

func reportOf(id string, cold time.Duration, sequence uint64) *rockwindpb.ColdServer {
	return &rockwindpb.ColdServer{Id: id, ColdMs: uint32(cold.Milliseconds()), Sequence: sequence}
}

func apply(registry *coldstart.Registry, reported *rockwindpb.ColdServer, now time.Time) {
	registry.Apply(&rockwindpb.ColdServerCommand{NowUnixMs: now.UnixMilli(), Server: reported})
}

// TestDecreasingTimesAreCommittedOnce guards against a log entry for each heartbeat of a cold server,
// whose delays on the way differ by up to 200 ms.
func TestDecreasingTimesAreCommittedOnce(t *testing.T) {
	registry, began := coldstart.NewRegistry(), time.UnixMilli(1e12)
	const cold = 9 * time.Second
	commands := 0
	for sequence, at := uint64(1), time.Duration(0); at < cold; sequence, at = sequence+1, at+1200*time.Millisecond {
		delay := time.Duration(sequence%2) * 200 * time.Millisecond
		arrived, reported := began.Add(at+200*time.Millisecond-delay), reportOf("a", cold-at, sequence)
		if registry.List().Extends(reported, 0, arrived) {
			commands++
			apply(registry, reported, arrived)
		}
	}
	if commands != 1 || registry.List().Revision() != 1 {
		t.Errorf("%d commands and revision %d, want one", commands, registry.List().Revision())
	}
}

// TestServerThatIsAlwaysColdStaysSo checks that a server that reports the same time again and again is
// known to be cold throughout and is committed rarely.
func TestServerThatIsAlwaysColdStaysSo(t *testing.T) {
	registry, began := coldstart.NewRegistry(), time.UnixMilli(1e12)
	commands := 0
	for at := time.Duration(0); at < 5*time.Minute; at += 1200 * time.Millisecond {
		now, reported := began.Add(at), reportOf("a", time.Minute, uint64(at))
		if registry.List().Extends(reported, 0, now) {
			commands++
			apply(registry, reported, now)
		}
		entry := registry.List().Server("a")
		if entry.GetSinceUnixMs()+int64(entry.GetColdMs()) < now.Add(2400*time.Millisecond).UnixMilli() {
			t.Fatalf("after %v the server is known to be cold for less than two further reports", at)
		}
	}
	if commands > 6 {
		t.Errorf("%d commands in five minutes", commands)
	}
}

func TestLateReportHasNoEffect(t *testing.T) {
	registry, now := coldstart.NewRegistry(), time.UnixMilli(1e12)
	apply(registry, reportOf("a", 2*time.Second, 7), now)
	apply(registry, reportOf("a", 9*time.Second, 6), now.Add(3*time.Second))
	if revision := registry.List().Revision(); revision != 1 {
		t.Errorf("a report with an earlier sequence number led to revision %d", revision)
	}
	apply(registry, &rockwindpb.ColdServer{Id: "a", ColdMs: 9000, Sequence: 1, BornUnixMs: 5}, now.Add(3*time.Second))
	if revision := registry.List().Revision(); revision != 2 {
		t.Errorf("a report of another start led to revision %d, want 2", revision)
	}
}

func TestImplausibleTimesAreBounded(t *testing.T) {
	for _, c := range []struct{ reported, configured, want time.Duration }{
		{-time.Second, time.Second, 0},
		{time.Second, 0, time.Second},
		{365 * 24 * time.Hour, 4 * time.Second, 10 * time.Minute},
		{365 * 24 * time.Hour, 2 * time.Minute, 20 * time.Minute},
	} {
		if got := coldstart.Limit(c.reported, c.configured); got != c.want {
			t.Errorf("Limit(%v, %v) = %v, want %v", c.reported, c.configured, got, c.want)
		}
	}
}

// TestExpiredEntriesAreDropped guards against a list that grows with each server that was ever cold.
func TestExpiredEntriesAreDropped(t *testing.T) {
	registry, now := coldstart.NewRegistry(), time.UnixMilli(1e12)
	apply(registry, reportOf("a", time.Second, 1), now)
	apply(registry, reportOf("b", time.Second, 1), now.Add(time.Minute))
	if servers := registry.List().Servers(); len(servers) != 1 || servers[0].GetId() != "b" {
		t.Errorf("the list holds %v", servers)
	}
	restored := coldstart.NewRegistry()
	restored.Load(registry.Save())
	if !proto.Equal(restored.Save(), registry.Save()) {
		t.Error("the snapshot differs after it was loaded")
	}
}
