package store

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/store/output"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/upstream"
)

// itemTest runs attempts of one item at a fake server.
type itemTest struct {
	store   *Store
	history *history
}

// newItemTest returns a test whose server sends the body that serve returns for the Last-Event-ID of a request, and
// closes the connection.
func newItemTest(t *testing.T, serve func(lastEvent string) string) *itemTest {
	t.Helper()
	watcher, err := site.NewWatcher(&rockwindpb.SiteSettings{}, http.DefaultClient, "")
	if err != nil {
		t.Fatal(err)
	}
	register := directory.New()
	register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
		Id: "server", Service: "app", Address: "10.0.0.1:1", Slots: 1, State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: 1,
	}}})
	dispatcher := router.NewDispatcher("zone", topology.Map{}, featuregate.Set{})
	dispatcher.Update(register.View())
	client := upstream.NewClientWithDial(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			request, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"+serve(request.Header.Get(router.HeaderLastEvent)))
		}()
		return near, nil
	})
	return &itemTest{
		store: &Store{
			upstream: client, dispatcher: dispatcher, protocol: router.PlainProtocol{},
			crashReporter: router.NewCrashReporter(watcher, client, router.PlainProtocol{}, dispatcher),
		},
		history: &history{output: output.New(&output.RunCounter{}, jobstore.PartialOutput{})},
	}
}

// attempt runs one attempt.
func (i *itemTest) attempt(t *testing.T) attemptResult {
	t.Helper()
	lease := i.store.dispatcher.AcquireAt("app", "server", balance.Demand{})
	if lease == nil {
		t.Fatal("there is no server")
	}
	attempt := &itemAttempt{
		store: i.store, item: jobstore.OpenItem{Job: "job", Item: &rockwindpb.StoredItem{Id: "item", Path: "/"}},
		history: i.history, writer: i.history.output.NewWriter(0), lease: lease, maxAttempts: 3,
	}
	return attempt.run(t.Context())
}

// Guards against an item that counts as done although its server broke off inside an event.
func TestItemEndingInsideEventIsNotDone(t *testing.T) {
	for name, frame := range map[string]func(body string) string{
		"close":  func(body string) string { return "\r\n" + body },
		"length": func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
		"chunked": func(body string) string {
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := newItemTest(t, func(lastEvent string) string {
					if lastEvent == "1" {
						return frame("id: 2\ndata: half\n\nid: 3\ndata: end\n\n")
					}
					return frame("id: 1\ndata: begin\n\nid: 2\ndata: ha")
				})
				if got := i.attempt(t); got.outcome != rockwindpb.StoredOutcome_STORED_OUTCOME_UNSPECIFIED || got.failed {
					t.Fatalf("the outcome is %v, failed %v, with %q", got.outcome, got.failed, i.history.output.Text())
				}
				if got := i.attempt(t); got.outcome != rockwindpb.StoredOutcome_STORED_OUTCOME_DONE || string(i.history.output.Text()) != "begin\nhalf\nend" {
					t.Fatalf("the next attempt ends as %v with %q", got.outcome, i.history.output.Text())
				}
			})
		})
	}
}

// Guards against an item without its text because its events have other line endings.
func TestItemIsDoneWithEachLineEnding(t *testing.T) {
	for _, ending := range []string{"\n", "\r\n", "\r"} {
		t.Run(fmt.Sprintf("%q", ending), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := newItemTest(t, func(string) string {
					return "\r\n" + strings.ReplaceAll("id: 1\ndata: begin\n\nid: 2\ndata: end\n\n", "\n", ending)
				})
				if got := i.attempt(t); got.outcome != rockwindpb.StoredOutcome_STORED_OUTCOME_DONE || string(i.history.output.Text()) != "begin\nend" {
					t.Fatalf("the outcome is %v with %q", got.outcome, i.history.output.Text())
				}
			})
		})
	}
}
