package site_test

import (
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// Guards against cold times that are taken from malformed headers, from answers that name no incarnation, or
// under the header of another platform.
func TestIdentifierReadsColdTime(t *testing.T) {
	t.Parallel()
	for _, each := range []struct {
		found, cold, header string
		want                uint32
	}{
		{"a", "1500", "Cold", 1500}, {"a", " 1500.7 ", "Cold", 1500}, {"b", "1500", "Cold", 1500},
		{"a", "", "Cold", 0}, {"a", "0", "Cold", 0}, {"a", "-3", "Cold", 0}, {"a", "soon", "Cold", 0}, {"a", "NaN", "Cold", 0},
		{"a", "1e300", "Cold", math.MaxUint32}, {"a", "1e999", "Cold", math.MaxUint32}, {"a", "+Inf", "Cold", math.MaxUint32}, {"a", "-Inf", "Cold", 0},
		{"", "1500", "Cold", 0}, {"a", "1500", "", 0}, {"a", "1500", "Other-Cold", 0},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set("Found", each.found)
			writer.Header().Set("Cold", each.cold)
			if request.Header.Get("Expected") != each.found {
				writer.WriteHeader(http.StatusMisdirectedRequest)
			}
		}))
		expected := &rockwindpb.Server{Id: "a", Address: strings.TrimPrefix(server.URL, "http://")}
		identity, err := site.HTTPIdentifier("Expected", "Found", each.header)(t.Context(), expected, "/healthz")
		server.Close()
		if err != nil || identity.Found != each.found || identity.ColdMs != each.want || (identity.Rejected == "a") != (each.found != "a") {
			t.Errorf("%+v: %+v, %v", each, identity, err)
		}
	}
}
