package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Headers that tell the test service which request it gets and how to respond.
const (
	headerTestRequest = "X-Test-Request"
	headerTestMode    = "X-Test-Mode"
)

// Values of headerTestMode.
const (
	modeAnswer = "answer"
	modeFail   = "fail"
	modeAbort  = "abort"
	modeRefuse = "refuse"
)

// countingService is a service that counts the runs of each request.
type countingService struct {
	mutex sync.Mutex
	runs  map[string]int
}

func (s *countingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mode := r.Header.Get(headerTestMode)
	if mode == modeRefuse {
		w.Header().Set("X-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mutex.Lock()
	s.runs[r.Header.Get(headerTestRequest)]++
	s.mutex.Unlock()
	switch mode {
	case modeFail:
		w.WriteHeader(http.StatusInternalServerError)
	case modeAbort:
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, bodyFor(r.Header.Get(headerTestRequest)))
	}
}

func bodyFor(request string) string { return "confirmed " + request }

func (s *countingService) count(request string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[request]
}

// reply is the response that a caller received; aborted is set if it has no end.
type reply struct {
	status   int
	body     string
	ran      fault.Ran
	replayed bool
	aborted  bool
}

// idempotencyFixture is a fixture with a countingService at two addresses.
type idempotencyFixture struct {
	*fixture
	service *countingService
	client  *http.Client
}

func startIdempotencyFixture(t *testing.T) *idempotencyFixture {
	f := &idempotencyFixture{service: &countingService{runs: make(map[string]int)}}
	servers := make([]string, 2)
	for i := range servers {
		server := httptest.NewServer(f.service)
		t.Cleanup(server.Close)
		servers[i] = server.Listener.Addr().String()
	}
	f.fixture = startFixture(t, 1, engine.FastConfig())
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	f.client = &http.Client{Transport: transport}
	next := proto.CloneOf(f.configuration())
	next.Number = 2
	for _, backEnd := range next.BackEnds {
		if backEnd.GetKind() == rockwindpb.BackEndKind_BACK_END_KIND_SERVICE {
			backEnd.Address = servers[0]
			second := proto.CloneOf(backEnd)
			second.Name, second.Address = "service-b", servers[1]
			next.BackEnds = append(next.BackEnds, second)
			break
		}
	}
	f.configure(next)
	f.await("the service to be in use", func() bool {
		return f.send("probe", modeAnswer, nil).status == http.StatusOK
	})
	return f
}

// send posts a request to the service through the gateway.
func (f *idempotencyFixture) send(name, mode string, header http.Header) reply {
	request, err := http.NewRequest(http.MethodPost, f.url+servicesPrefix+testService+"/confirm", strings.NewReader("body of "+name))
	must(f.t, err)
	for key, values := range header {
		request.Header[key] = values
	}
	request.Header.Set(headerAuthorization, bearerPrefix+testKey)
	request.Header.Set(headerTestRequest, name)
	request.Header.Set(headerTestMode, mode)
	response, err := f.client.Do(request)
	if err != nil {
		return reply{aborted: true}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{aborted: true}
	}
	got := reply{status: response.StatusCode, body: string(body), replayed: response.Header.Get(headerReplayed) == "true"}
	if response.Header.Get("X-Not-Run") == "true" {
		got.ran = fault.NotRun
	} else if response.Header.Get(headerShouldRetry) == "false" {
		got.ran = fault.RanUnknown
	}
	return got
}

// check verifies a reply against the number of runs of the request before and after
// it was sent.
func (f *idempotencyFixture) check(t *rapid.T, name string, before int, got reply) {
	after := f.service.count(name)
	if after > 1 {
		t.Fatalf("%s ran %d times", name, after)
	}
	if got.ran == fault.NotRun && after != before {
		t.Fatalf("%s was refused as not run but ran: %+v", name, got)
	}
	if got.status == http.StatusOK && (got.body != bodyFor(name) || after != 1) {
		t.Fatalf("%s got %+v after %d runs", name, got, after)
	}
	if got.replayed && before != 1 {
		t.Fatalf("%s got a recorded response after %d runs", name, before)
	}
}

// TestRequestsThatMayNotBeRepeatedRunOnce verifies, with failing services and records,
// that no such request runs twice, that none reported as not run has run, and that a
// resend gets no other response than the first.
func TestRequestsThatMayNotBeRepeatedRunOnce(t *testing.T) {
	f := startIdempotencyFixture(t)
	next := 0
	modes := rapid.SampledFrom([]string{modeAnswer, modeFail, modeAbort, modeRefuse})
	rapid.Check(t, func(t *rapid.T) {
		next++
		name := "request-" + strconv.Itoa(next)
		header := http.Header{headerRepeatable: {"false"}}
		sends := 1
		if rapid.Bool().Draw(t, "keyed") {
			header = http.Header{headerIdempotencyKey: {"key of " + name}}
			sends = rapid.IntRange(1, 4).Draw(t, "sends")
		}
		whole := false
		for range sends {
			f.control.fail(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "failures"))
			before := f.service.count(name)
			got := f.send(name, modes.Draw(t, "mode"), header)
			f.check(t, name, before, got)
			whole = whole || got.status == http.StatusOK
		}
		f.control.fail(0)
		if !whole || header.Get(headerIdempotencyKey) == "" {
			return
		}
		// A resend must get the same response or none.
		again := f.send(name, modeAnswer, header)
		f.check(t, name, 1, again)
		if again.status != http.StatusOK && again.ran != fault.RanUnknown {
			t.Fatalf("the resend of an answered request got %+v", again)
		}
		other := http.Header{headerIdempotencyKey: header[headerIdempotencyKey]}
		if got := f.send(name+"-other", modeAnswer, other); got.status != http.StatusConflict || f.service.count(name+"-other") != 0 {
			t.Fatalf("another request under the same key got %+v", got)
		}
	})
}

// TestResendsAtOnceRunOnce verifies that concurrent requests with the same idempotency
// key run once.
func TestResendsAtOnceRunOnce(t *testing.T) {
	f := startIdempotencyFixture(t)
	for round := range 20 {
		name := fmt.Sprintf("at-once-%d", round)
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				got := f.send(name, modeAnswer, http.Header{headerIdempotencyKey: {name}})
				if got.status != http.StatusOK && got.status != http.StatusConflict {
					t.Errorf("%s got %+v", name, got)
				}
			})
		}
		group.Wait()
		if runs := f.service.count(name); runs != 1 {
			t.Errorf("%s ran %d times", name, runs)
		}
		f.await("the recorded response", func() bool {
			return f.send(name, modeAnswer, http.Header{headerIdempotencyKey: {name}}).replayed
		})
	}
}

// fail makes the next commands fail without effect.
func (c *memoryControl) fail(calls int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failures = calls
}
