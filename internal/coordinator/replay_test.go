package coordinator

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// reports returns the commands for the first reports of servers.
func reports(count int) [][]byte {
	commands := make([][]byte, count)
	for i := range commands {
		server := &rockwindpb.Server{
			Id: fmt.Sprintf("i-%010x", i), Service: "app", Address: fmt.Sprintf("10.0.%d.%d:8587", i>>8, i&255),
			Zone: "zone", Slots: 8, State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: 1,
		}
		command := &rockwindpb.RootCommand{Command: &rockwindpb.RootCommand_Directory{Directory: &rockwindpb.DirectoryCommand{
			NowUnixMs: int64(i), Command: &rockwindpb.DirectoryCommand_Report{Report: server},
		}}}
		commands[i], _ = proto.Marshal(command)
	}
	return commands
}

// BenchmarkReplay measures replaying the log of a site with 3,000 servers.
func BenchmarkReplay(b *testing.B) {
	commands := reports(3000)
	for b.Loop() {
		replay(newRootStateMachine(), commands)
	}
}

// BenchmarkWatchAnswer measures the answer to a watcher of such a site after one change.
func BenchmarkWatchAnswer(b *testing.B) {
	machine := newRootStateMachine()
	replay(machine, reports(3000))
	view := machine.view()
	request := &rockwindpb.WatchDirectoryRequest{HaveRevision: view.directory.Revision() - 1}
	for b.Loop() {
		view.directory.Since(request.GetHaveRevision(), "")
	}
}

func replay(machine *rootStateMachine, commands [][]byte) {
	for i, command := range commands {
		machine.Apply(uint64(i+1), command)
	}
	machine.Publish()
}
