package router_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/upstream"
)

// views returns directories with different states of the incarnation "old" at 10.0.0.1:1.
func views() map[string]*directory.View {
	report := func(id string) *rockwindpb.DirectoryCommand {
		return &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
			Id: id, Service: "app", Address: "10.0.0.1:1", State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: 1,
		}}}
	}
	succession := report("new")
	succession.Succession = &rockwindpb.Succession{Ended: []string{"old"}}
	all := make(map[string]*directory.View)
	for name, next := range map[string]*rockwindpb.DirectoryCommand{
		"ready":    nil,
		"silent":   {Command: &rockwindpb.DirectoryCommand_Silence{Silence: &rockwindpb.SilenceServers{Ids: []string{"old"}}}},
		"left":     {Command: &rockwindpb.DirectoryCommand_Leave{Leave: &rockwindpb.LeaveServerRequest{Id: "old"}}},
		"replaced": succession,
	} {
		register := directory.New()
		register.Apply(report("old"))
		if next != nil {
			register.Apply(next)
		}
		all[name] = register.View()
	}
	return all
}

// firstThen dials the first connection with one function and all others with another.
func firstThen(initial, further upstream.DialFunc) upstream.DialFunc {
	dialed := false
	return func(ctx context.Context, address string) (net.Conn, error) {
		if dialed {
			return further(ctx, address)
		}
		dialed = true
		return initial(ctx, address)
	}
}

// TestServerStoppedNeedsProof guards against continuing a run elsewhere while its server may
// still be working on it.
func TestServerStoppedNeedsProof(t *testing.T) {
	for _, test := range []struct {
		name string
		dial func() upstream.DialFunc
		// stopped lists the directories with which the server counts as stopped.
		stopped map[string]bool
	}{
		{"refuses", func() upstream.DialFunc { return refuses }, map[string]bool{"ready": true, "silent": true, "left": true, "replaced": true}},
		{"listens", func() upstream.DialFunc { return listens }, map[string]bool{"replaced": true}},
		{"unclear", func() upstream.DialFunc { return dialFails }, nil},
		{"out of reach", func() upstream.DialFunc { return unreachable }, map[string]bool{"ready": true, "silent": true, "left": true, "replaced": true}},
		{"out of reach, then listens", func() upstream.DialFunc { return firstThen(unreachable, listens) }, map[string]bool{"silent": true, "left": true, "replaced": true}},
		{"out of reach, then refuses", func() upstream.DialFunc { return firstThen(unreachable, refuses) }, map[string]bool{"ready": true, "silent": true, "left": true, "replaced": true}},
		{"out of reach, then unclear", func() upstream.DialFunc { return firstThen(unreachable, dialFails) }, map[string]bool{"silent": true, "left": true, "replaced": true}},
	} {
		for state, view := range views() {
			t.Run(test.name+" and "+state, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					began := time.Now()
					got := router.ServerStopped(t.Context(), upstream.NewClientWithDial(test.dial()), func() *directory.View { return view }, "old", "10.0.0.1:1")
					if got != test.stopped[state] {
						t.Errorf("stopped: %v", got)
					}
					if took := time.Since(began); took > 300*time.Millisecond {
						t.Errorf("it took %v", took)
					}
				})
			})
		}
	}
}
