package standin_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/standin"
)

// handle serves one request and tells whether its connection was broken.
func handle(ctx context.Context, handler http.Handler, method, path, body string) (status int, broken bool) {
	defer func() {
		problem, some := recover().(error)
		broken = some && errors.Is(problem, http.ErrAbortHandler)
	}()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body)))
	return recorder.Code, false
}

// TestStandInsFailAsOrdered orders faults over HTTP: a dead stand-in breaks the
// connection, a hung one answers nothing before its caller leaves, both take
// further orders and recover.
func TestStandInsFailAsOrdered(t *testing.T) {
	model, _ := startEngine(t, standin.EngineOptions{Config: fastConfig()})
	service, err := standin.NewService(standin.ServiceOptions{Name: "s", Concurrency: 1})
	if err != nil {
		t.Fatal(err)
	}
	left, leave := context.WithCancel(t.Context())
	leave()
	cases := []struct {
		order  string
		caller context.Context
		broken bool
	}{
		{`{"kind":"none"}`, left, false},
		{`{"kind":"hang","duration_ms":3600000}`, left, true},
		{`{"kind":"none"}`, t.Context(), false},
		{`{"kind":"die","duration_ms":3600000}`, t.Context(), true},
	}
	for name, handler := range map[string]http.Handler{"engine": model.Handler(), "service": service.Handler()} {
		for _, step := range cases {
			if status, broken := handle(t.Context(), handler, http.MethodPost, "/fault", step.order); broken || status != http.StatusOK {
				t.Fatalf("%s: the order %s got status %d, broken %v", name, step.order, status, broken)
			}
			// The engine's answer to the next order tells that the fault is in force.
			if status, broken := handle(t.Context(), handler, http.MethodPost, "/drain", `{"draining":false}`); broken || status != http.StatusOK {
				t.Fatalf("%s: an order after %s got status %d, broken %v", name, step.order, status, broken)
			}
			status, broken := handle(step.caller, handler, http.MethodGet, "/healthz", "")
			if broken != step.broken || !broken && status != http.StatusOK {
				t.Fatalf("%s after %s: status %d, broken %v", name, step.order, status, broken)
			}
		}
		if status, _ := handle(t.Context(), handler, http.MethodPost, "/fault", "{"); status != http.StatusBadRequest {
			t.Fatalf("%s: a broken order got status %d", name, status)
		}
	}
}
