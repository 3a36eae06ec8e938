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

// outlasts is longer than the client of these tests waits.
const outlasts = 10 * time.Second

// refused is what connections to a server get that has closed its listener.
func refused(context.Context) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

// reached is a connection to a server that takes them.
func reached(context.Context) (net.Conn, error) {
	near, _ := net.Pipe()
	return near, nil
}

// unheard is what connections get to a machine that is out of reach.
func unheard(ctx context.Context) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// register is a directory in which the server reported, and after that what is given.
func register(later ...*rockwindpb.DirectoryCommand) func() *directory.View {
	created := directory.New()
	created.Apply(reportOf("server", 1))
	for _, command := range later {
		created.Apply(command)
	}
	return created.View
}

// reportOf is the first report of an incarnation at the address of the server.
func reportOf(id string, sequence uint64) *rockwindpb.DirectoryCommand {
	return &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
		Id: id, Service: "app", Address: "10.0.0.1:1", Slots: 1, State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: sequence,
	}}}
}

// TestStreamThatMayNotBeResumedEndsSoonOnceItsServerIsDark: after two events the server says nothing more.
// Where it is out of reach, or has ended for what the directory says, the client learns so within
// twice the longest good pause of the route, 300 ms, and not as its time is over. One that takes
// connections is slow, one that refuses them may finish its streams, and both are waited for.
func TestStreamThatMayNotBeResumedEndsSoonOnceItsServerIsDark(t *testing.T) {
	leave := &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Leave{Leave: &rockwindpb.LeaveServerRequest{Id: "server"}}}
	nothingKnown := func() *directory.View { return nil }
	for name, test := range map[string]struct {
		later func(context.Context) (net.Conn, error)
		view  func() *directory.View
		soon  bool
	}{
		"silent":               {unheard, nothingKnown, true},
		"silent, has left":     {unheard, register(leave), true},
		"in reach":             {reached, register(), false},
		"in reach, replaced":   {reached, register(reportOf("next", 1)), true},
		"refused":              {refused, nothingKnown, false},
		"refused, ready":       {refused, register(), false},
		"refused, has left":    {refused, register(leave), false},
		"refused, replaced":    {refused, register(reportOf("next", 1)), true},
		"in reach, not listed": {reached, nothingKnown, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var last atomic.Pointer[time.Time]
				r := relayingWith(t, httptest.NewRecorder(), func(conn net.Conn) {
					_, _ = io.WriteString(conn, streamHead+event(1))
					time.Sleep(250 * time.Millisecond)
					_, _ = io.WriteString(conn, event(2))
					now := time.Now()
					last.Store(&now)
					time.Sleep(outlasts)
				}, test.later)
				ctx, cancel := context.WithTimeout(t.Context(), outlasts/2)
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
				time.Sleep(outlasts)
			})
		})
	}
}

// TestStreamGoesOnWhileItsServerStopsAsPlanned: the server closes its listener, says that it
// leaves, and takes longer than the good pause of 300 ms for the third event of its open stream.
func TestStreamGoesOnWhileItsServerStopsAsPlanned(t *testing.T) {
	leave := &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Leave{Leave: &rockwindpb.LeaveServerRequest{Id: "server"}}}
	for name, view := range map[string]func() *directory.View{
		"nothing known": func() *directory.View { return nil }, "ready": register(), "has left": register(leave),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				recorder := httptest.NewRecorder()
				r := relayingWith(t, recorder, func(conn net.Conn) {
					_, _ = io.WriteString(conn, streamHead+event(1))
					time.Sleep(250 * time.Millisecond)
					_, _ = io.WriteString(conn, event(2))
					time.Sleep(400 * time.Millisecond)
					_, _ = io.WriteString(conn, event(3))
				}, refused)
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

// relayWatched relays the answer of a server that is watched by a directory.
func (r *relayed) relayWatched(t *testing.T, ctx context.Context, view func() *directory.View) verdict {
	t.Helper()
	_, end := r.watched(ctx, r.lease)
	end()
	if r.lookout == nil {
		t.Fatal("the server is not watched")
	}
	r.lookout = NewLateWatchdog(ctx, r.router.client, view, r.lease.ID, r.lease.Address, 300*time.Millisecond)
	defer r.lookout.Stop()
	response, err := r.router.client.Do(r.lookout.Context(), r.lease.Address, &r.request, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.sent++
	return r.relayEvents(ctx, r.lease, response, 0)
}
