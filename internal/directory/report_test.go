package directory_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

func reportWithStart(born int64, state rockwindpb.ServerState, sequence uint64) *rockwindpb.DirectoryCommand {
	command := report("a", "x", state, sequence)
	command.GetReport().BornUnixMs = born
	// Coordinators that probe addresses commit reports with a succession.
	command.Succession = &rockwindpb.Succession{}
	return command
}

// TestServerThatStartsAgainUnderItsIdentifier guards against judging a new start by the state or
// sequence number of the earlier one, and against late messages of the earlier one.
func TestServerThatStartsAgainUnderItsIdentifier(t *testing.T) {
	leaveOf := func(born int64) *rockwindpb.DirectoryCommand {
		return &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Leave{
			Leave: &rockwindpb.LeaveServerRequest{Id: "a", BornUnixMs: born},
		}}
	}
	for name, before := range map[string]*rockwindpb.DirectoryCommand{
		"ready": reportWithStart(1000, ready, 90), "draining": reportWithStart(1000, draining, 90), "silent": silence("a"), "gone": leaveOf(1000),
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			d.Apply(reportWithStart(1000, ready, 80))
			d.Apply(before)
			d.Apply(reportWithStart(2000, ready, 1))
			if got := state(d, "a"); got != ready {
				t.Fatalf("restarted server is %v", got)
			}
			revision := d.View().Revision()
			for _, late := range []*rockwindpb.DirectoryCommand{reportWithStart(1000, draining, 99), leaveOf(1000)} {
				if d.Apply(late); state(d, "a") != ready || d.View().Revision() != revision {
					t.Fatalf("late %v changed the server to %v", late, state(d, "a"))
				}
			}
			d.Apply(reportWithStart(2000, draining, 2))
			d.Apply(reportWithStart(2000, ready, 3))
			if got := state(d, "a"); got != draining {
				t.Fatalf("draining server became %v", got)
			}
			if d.Apply(leaveOf(2000)); state(d, "a") != gone {
				t.Fatalf("server that left became %v", state(d, "a"))
			}
		})
	}
}

// TestStartTimeIsRecorded covers servers first recorded without a start time, as by older versions.
func TestStartTimeIsRecorded(t *testing.T) {
	d := directory.New()
	d.Apply(report("a", "x", ready, 80))
	d.Apply(reportWithStart(1000, ready, 81))
	d.Apply(reportWithStart(2000, ready, 1))
	if server, _ := d.View().Server("a"); server.GetBornUnixMs() != 2000 || server.GetSequence() != 1 {
		t.Fatalf("unexpected entry: %v", server)
	}
	d = directory.New()
	d.Apply(leave("a"))
	if d.Apply(reportWithStart(1000, ready, 9)); state(d, "a") != gone {
		t.Fatalf("server that left without a start time became %v", state(d, "a"))
	}
}

// TestReportsThatNameNoServer covers reports of foreign clients.
func TestReportsThatNameNoServer(t *testing.T) {
	good := &rockwindpb.Server{Id: "a", Service: "s", Address: "10.0.0.1:80", State: ready}
	if err := directory.ValidateReport(good); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(server *rockwindpb.Server){
		"no state":      func(server *rockwindpb.Server) { server.State = rockwindpb.ServerState_SERVER_STATE_UNSPECIFIED },
		"gone":          func(server *rockwindpb.Server) { server.State = gone },
		"unknown state": func(server *rockwindpb.Server) { server.State = 99 },
		"no service":    func(server *rockwindpb.Server) { server.Service = "" },
		"no identifier": func(server *rockwindpb.Server) { server.Id = "" },
		"no address":    func(server *rockwindpb.Server) { server.Address = "" },
		"no port":       func(server *rockwindpb.Server) { server.Address = "10.0.0.1" },
		"name":          func(server *rockwindpb.Server) { server.Address = "server:80" },
	} {
		bad := proto.CloneOf(good)
		spoil(bad)
		if err := directory.ValidateReport(bad); !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
