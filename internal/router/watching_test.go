package router

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// hangTime is longer than the timeouts of these tests.
const hangTime = 10 * time.Second

// dialRefused is the dial function of a server that has closed its listener.
func dialRefused(context.Context) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

// dialAccepted is the dial function of a server that accepts connections.
func dialAccepted(context.Context) (net.Conn, error) {
	near, _ := net.Pipe()
	return near, nil
}

// dialHangs is the dial function of an unreachable machine.
func dialHangs(ctx context.Context) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// register returns the view of a directory after the report of the server and further commands.
func register(later ...*rockwindpb.DirectoryCommand) func() *directory.View {
	created := directory.New()
	created.Apply(reportOf("server", 1))
	for _, command := range later {
		created.Apply(command)
	}
	return created.View
}

// reportOf returns the first report of an incarnation at the address of the server.
func reportOf(id string, sequence uint64) *rockwindpb.DirectoryCommand {
	return &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
		Id: id, Service: "app", Address: "10.0.0.1:1", Slots: 1, State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: sequence,
	}}}
}

// TestNonResumableStreamEndsOnceServerIsUnreachable checks that a stream whose server falls
// silent ends within twice the pause goal if the server is unreachable or has ended by the
// directory. A server that accepts connections may be slow and one that refuses them may be
// finishing its streams, so both are waited for.
func TestNonResumableStreamEndsOnceServerIsUnreachable(t *testing.T) {
	leave := &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Leave{Leave: &rockwindpb.LeaveServerRequest{Id: "server"}}}
	noDirectory := func() *directory.View { return nil }
	for name, test := range map[string]struct {
		later func(context.Context) (net.Conn, error)
		view  func() *directory.View
		soon  bool
	}{
		"silent":               {dialHangs, noDirectory, true},
		"silent, has left":     {dialHangs, register(leave), true},
		"in reach":             {dialAccepted, register(), false},
		"in reach, replaced":   {dialAccepted, register(reportOf("next", 1)), true},
		"refused":              {dialRefused, noDirectory, false},
		"refused, ready":       {dialRefused, register(), false},
		"refused, has left":    {dialRefused, register(leave), false},
		"refused, replaced":    {dialRefused, register(reportOf("next", 1)), true},
		"in reach, not listed": {dialAccepted, noDirectory, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var last atomic.Pointer[time.Time]
				r := newRelayTestWithDial(t, httptest.NewRecorder(), func(conn net.Conn) {
					_, _ = io.WriteString(conn, streamHead+event(1))
					time.Sleep(250 * time.Millisecond)
					_, _ = io.WriteString(conn, event(2))
					now := time.Now()
					last.Store(&now)
					time.Sleep(hangTime)
				}, test.later)
				ctx, cancel := context.WithTimeout(t.Context(), hangTime/2)
				defer cancel()
				got := r.relayWatched(t, ctx, test.view)
				took := time.Since(*last.Load())
				t.Logf("verdict %v after %v: %s", got, took, r.reason)
				if got != verdictBroken {
					t.Errorf("the verdict is %v", got)
				}
				if soon := took <= 600*time.Millisecond; soon != test.soon {
					t.Errorf("the client learns after %v", took)
				}
				time.Sleep(hangTime)
			})
		})
	}
}

// TestStreamContinuesDuringPlannedStop covers a server that closes its listener, leaves, and
// pauses its open stream for longer than the pause goal.
func TestStreamContinuesDuringPlannedStop(t *testing.T) {
	leave := &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Leave{Leave: &rockwindpb.LeaveServerRequest{Id: "server"}}}
	for name, view := range map[string]func() *directory.View{
		"nothing known": func() *directory.View { return nil }, "ready": register(), "has left": register(leave),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				recorder := httptest.NewRecorder()
				r := newRelayTestWithDial(t, recorder, func(conn net.Conn) {
					_, _ = io.WriteString(conn, streamHead+event(1))
					time.Sleep(250 * time.Millisecond)
					_, _ = io.WriteString(conn, event(2))
					time.Sleep(400 * time.Millisecond)
					_, _ = io.WriteString(conn, event(3))
				}, dialRefused)
				if got := r.relayWatched(t, t.Context(), view); got != verdictFinished {
					t.Errorf("the verdict is %v: %s", got, r.reason)
				}
				if got := recorder.Body.String(); !strings.HasSuffix(got, event(3)) {
					t.Errorf("the client got %q", got)
				}
			})
		})
	}
}

// relayWatched relays the response of a server with a late watchdog that uses the given
// directory.
func (r *relayTest) relayWatched(t *testing.T, ctx context.Context, view func() *directory.View) verdict {
	t.Helper()
	_, end := r.watchAttempt(ctx, r.lease)
	end()
	if r.watchdog == nil {
		t.Fatal("the server is not watched")
	}
	r.watchdog = NewLateWatchdog(ctx, r.router.client, view, r.lease.ID, r.lease.Address, 300*time.Millisecond)
	defer r.watchdog.Stop()
	response, err := r.router.client.Do(r.watchdog.Context(), r.lease.Address, &r.request, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.sent++
	return r.relayStream(ctx, r.lease, response, 0)
}
