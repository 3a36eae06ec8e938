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

// handle serves one request and reports whether its connection was aborted.
func handle(ctx context.Context, handler http.Handler, method, path, body string) (status int, aborted bool) {
	defer func() {
		problem, ok := recover().(error)
		aborted = ok && errors.Is(problem, http.ErrAbortHandler)
	}()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body)))
	return recorder.Code, false
}

// After FaultDie, connections must be aborted; after FaultHang, requests must block
// until the client disconnects. /fault and /drain must keep working in both.
func TestInjectedFaultsTakeEffect(t *testing.T) {
	model, _ := startEngine(t, standin.EngineOptions{Config: fastConfig()})
	service, err := standin.NewService(standin.ServiceOptions{Name: "s", Concurrency: 1})
	if err != nil {
		t.Fatal(err)
	}
	left, leave := context.WithCancel(t.Context())
	leave()
	cases := []struct {
		fault   string
		caller  context.Context
		aborted bool
	}{
		{`{"kind":"none"}`, left, false},
		{`{"kind":"hang","duration_ms":3600000}`, left, true},
		{`{"kind":"none"}`, t.Context(), false},
		{`{"kind":"die","duration_ms":3600000}`, t.Context(), true},
	}
	for name, handler := range map[string]http.Handler{"engine": model.Handler(), "service": service.Handler()} {
		for _, step := range cases {
			if status, aborted := handle(t.Context(), handler, http.MethodPost, "/fault", step.fault); aborted || status != http.StatusOK {
				t.Fatalf("%s: POST /fault with %s: status %d, aborted %v", name, step.fault, status, aborted)
			}
			// The response to the next command implies that the fault is in effect.
			if status, aborted := handle(t.Context(), handler, http.MethodPost, "/drain", `{"draining":false}`); aborted || status != http.StatusOK {
				t.Fatalf("%s: POST /drain after %s: status %d, aborted %v", name, step.fault, status, aborted)
			}
			status, aborted := handle(step.caller, handler, http.MethodGet, "/healthz", "")
			if aborted != step.aborted || !aborted && status != http.StatusOK {
				t.Fatalf("%s: GET /healthz after %s: status %d, aborted %v", name, step.fault, status, aborted)
			}
		}
		if status, _ := handle(t.Context(), handler, http.MethodPost, "/fault", "{"); status != http.StatusBadRequest {
			t.Fatalf("%s: invalid fault: status %d, want 400", name, status)
		}
	}
}
