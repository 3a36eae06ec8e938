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

// poison is a prompt that crashes the engine.
const poison = "poison"

// crashOnPoison returns the handler of an engine that crashes on the poison prompt,
// loses all requests in progress and restarts at once.
func crashOnPoison(standIn *standin.Engine) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		if bytes.Contains(body, []byte(poison)) {
			standIn.Inject(standin.FaultRequest{Kind: engine.FaultDie, DurationMs: 1})
			panic(http.ErrAbortHandler)
		}
		standIn.Handler().ServeHTTP(writer, request)
	})
}

// TestPoisonItemFailsAlone verifies that an item which crashes the engine each time
// fails, while the items that run concurrently complete.
func TestPoisonItemFailsAlone(t *testing.T) {
	const poisoned = 5
	f := newFixture(t)
	f.wrapEngine = crashOnPoison
	f.start(1, engine.FastConfig())
	ctx, cancel := context.WithTimeout(t.Context(), 3*testWait)
	defer cancel()
	client := f.client()
	texts := numberedTexts(12, "clue")
	texts[poisoned] = poison
	file := uploadBatch(ctx, t, client, inputFile(texts, 100))
	created := submitBatch(ctx, t, client, file.ID)
	ended := awaitBatch(ctx, t, f, client, created.ID)
	counts := ended.RequestCounts
	if ended.Status != openai.BatchStatusCompleted || counts.Failed != 1 || counts.Completed != int64(len(texts)-1) {
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
