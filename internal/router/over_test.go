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

// views are directories that say different things of the incarnation "old" at 10.0.0.1:1.
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

// first answers the first connection in one way and all further ones in another.
func first(one, further upstream.DialFunc) upstream.DialFunc {
	dialed := false
	return func(ctx context.Context, address string) (net.Conn, error) {
		if dialed {
			return further(ctx, address)
		}
		dialed = true
		return one(ctx, address)
	}
}

// TestOnlyProofEndsAServer whose connection broke off: a run must not go on elsewhere while it
// still works on it.
func TestOnlyProofEndsAServer(t *testing.T) {
	for _, test := range []struct {
		name string
		dial func() upstream.DialFunc
		// over is what the directory has to say for the server to be over.
		over map[string]bool
	}{
		{"refuses", func() upstream.DialFunc { return refuses }, map[string]bool{"ready": true, "silent": true, "left": true, "replaced": true}},
		{"listens", func() upstream.DialFunc { return listens }, map[string]bool{"replaced": true}},
		{"unclear", func() upstream.DialFunc { return broken }, nil},
		{"out of reach", func() upstream.DialFunc { return outOfReach }, map[string]bool{"ready": true, "silent": true, "left": true, "replaced": true}},
		{"out of reach, then listens", func() upstream.DialFunc { return first(outOfReach, listens) }, map[string]bool{"silent": true, "left": true, "replaced": true}},
		{"out of reach, then refuses", func() upstream.DialFunc { return first(outOfReach, refuses) }, map[string]bool{"ready": true, "silent": true, "left": true, "replaced": true}},
		{"out of reach, then unclear", func() upstream.DialFunc { return first(outOfReach, broken) }, map[string]bool{"silent": true, "left": true, "replaced": true}},
	} {
		for state, view := range views() {
			t.Run(test.name+" and "+state, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					began := time.Now()
					got := router.ServerStopped(t.Context(), upstream.NewClientWithDial(test.dial()), func() *directory.View { return view }, "old", "10.0.0.1:1")
					if got != test.over[state] {
						t.Errorf("it is over: %v", got)
					}
					if took := time.Since(began); took > 300*time.Millisecond {
						t.Errorf("it took %v", took)
					}
				})
			})
		}
	}
}
