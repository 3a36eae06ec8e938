package traffic_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	_ "rockwind.example/rockwind/internal/rockwindpb" // registers the services
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/traffic"
)

func zones() topology.Map {
	return topology.New(map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"})
}

// counts returns the counts by direction, distance and call.
func counts(counter *traffic.Counter) map[string]uint64 {
	found := make(map[string]uint64)
	counter.Visit(func(direction traffic.Direction, distance, call string, bytes uint64) {
		found[fmt.Sprint(direction, " ", distance, " ", call)] = bytes
	})
	return found
}

// wireConn counts the bytes of a connection independently of the package.
type wireConn struct {
	net.Conn
	sent, received *atomic.Uint64
}

func (w wireConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.received.Add(uint64(n))
	return n, err
}

func (w wireConn) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.sent.Add(uint64(n))
	return n, err
}

// serve starts a server whose responses are as long as its requests, counted by the counter.
func serve(t *testing.T, counter *traffic.Counter) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		_, _ = writer.Write(body)
	})}
	go func() { _ = server.Serve(counter.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func post(t testing.TB, client *http.Client, address, path string, body []byte) {
	response, err := client.Post("http://"+address+path, "application/protobuf", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got, err := io.ReadAll(response.Body); err != nil || !bytes.Equal(got, body) {
		t.Fatalf("the response has %d bytes: %v", len(got), err)
	}
}

// Guards against bytes that are counted twice, not at all or for another call when calls share connections. Bodies
// that look like request lines must not change the call.
func TestBytesAreCountedByCallAtBothEnds(t *testing.T) {
	here, there := traffic.NewCounter("north-a", zones()), traffic.NewCounter("south-a", zones())
	address := serve(t, there)
	here.SetPeers(map[string]string{address: "south-a"})
	there.SetPeers(map[string]string{"127.0.0.1:9": "north-a"})
	var sent, received atomic.Uint64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DialContext: here.Dial(
		func(ctx context.Context, network, address string) (net.Conn, error) {
			opened, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return wireConn{opened, &sent, &received}, err
		})}}
	paths := map[string]string{
		"/twirp/rockwind.v1.DirectoryService/Watch":  "directory_watch",
		"/twirp/rockwind.v1.ReplicaService/Send":     "replication",
		"/twirp/rockwind.v1.RequestRateService/Take": "tenant_rates",
		"/twirp/rockwind.v1.NewService/Call":         "other",
		"/servers":                                   "api",
	}
	var group sync.WaitGroup
	for path := range paths {
		for _, size := range []int{0, 10, 100_000} {
			group.Add(1)
			go func() {
				defer group.Done()
				for range 5 {
					post(t, client, address, path, []byte(strings.Repeat("POST /twirp/rockwind.v1.JobStoreService/Read ", size/40)))
				}
			}()
		}
	}
	group.Wait()
	client.CloseIdleConnections()
	var total [2]uint64
	for key, bytes := range counts(here) {
		var direction int
		var distance, call string
		_, _ = fmt.Sscan(key, &direction, &distance, &call)
		total[direction] += bytes
		if distance != "other_region" || call == "job_reads" {
			t.Errorf("%s: %d bytes", key, bytes)
		}
	}
	if total[0] != sent.Load() || total[1] != received.Load() {
		t.Errorf("%d bytes sent and %d received are counted of %d and %d", total[0], total[1], sent.Load(), received.Load())
	}
	mine, theirs := counts(here), counts(there)
	for path, call := range paths {
		for direction, opposite := range []int{1, 0} {
			got, want := theirs[fmt.Sprint(opposite, " other_region ", call)], mine[fmt.Sprint(direction, " other_region ", call)]
			// net/http reads the first byte of a request by itself, before the request line has arrived.
			const slack = 15
			if want < 500 || got+slack < want || got > want+slack {
				t.Errorf("%s: direction %d: the client counts %d bytes, the server %d", path, direction, want, got)
			}
		}
	}
}

// Guards against connections that keep the distance of the time when they were opened, and against a distance that
// is given to a connection although processes of several zones share its host.
func TestDistanceFollowsTheDirectory(t *testing.T) {
	counter := traffic.NewCounter("north-a", zones())
	address := serve(t, nil)
	client := &http.Client{Transport: &http.Transport{DialContext: counter.DialFor(traffic.ServerRequests, (&net.Dialer{}).DialContext)}}
	for _, each := range []struct {
		zones map[string]string
		want  string
	}{
		{nil, "unknown"},
		{map[string]string{address: "north-a"}, "same_zone"},
		{map[string]string{address: "north-b"}, "same_region"},
		{map[string]string{"127.0.0.1:1": "south-a"}, "other_region"},
		{map[string]string{"127.0.0.1:1": "south-a", "127.0.0.1:2": "north-b"}, "unknown"},
		{map[string]string{"127.0.0.1:1": "south-a", address: "unlisted"}, "other_region"},
	} {
		counter.SetPeers(each.zones)
		before := counts(counter)
		post(t, client, address, "/", []byte("hello"))
		for key, bytes := range counts(counter) {
			if bytes != before[key] && !strings.HasSuffix(key, " "+each.want+" server_requests") {
				t.Errorf("peers %v: counted as %s", each.zones, key)
			}
		}
	}
}

// Guards against datagrams that are counted as unknown because their IPv4 address is mapped to IPv6, and against
// a nil counter that can't be used.
func TestDatagramsAreCounted(t *testing.T) {
	counter := traffic.NewCounter("north-a", zones())
	counter.SetPeers(map[string]string{"10.0.0.1:80": "south-a"})
	counter.AddDatagram(traffic.Received, netip.MustParseAddrPort("[::ffff:10.0.0.1]:80"), traffic.LoadDigests, 30)
	if got := counts(counter)["1 other_region load_digests"]; got != 30 {
		t.Errorf("counted %v", counts(counter))
	}
	var none *traffic.Counter
	none.AddDatagram(traffic.Sent, netip.MustParseAddrPort("10.0.0.1:80"), traffic.LoadDigests, 30)
}

// discardConn accepts all writes and returns a response to each read.
type discardConn struct{ net.Conn }

func (discardConn) Read(p []byte) (int, error)  { return copy(p, "HTTP/1.1 200 OK\r\n\r\n"), nil }
func (discardConn) Write(p []byte) (int, error) { return len(p), nil }
func (discardConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 80}
}

