package hollow

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/bench/wire"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// A control machine is read as it was written, and other texts are refused.
func TestControlFlagIsReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &rockwindpb.ControlMachine{
			Machine: rapid.StringMatching(`[a-z0-9-]{1,12}`).Draw(t, "machine"),
			Address: net.JoinHostPort("127.0.0.1", rapid.StringMatching(`[1-9][0-9]{0,3}`).Draw(t, "port")),
			Zone:    rapid.StringMatching(`[a-z0-9-]{1,12}`).Draw(t, "zone"),
		}
		read, err := parseControl([]string{ControlFlag(machine)})
		if err != nil || len(read) != 1 || !proto.Equal(read[0], machine) {
			t.Fatalf("%v was read as %v, %v", machine, read, err)
		}
	})
	for _, wrong := range []string{"", "machine", "machine=127.0.0.1:1", "127.0.0.1:1@zone", "machine=127.0.0.1@zone"} {
		if _, err := parseControl([]string{wrong}); err == nil {
			t.Errorf("%q was taken for a control machine", wrong)
		}
	}
}

// Every load report differs from the one before, so that digests change as they
// do in use.
func TestLoadReportsMove(t *testing.T) {
	engine := &hollowEngine{loaded: []string{"model@v1"}}
	last := loadReport{RunningOnline: -1}
	for range 3 * reportedRunning {
		recorder := httptest.NewRecorder()
		engine.handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/load", nil))
		var report loadReport
		if err := json.Unmarshal(recorder.Body.Bytes(), &report); err != nil {
			t.Fatal(err)
		}
		if report.RunningOnline == last.RunningOnline || report.Sequence <= last.Sequence {
			t.Fatalf("report %+v follows %+v", report, last)
		}
		last = report
	}
}

// The page of a process blocks the addresses of its query on all counters.
func TestBlockPageBlocks(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	address := listener.Addr().String()
	counters := []*wire.Counter{{}, {}}
	call := func(addresses ...string) {
		request := httptest.NewRequest(http.MethodGet, BlockPage+"?"+BlockQuery(addresses), nil)
		blockPage(counters)(httptest.NewRecorder(), request)
	}
	call(address)
	for _, counter := range counters {
		if _, err := counter.Dial(t.Context(), address); err == nil {
			t.Fatal("a blocked address is reached")
		}
	}
	call()
	for _, counter := range counters {
		if _, err := counter.Dial(t.Context(), address); err != nil {
			t.Fatalf("the address stays blocked: %v", err)
		}
	}
}
