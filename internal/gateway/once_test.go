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

// Headers between the test and its service.
const (
	headerTestRequest = "X-Test-Request"
	headerTestMode    = "X-Test-Mode"
)

// The ways in which the service treats a request.
const (
	modeAnswer = "answer"
	modeFail   = "fail"
	modeCut    = "cut"
	modeRefuse = "refuse"
)

// countingService counts how often each request ran.
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
	case modeCut:
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, answerOf(r.Header.Get(headerTestRequest)))
	}
}

func answerOf(request string) string { return "confirmed " + request }

func (s *countingService) count(request string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[request]
}

// sent is what a caller got.
type sent struct {
	status   int
	body     string
	ran      fault.Ran
	replayed bool
	cut      bool
}

// onceFleet is a gateway over a counting service.
type onceFleet struct {
	*fleet
	service *countingService
	client  *http.Client
}

func startOnceFleet(t *testing.T) *onceFleet {
	f := &onceFleet{service: &countingService{runs: make(map[string]int)}}
	servers := make([]string, 2)
	for number := range servers {
		server := httptest.NewServer(f.service)
		t.Cleanup(server.Close)
		servers[number] = server.Listener.Addr().String()
	}
	f.fleet = startFleet(t, 1, engine.FastConfig())
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

// send posts a request to the service.
func (f *onceFleet) send(name, mode string, header http.Header) sent {
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
		return sent{cut: true}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return sent{cut: true}
	}
	got := sent{status: response.StatusCode, body: string(body), replayed: response.Header.Get(headerReplayed) == "true"}
	if response.Header.Get("X-Not-Run") == "true" {
		got.ran = fault.NotRun
	} else if response.Header.Get(headerShouldRetry) == "false" {
		got.ran = fault.RanUnknown
	}
	return got
}

// check judges one send by how often the request ran before and after it.
func (f *onceFleet) check(t *rapid.T, name string, before int, got sent) {
	after := f.service.count(name)
	if after > 1 {
		t.Fatalf("%s ran %d times", name, after)
	}
	if got.ran == fault.NotRun && after != before {
		t.Fatalf("%s was refused as not run, and ran: %+v", name, got)
	}
	if got.status == http.StatusOK && (got.body != answerOf(name) || after != 1) {
		t.Fatalf("%s got %+v after %d runs", name, got, after)
	}
	if got.replayed && before != 1 {
		t.Fatalf("%s got a kept answer after %d runs", name, before)
	}
}

// TestRequestsThatMayNotBeRepeatedRunOnce sends requests to a service that
// answers, fails, cuts or refuses, while the records can't be written now and
// then: whatever comes, no request runs twice, none that was refused as not run
// ran, and a whole answer comes again.
func TestRequestsThatMayNotBeRepeatedRunOnce(t *testing.T) {
	f := startOnceFleet(t)
	next := 0
	modes := rapid.SampledFrom([]string{modeAnswer, modeFail, modeCut, modeRefuse})
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
		// The whole answer was given once, and is never another one.
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

// TestResendsAtOnceRunOnce sends the same keyed request many times at once.
func TestResendsAtOnceRunOnce(t *testing.T) {
	f := startOnceFleet(t)
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
		f.await("the kept answer", func() bool {
			return f.send(name, modeAnswer, http.Header{headerIdempotencyKey: {name}}).replayed
		})
	}
}

// fail makes the next calls fail without effect.
func (c *memoryControl) fail(calls int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failures = calls
}
