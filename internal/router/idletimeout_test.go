package router

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/dial"
	"rockwind.example/rockwind/internal/jobclient"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// changingConfiguration is a coordinator's configuration that tests change.
type changingConfiguration struct {
	rockwindpb.ConfigurationService
	current atomic.Pointer[configuration.Index]
}

func (c *changingConfiguration) set(t *testing.T, number uint64, limits *rockwindpb.ClientLimits) {
	t.Helper()
	index, err := configuration.NewIndex(&rockwindpb.Configuration{Number: number, ClientLimits: limits})
	if err != nil {
		t.Fatal(err)
	}
	c.current.Store(index)
}

// Watch implements rockwindpb.ConfigurationService.
func (c *changingConfiguration) Watch(ctx context.Context, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	for ended := time.Now().Add(time.Duration(request.GetWaitMs()) * time.Millisecond); time.Now().Before(ended) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if newest := c.current.Load(); newest != nil && newest.Number() > request.GetHaveNumber() {
			return &rockwindpb.WatchConfigurationResponse{Change: newest.FullChange()}, nil
		}
	}
	return &rockwindpb.WatchConfigurationResponse{}, nil
}

// TestIdleClientsAreClosedAfterTheConfiguredTime guards against idle client connections that keep their buffers
// longer than the configuration in force allows, and against others that are closed early. Without the setting the
// time is 30 s.
func TestIdleClientsAreClosedAfterTheConfiguredTime(t *testing.T) {
	t.Parallel()
	configurations := &changingConfiguration{}
	mux := http.NewServeMux()
	mux.Handle(rockwindpb.ConfigurationServicePathPrefix, rockwindpb.NewConfigurationServiceServer(configurations))
	mux.Handle(rockwindpb.DirectoryServicePathPrefix, rockwindpb.NewDirectoryServiceServer(fixedDirectory{}))
	coordinator := httptest.NewServer(mux)
	defer coordinator.Close()
	settings := &rockwindpb.SiteSettings{Name: "router", Seeds: []string{strings.TrimPrefix(coordinator.URL, "http://")}}
	watcher, err := site.NewWatcher(settings, http.DefaultClient, "")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = watcher.Run(ctx) }()

	router := New(settings, watcher, PlainProtocol{}, jobclient.New(watcher, http.DefaultClient))
	d := &daemon{settings: settings, router: router, overload: newOverloadController(router, settings)}
	server := d.server(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "done") }))
	if server.IdleTimeout != 30*time.Second {
		t.Errorf("idle connections are kept for %v without the setting", server.IdleTimeout)
	}
	listener, err := dial.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(router.buffers.Listener(listener)) }()
	defer func() { _ = server.Close() }()

	const timeout, unlimited = 400 * time.Millisecond, 1200 * time.Millisecond
	conn, reader := connect(t, listener.Addr())
	ask(t, conn, reader)
	if idle, closed := idleFor(t, conn, reader, unlimited); closed {
		t.Errorf("without the setting, a connection was closed after %v", idle)
	}
	configurations.set(t, 1, &rockwindpb.ClientLimits{IdleTimeoutMs: uint32(timeout.Milliseconds())})
	awaitNumber(t, watcher, 1)
	// The time applies each time the connection becomes idle, from then on.
	for range 2 {
		ask(t, conn, reader)
		if idle, closed := idleFor(t, conn, reader, timeout/2); closed {
			t.Errorf("a connection was closed after %v", idle)
		}
	}
	ask(t, conn, reader)
	if idle, closed := idleFor(t, conn, reader, 10*time.Second); !closed || idle < timeout*9/10 {
		t.Errorf("closed %v, after %v", closed, idle)
	}
	configurations.set(t, 2, nil)
	awaitNumber(t, watcher, 2)
	conn, reader = connect(t, listener.Addr())
	ask(t, conn, reader)
	if idle, closed := idleFor(t, conn, reader, unlimited); closed {
		t.Errorf("after the setting was removed, a connection was closed after %v", idle)
	}
}

func awaitNumber(t *testing.T, watcher *site.Watcher, number uint64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); watcher.Configuration().Number() < number; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("configuration %d is not in force", number)
		}
	}
}

func connect(t *testing.T, address net.Addr) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func ask(t *testing.T, conn net.Conn, reader *bufio.Reader) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		t.Fatal(err)
	}
}

// idleFor waits for the connection to be closed, up to a limit.
func idleFor(t *testing.T, conn net.Conn, reader *bufio.Reader, limit time.Duration) (idle time.Duration, closed bool) {
	t.Helper()
	since := time.Now()
	_ = conn.SetReadDeadline(since.Add(limit))
	_, err := reader.Peek(1)
	if err == nil {
		t.Fatal("the server sent something without a request")
	}
	return time.Since(since), !errors.Is(err, os.ErrDeadlineExceeded)
}
