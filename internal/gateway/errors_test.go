package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/fault"
)

// allKinds lists all kinds of faults.
var allKinds = []fault.Kind{
	fault.InvalidArgument, fault.Unauthenticated, fault.NotFound, fault.Conflict, fault.Stale, fault.LimitReached,
	fault.Overloaded, fault.Unavailable, fault.NotLeader, fault.OutcomeUnknown, fault.Cancelled, fault.Corrupt, fault.Internal,
}

// TestErrorsTellCallersWhatToDo verifies that error responses have consistent fields
// and headers for any fault, and a retry delay for transient ones.
func TestErrorsTellCallersWhatToDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := fault.New(rapid.SampledFrom(allKinds).Draw(t, "kind"), rapid.String().Draw(t, "message"), "do this").
			WithRan(rapid.SampledFrom([]fault.Ran{fault.RanNotApplicable, fault.NotRun, fault.RanUnknown}).Draw(t, "ran")).
			WithRetryAfter(time.Duration(rapid.IntRange(0, 90_000).Draw(t, "ms")) * time.Millisecond)
		recorder := httptest.NewRecorder()
		writeFault(recorder, written)
		var body errorBody
		if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
			t.Fatal(err)
		}
		read, header := body.Error, recorder.Header()
		if read.Code != string(written.Kind) || read.Ran != string(written.Ran) || read.Remedy == "" || read.Type == "" {
			t.Fatalf("%+v became %+v", written, read)
		}
		if (header.Get("X-Not-Run") == "true") != (written.Ran == fault.NotRun) {
			t.Fatalf("%+v has the headers %v", written, header)
		}
		if (header.Get(headerShouldRetry) == "false") != (written.Ran == fault.RanUnknown) {
			t.Fatalf("%+v has the headers %v", written, header)
		}
		seconds, _ := strconv.ParseInt(header.Get(headerRetryAfter), 10, 64)
		if seconds*1000 < read.RetryAfterMs || (read.RetryAfterMs > 0 && seconds*1000 >= read.RetryAfterMs+1000) {
			t.Fatalf("Retry-After %d s for %d ms", seconds, read.RetryAfterMs)
		}
		passing := recorder.Code == http.StatusTooManyRequests || recorder.Code == http.StatusServiceUnavailable
		if passing && written.Ran != fault.RanUnknown && read.RetryAfterMs <= 0 {
			t.Fatalf("%+v has no retry delay", written)
		}
	})
	recorder := httptest.NewRecorder()
	writeFault(recorder, errors.New("something else"))
	if recorder.Code != http.StatusInternalServerError || !strings.Contains(recorder.Body.String(), "rockwind logs") {
		t.Errorf("an untyped error was written as %d %s", recorder.Code, recorder.Body)
	}
}

// documentedRow matches the table rows of docs/API.md that list a path with its method
// or a code with its status.
var documentedRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| `?([A-Za-z0-9]+)`? \\|")

func TestAPIPageAgreesWithTheGateway(t *testing.T) {
	content, err := os.ReadFile("../../docs/API.md")
	must(t, err)
	documented := make(map[string]bool)
	for _, row := range documentedRow.FindAllStringSubmatch(string(content), -1) {
		documented[row[1]+" "+row[2]] = true
	}
	served := make(map[string]bool)
	router := (&Gateway{}).apiRoutes().(chi.Routes)
	must(t, chi.Walk(router, func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		if strings.HasPrefix(route, servicesPrefix) {
			method = "any"
		}
		served[route+" "+method] = true
		return nil
	}))
	for _, kind := range allKinds {
		served[string(kind)+" "+strconv.Itoa(kind.HTTPStatus())] = true
	}
	for _, row := range difference(served, documented) {
		t.Errorf("docs/API.md lacks %s", row)
	}
	for _, row := range difference(documented, served) {
		t.Errorf("docs/API.md has %s, which the gateway does not serve", row)
	}
}

// difference returns the sorted elements of one that are not in other.
func difference(one, other map[string]bool) []string {
	var missing []string
	for name := range one {
		if !other[name] {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}

func TestMethodNotAllowed(t *testing.T) {
	recorder := httptest.NewRecorder()
	g := &Gateway{drain: newDrainState(), metrics: newMetrics()}
	router := g.apiRoutes().(*chi.Mux)
	router.MethodNotAllowedHandler()(recorder, httptest.NewRequest(http.MethodDelete, "/v1/files", nil))
	if recorder.Code != http.StatusMethodNotAllowed || !strings.Contains(recorder.Body.String(), "DELETE is not allowed at /v1/files") {
		t.Errorf("answered with %d %s", recorder.Code, recorder.Body)
	}
}
