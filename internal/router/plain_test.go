package router_test

import (
	"net/http"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/upstream"
)

func TestPlainProtocolReadsAndWritesItsHeaders(t *testing.T) {
	header := http.Header{}
	header.Set(upstream.HeaderRequestID, "r1")
	header.Set(router.HeaderTimeLeft, "1500")
	info, err := router.PlainProtocol{}.ParseRequest(header)
	if err != nil || info.ID != "r1" || info.Timeout != 1500*time.Millisecond {
		t.Fatalf("%+v, %v", info, err)
	}
	router.PlainProtocol{}.Prepare(header, router.AttemptInfo{ServerID: "s1", Remaining: 700 * time.Millisecond, ResumeAfter: "4"})
	for name, want := range map[string]string{router.HeaderServer: "s1", router.HeaderTimeLeft: "700", router.HeaderLastEvent: "4", upstream.HeaderRequestID: "r1"} {
		if got := header.Get(name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	header.Set(router.HeaderTimeLeft, "soon")
	if _, err := (router.PlainProtocol{}).ParseRequest(header); !fault.Is(err, fault.InvalidArgument) {
		t.Errorf("a time that is no number: %v", err)
	}
}

func TestPlainProtocolNeedsNotRunHeader(t *testing.T) {
	refused := http.Header{upstream.HeaderNotRun: {"true"}}
	if !(router.PlainProtocol{}).ParseResponse(http.StatusServiceUnavailable, refused).NotRun {
		t.Error("a server's word that it did not run the request is passed over")
	}
	if (router.PlainProtocol{}).ParseResponse(http.StatusServiceUnavailable, http.Header{}).NotRun {
		t.Error("a status alone is taken for proof")
	}
	request := http.Header{upstream.HeaderRequestID: {"r1"}}
	if (router.PlainProtocol{}).Belongs(request, http.Header{upstream.HeaderRequestID: {"r2"}}) {
		t.Error("an answer to another request is taken")
	}
}

func TestPlainJobIgnoresStoreFields(t *testing.T) {
	body := []byte(`{"id":"j1","ended":true,"items":[{"id":"i1","path":"/x"}],"results":[{"item":0,"outcome":"STORED_OUTCOME_DONE"}]}`)
	job, err := router.PlainProtocol{}.ParseJob(http.Header{}, body)
	if err != nil || job.GetId() != "j1" || len(job.GetItems()) != 1 || job.GetEnded() || len(job.GetResults()) != 0 {
		t.Fatalf("%v, %v", job, err)
	}
	for _, wrong := range []string{`{`, `{"items":[]}`} {
		if _, err := (router.PlainProtocol{}).ParseJob(http.Header{}, []byte(wrong)); !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("%s: %v", wrong, err)
		}
	}
}

func TestSplitFollowsTheWeights(t *testing.T) {
	route := &rockwindpb.Route{Split: []*rockwindpb.ServiceShare{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	const requests = 20_000
	for i := range requests {
		counts[router.ChooseService(route, time.Duration(i).String())]++
	}
	if counts["none"] != 0 || counts["b"] < requests*8/100 || counts["b"] > requests*12/100 {
		t.Errorf("%v", counts)
	}
	if got := router.ChooseService(&rockwindpb.Route{}, "x"); got != "" {
		t.Errorf("a route without a split goes to %q", got)
	}
}
