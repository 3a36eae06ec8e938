package zonedrain_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/zonedrain"
)

func start(zone string, at int64) *rockwindpb.ZoneDrainCommand {
	return &rockwindpb.ZoneDrainCommand{NowUnixMs: at, Command: &rockwindpb.ZoneDrainCommand_Start{Start: &rockwindpb.StartZoneDrainRequest{Zone: zone}}}
}

func end(zone string) *rockwindpb.ZoneDrainCommand {
	return &rockwindpb.ZoneDrainCommand{Command: &rockwindpb.ZoneDrainCommand_End{End: &rockwindpb.EndZoneDrainRequest{Zone: zone}}}
}

func TestRepeatedCommandsChangeNothing(t *testing.T) {
	r := zonedrain.New()
	r.Apply(start("a", 7))
	r.Apply(start("a", 9))
	if list := r.List(); !list.Drained("a") || list.Revision() != 1 || list.Drains()[0].GetSinceUnixMs() != 7 {
		t.Fatalf("after a repeated start the drains are %v at revision %d", list.Drains(), list.Revision())
	}
	r.Apply(end("a"))
	r.Apply(end("a"))
	r.Apply(end("never drained"))
	if list := r.List(); list.Drained("a") || list.Revision() != 2 {
		t.Fatalf("after a repeated end the drains are %v at revision %d", list.Drains(), list.Revision())
	}
}

// TestReplicasAgree applies random commands to a registry and to one that is restored
// from snapshots, and compares both with a set.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := zonedrain.New(), zonedrain.New()
		oracle := map[string]bool{}
		for at := range rapid.Int64Range(1, 40).Draw(t, "commands") {
			zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			command := end(zone)
			oracle[zone] = rapid.Bool().Draw(t, "start")
			if oracle[zone] {
				command = start(zone, at)
			}
			before := first.List()
			first.Apply(command)
			second.Apply(command)
			if first.List().Equal(before) != (first.List().Revision() == before.Revision()) {
				t.Fatalf("a change and the revision disagree: revision %d became %d", before.Revision(), first.List().Revision())
			}
			if rapid.Bool().Draw(t, "restart") {
				restored := zonedrain.New()
				restored.Load(second.Save())
				second = restored
			}
			if !proto.Equal(first.Save(), second.Save()) {
				t.Fatalf("replicas differ: %v and %v", first.Save(), second.Save())
			}
			for name, drained := range oracle {
				if first.List().Drained(name) != drained {
					t.Fatalf("Drained(%s) = %v", name, !drained)
				}
			}
		}
	})
}
