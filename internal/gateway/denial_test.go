package gateway

import (
	"net/http"
	"testing"

	"rockwind.example/rockwind/internal/engine"
)

// Guards against final refusals of keys, models and services that the configuration of a gateway lacks although it
// may be old, as after a start without control.
func TestOldConfigurationDeniesNothingForGood(t *testing.T) {
	f := startFixture(t, 1, engine.Config{})
	status := func(method, path, key, body string) int {
		request, err := http.NewRequest(method, f.url+path, http.NoBody)
		if body != "" {
			request = f.request(path, body)
		}
		must(t, err)
		request.Header.Set(headerAuthorization, bearerPrefix+key)
		response, err := f.httpClient.Do(request)
		must(t, err)
		response.Body.Close()
		return response.StatusCode
	}
	for _, outOfContact := range []bool{false, true} {
		f.configurations.setOutOfContact(outOfContact)
		for _, denied := range []struct {
			what, method, path, key, body string
			status                        int
		}{
			{"key", http.MethodGet, "/v1/models", "unknown", "", http.StatusUnauthorized},
			{"model", http.MethodGet, "/v1/models/unknown", testKey, "", http.StatusNotFound},
			{"model of a completion", http.MethodPost, "/v1/completions", testKey, `{"model":"unknown","prompt":"a"}`, http.StatusNotFound},
			{"service", http.MethodGet, "/services/unknown/", testKey, "", http.StatusNotFound},
		} {
			want := denied.status
			if outOfContact {
				want = http.StatusServiceUnavailable
			}
			if got := status(denied.method, denied.path, denied.key, denied.body); got != want {
				t.Errorf("unknown %s, out of contact %v: status %d, want %d", denied.what, outOfContact, got, want)
			}
		}
		if got := status(http.MethodGet, "/v1/models", testKey, ""); got != http.StatusOK {
			t.Errorf("known key, out of contact %v: status %d", outOfContact, got)
		}
	}
}
