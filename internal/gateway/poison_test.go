package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/standin"
)

// poison is a word in a prompt that brings the engine down.
const poison = "poison"

// breakOnPoison is an engine that loses all its requests when it is asked a
// poisonous one, and comes back at once.
func breakOnPoison(stand *standin.Engine) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		if bytes.Contains(body, []byte(poison)) {
			stand.Inject(standin.FaultOrder{Kind: engine.FaultDie, DurationMs: 1})
			panic(http.ErrAbortHandler)
		}
		stand.Handler().ServeHTTP(writer, request)
	})
}

// TestPoisonItemTakesNoOtherAlong runs a job with one item that brings the engine
// down each time. It must end as failed, and every other item must complete,
// although they run beside it.
func TestPoisonItemTakesNoOtherAlong(t *testing.T) {
	const poisoned = 5
	f := newFleet(t)
	f.wrapEngine = breakOnPoison
	f.start(1, engine.FastConfig())
	ctx, cancel := context.WithTimeout(t.Context(), 3*testWait)
	defer cancel()
	client := f.client()
	asked := texts(12, "clue")
	asked[poisoned] = poison
	file := uploadBatch(ctx, t, client, inputFile(asked, 100))
	created := submitBatch(ctx, t, client, file.ID)
	ended := awaitBatch(ctx, t, f, client, created.ID)
	counts := ended.RequestCounts
	if ended.Status != openai.BatchStatusCompleted || counts.Failed != 1 || counts.Completed != int64(len(asked)-1) {
		t.Fatalf("batch ended as %s with %+v", ended.Status, counts)
	}
	response, err := client.Files.Content(ctx, ended.ErrorFileID)
	must(t, err)
	defer response.Body.Close()
	failures, err := io.ReadAll(response.Body)
	must(t, err)
	if lines := strings.Count(string(failures), "custom_id"); lines != 1 || !strings.Contains(string(failures), fmt.Sprintf("item-%d", poisoned)) {
		t.Fatalf("failed items: %s", failures)
	}
}
