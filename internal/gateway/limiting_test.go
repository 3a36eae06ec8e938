package gateway

import (
	"bufio"
	"context"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// limitTenant sets the limits of the test tenant.
func (f *fixture) limitTenant(limits *rockwindpb.Limits) {
	next := proto.CloneOf(f.configuration())
	next.Number = f.configurations.Current().Number() + 1
	next.Tenants[0].Limits = limits
	f.configure(next)
}

// stored returns the number of stored bodies and of commands to the ledger.
func (f *fixture) stored() (bodies int, commands uint64) {
	f.control.mutex.Lock()
	defer f.control.mutex.Unlock()
	return len(f.control.bodies), f.control.index
}

// expectLimited verifies that the response is a refusal by the given limit.
func expectLimited(t *testing.T, response *http.Response, limit string) {
	t.Helper()
	refusal := errorOf(t, response)
	if response.StatusCode != http.StatusTooManyRequests || refusal.Ran != "not_run" || refusal.Code != "limit_reached" ||
		refusal.RetryAfterMs <= 0 || response.Header.Get(headerRetryAfter) == "" || !strings.Contains(refusal.Message, limit) {
		t.Errorf("%s: answered with %d %+v", limit, response.StatusCode, refusal)
	}
}

// expectWritesLimited verifies that the limit refuses uploads and new batches before
// their body is received, and that nothing is stored.
func (f *fixture) expectWritesLimited(t *testing.T, limit string) {
	t.Helper()
	bodiesBefore, commandsBefore := f.stored()
	for _, path := range []string{pathFiles, pathBatches} {
		// The HTTP server would wait for the rest of a short body before it responds.
		for _, length := range []int{1000, maximumFileBytes} {
			conn := f.sendPartial(path, length, "")
			must(t, conn.SetReadDeadline(time.Now().Add(testWait)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must(t, err)
			expectLimited(t, response, limit)
			conn.Close()
		}
	}
	form, contentType := uploadForm(t)
	request := f.request(pathFiles, form)
	request.Header.Set(headerContentType, contentType)
	response, err := f.httpClient.Do(request)
	must(t, err)
	expectLimited(t, response, limit)
	if bodies, commands := f.stored(); bodies != bodiesBefore || commands != commandsBefore {
		t.Errorf("refused requests stored %d bodies and %d commands", bodies-bodiesBefore, commands-commandsBefore)
	}
}

// uploadForm returns the form of a valid upload.
func uploadForm(t *testing.T) (body, contentType string) {
	var encoded strings.Builder
	form := multipart.NewWriter(&encoded)
	must(t, form.WriteField("purpose", purposeBatch))
	file, err := form.CreateFormFile("file", "items.jsonl")
	must(t, err)
	_, err = io.WriteString(file, inputFile(numberedTexts(3, "clue"), 8))
	must(t, err)
	must(t, form.Close())
	return encoded.String(), form.FormDataContentType()
}

// partialUpload is an upload in progress, of which a part has been stored.
type partialUpload struct {
	form   *multipart.Writer
	body   *io.PipeWriter
	cancel context.CancelFunc
	status chan int
}

func (f *fixture) beginUpload(t *testing.T) *partialUpload {
	t.Helper()
	before, _ := f.stored()
	source, sink := io.Pipe()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	t.Cleanup(cancel)
	u := &partialUpload{form: multipart.NewWriter(sink), body: sink, cancel: cancel, status: make(chan int, 1)}
	request := f.request(pathFiles, "").WithContext(ctx)
	request.Body, request.ContentLength = source, -1
	request.Header.Set(headerContentType, u.form.FormDataContentType())
	go func() {
		response, err := f.httpClient.Do(request)
		if err != nil {
			u.status <- 0
			return
		}
		response.Body.Close()
		u.status <- response.StatusCode
	}()
	must(t, u.form.WriteField("purpose", "notes"))
	file, err := u.form.CreateFormFile("file", "notes.txt")
	must(t, err)
	line := strings.Repeat("x", chunkBytes) + "\n"
	for range chunksPerStore + 1 {
		_, err = io.WriteString(file, line)
		must(t, err)
	}
	f.await("a part of the upload to be stored", func() bool { bodies, _ := f.stored(); return bodies > before })
	return u
}

func (u *partialUpload) finish(t *testing.T) {
	t.Helper()
	must(t, u.form.Close())
	must(t, u.body.Close())
	if status := <-u.status; status != http.StatusOK {
		t.Errorf("the upload was answered with %d", status)
	}
}

// TestUploadCountsForConcurrency verifies that an upload in progress counts for the
// concurrency limit of its tenant, and no longer does after it completed or was
// aborted.
func TestUploadCountsForConcurrency(t *testing.T) {
	f := startFixture(t, 1, engine.FastConfig())
	f.limitTenant(&rockwindpb.Limits{Concurrency: 1})
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()

	first := f.beginUpload(t)
	f.expectWritesLimited(t, "concurrency")
	response, err := f.post(pathChatCompletions, shortRequest)
	must(t, err)
	expectLimited(t, response, "concurrency")
	first.finish(t)
	f.awaitIdle()

	broken := f.beginUpload(t)
	broken.cancel()
	broken.body.CloseWithError(context.Canceled)
	<-broken.status
	f.awaitIdle()

	client := f.client()
	for range 3 {
		file := uploadBatch(ctx, t, client, inputFile(numberedTexts(3, "clue"), 8))
		submitBatch(ctx, t, client, file.ID)
	}
}

// TestWritesTakeFromTheRequestRate verifies that uploads count for the request rate.
func TestWritesTakeFromTheRequestRate(t *testing.T) {
	f := startFixture(t, 1, engine.FastConfig())
	f.limitTenant(&rockwindpb.Limits{RequestsPerSecond: 0.001})
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	uploadBatch(ctx, t, f.client(), inputFile(numberedTexts(3, "clue"), 8))
	f.expectWritesLimited(t, "requests_per_second")
}

// TestWritesTakeNoTokens verifies that the token limit does not apply to writes.
func TestWritesTakeNoTokens(t *testing.T) {
	f := startFixture(t, 1, engine.FastConfig())
	f.limitTenant(&rockwindpb.Limits{TokensPerSecond: 0.001, Concurrency: 1})
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	client := f.client()
	_, err := client.Chat.Completions.New(ctx, chatParameters(testModel, "first", 1))
	must(t, err)
	f.awaitIdle()
	response, err := f.post(pathChatCompletions, shortRequest)
	must(t, err)
	expectLimited(t, response, "tokens_per_second")
	file := uploadBatch(ctx, t, client, inputFile(numberedTexts(3, "clue"), 8))
	submitBatch(ctx, t, client, file.ID)
}