// Guards against allocations for each call, whose collection would show in the processor time of a process.
func TestCallsAllocateNothing(t *testing.T) {
	exchange := newExchange(t)
	if allocated := testing.AllocsPerRun(100, exchange); allocated > 0 {
		t.Errorf("%v allocations a call", allocated)
	}
}

// BenchmarkCall measures the cost of counting for one call.
func BenchmarkCall(b *testing.B) {
	exchange := newExchange(b)
	b.ReportAllocs()
	for range b.N {
		exchange()
	}
}

// newExchange returns a function that sends a request and receives its response on a counted connection.
func newExchange(t testing.TB) func() {
	counter := traffic.NewCounter("north-a", zones())
	counter.SetPeers(map[string]string{"10.0.0.1:80": "south-a"})
	opened, err := counter.Dial(func(context.Context, string, string) (net.Conn, error) { return discardConn{}, nil })(t.Context(), "tcp", "10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	request, response := []byte("POST /twirp/rockwind.v1.DirectoryService/Watch HTTP/1.1\r\n\r\n"), make([]byte, 100)
	return func() {
		_, _ = opened.Write(request)
		_, _ = opened.Read(response)
	}
}

// Guards against calls of stores and coordinators that are counted as those of a later version, so that an
// operator can't see what causes their bytes.
func TestCallsBetweenProcessesHaveAKind(t *testing.T) {
	// These services belong to gateways and the control replicas, which do not count traffic.
	uncounted := []string{"FleetService", "AdminService", "JobService", "RecordService", "FileService", "BodyService", "SegmentService"}
	protoregistry.GlobalFiles.RangeFilesByPackage("rockwind.v1", func(file protoreflect.FileDescriptor) bool {
		for i := range file.Services().Len() {
			service := file.Services().Get(i)
			if slices.Contains(uncounted, string(service.Name())) {
				continue
			}
			for j := range service.Methods().Len() {
				path := fmt.Sprintf("/twirp/rockwind.v1.%s/%s", service.Name(), service.Methods().Get(j).Name())
				here := traffic.NewCounter("north-a", zones())
				address := serve(t, traffic.NewCounter("south-a", zones()))
				here.SetPeers(map[string]string{address: "south-a"})
				client := &http.Client{Transport: &http.Transport{DialContext: here.Dial((&net.Dialer{}).DialContext)}}
				post(t, client, address, path, []byte("body"))
				client.CloseIdleConnections()
				if counts(here)[fmt.Sprint(traffic.Sent, " other_region other")] > 0 {
					t.Errorf("%s has no kind", path)
				}
			}
		}
		return true
	})
}
