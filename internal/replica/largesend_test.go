package replica_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// TestLargeCommandsReachAllReplicas guards against large commands that are lost, damaged or applied twice. They are
// sent and received by code of their own, also after one of the machines has restarted.
func TestLargeCommandsReachAllReplicas(t *testing.T) {
	runCluster(t, 3, nil, func(f *testCluster) {
		key := strings.Repeat("k", 2<<20)
		for added := 1; added <= 3; added++ {
			if value := f.add(1, key); value != added {
				t.Fatalf("value %d after %d increments", value, added)
			}
			f.eventually("all replicas hold the large command", func() bool {
				for _, m := range f.machines {
					if m.state(1) == nil || m.state(1).get(key) != added {
						return false
					}
				}
				return true
			})
			f.crash(f.machines[added-1])
			f.start(f.machines[added-1])
		}
	})
}

// TestServerAnswersLikeTheGeneratedOne guards against calls of any size and form that are answered otherwise than
// by the generated code, which processes of other versions use.
func TestServerAnswersLikeTheGeneratedOne(t *testing.T) {
	runCluster(t, 3, nil, func(f *testCluster) {
		host := f.machines[0].running()
		generated := rockwindpb.NewReplicaServiceServer(host.Service())
		large, err := proto.Marshal(&rockwindpb.SendRequest{ClusterId: "another cluster", Machine: "b", Messages: []*rockwindpb.GroupMessage{
			{Group: 1, Message: &rockwindpb.Message{To: host.DiskID(), Entries: []*rockwindpb.Entry{{Data: make([]byte, 1<<20)}}}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		for name, body := range map[string][]byte{
			"refused": large, "empty": nil, "not a message": bytes.Repeat([]byte{0xff}, 1<<20), "no messages": unknownField(1 << 20),
		} {
			for _, contentType := range []string{"application/protobuf", "application/json", "text/plain"} {
				answer := func(server http.Handler) *httptest.ResponseRecorder {
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					defer cancel()
					request := httptest.NewRequestWithContext(ctx, http.MethodPost, rockwindpb.ReplicaServicePathPrefix+"Send", bytes.NewReader(body))
					request.Header.Set("Content-Type", contentType)
					recorder := httptest.NewRecorder()
					server.ServeHTTP(recorder, request)
					return recorder
				}
				got, want := answer(replica.NewServer(host)), answer(generated)
				if got.Code != want.Code || got.Header().Get("Content-Type") != want.Header().Get("Content-Type") || got.Body.String() != want.Body.String() {
					gotBody, _ := io.ReadAll(got.Body)
					wantBody, _ := io.ReadAll(want.Body)
					t.Errorf("%s, %s: %d %q, generated: %d %q", name, contentType, got.Code, gotBody, want.Code, wantBody)
				}
			}
		}
	})
}

// unknownField returns a message with a field of a later version of about the given size.
func unknownField(size int) []byte {
	message := &rockwindpb.SendRequest{ClusterId: strings.Repeat("c", size)}
	encoded, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	// The tag of field 15 instead of that of field 1.
	encoded[0] = 15<<3 | 2
	return encoded
}
