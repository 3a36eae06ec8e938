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

// limitTenant puts limits of the test tenant in force.
func (f *fleet) limitTenant(limits *rockwindpb.Limits) {
	next := proto.CloneOf(f.configuration())
	next.Number = f.source.Current().Number() + 1
	next.Tenants[0].Limits = limits
	f.configure(next)
}

// stored counts what the control machines hold: bodies, and commands such as the
// record of a file or a job.
func (f *fleet) stored() (bodies int, commands uint64) {
	f.control.mutex.Lock()
	defer f.control.mutex.Unlock()
	return len(f.control.bodies), f.control.index
}

// expectLimited checks a refusal by a limit.
func expectLimited(t *testing.T, response *http.Response, limit string) {
	t.Helper()
	refusal := errorOf(t, response)
	if response.StatusCode != http.StatusTooManyRequests || refusal.Ran != "not_run" || refusal.Code != "limit_reached" ||
		refusal.RetryAfterMs <= 0 || response.Header.Get(headerRetryAfter) == "" || !strings.Contains(refusal.Message, limit) {
		t.Errorf("%s: answered with %d %+v", limit, response.StatusCode, refusal)
	}
}

// expectWritesLimited checks that uploads and new batches are refused by the limit
// before any of their body is there, and that nothing of them is stored.
func (f *fleet) expectWritesLimited(t *testing.T, limit string) {
	t.Helper()
	bodiesBefore, commandsBefore := f.stored()
	for _, path := range []string{pathFiles, pathBatches} {
		// The server would wait for the rest of a short body.
		for _, length := range []int{1000, maximumFile} {
			conn := f.open(path, length, "")
			must(t, conn.SetReadDeadline(time.Now().Add(testWait)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must(t, err)
			expectLimited(t, response, limit)
			conn.Close()
		}
	}
	whole, contentType := wholeUpload(t)
	request := f.request(pathFiles, whole)
	request.Header.Set(headerContentType, contentType)
	response, err := f.http.Do(request)
	must(t, err)
	expectLimited(t, response, limit)
	if bodies, commands := f.stored(); bodies != bodiesBefore || commands != commandsBefore {
		t.Errorf("refused requests stored %d bodies and %d commands", bodies-bodiesBefore, commands-commandsBefore)
	}
}

// wholeUpload is the form of a valid upload.
func wholeUpload(t *testing.T) (body, contentType string) {
	var encoded strings.Builder
	form := multipart.NewWriter(&encoded)
	must(t, form.WriteField("purpose", purposeBatch))
	file, err := form.CreateFormFile("file", "items.jsonl")
	must(t, err)
	_, err = io.WriteString(file, inputFile(texts(3, "clue"), 8))
	must(t, err)
	must(t, form.Close())
	return encoded.String(), form.FormDataContentType()
}

// slowUpload is an upload whose caller has sent a part that is stored already.
type slowUpload struct {
	form   *multipart.Writer
	body   *io.PipeWriter
	cancel context.CancelFunc
	status chan int
}

func (f *fleet) beginUpload(t *testing.T) *slowUpload {
	t.Helper()
	before, _ := f.stored()
	source, sink := io.Pipe()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	t.Cleanup(cancel)
	u := &slowUpload{form: multipart.NewWriter(sink), body: sink, cancel: cancel, status: make(chan int, 1)}
	request := f.request(pathFiles, "").WithContext(ctx)
	request.Body, request.ContentLength = source, -1
	request.Header.Set(headerContentType, u.form.FormDataContentType())
	go func() {
		response, err := f.http.Do(request)
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

func (u *slowUpload) finish(t *testing.T) {
	t.Helper()
	must(t, u.form.Close())
	must(t, u.body.Close())
	if status := <-u.status; status != http.StatusOK {
		t.Errorf("the upload was answered with %d", status)
	}
}

// TestUploadHoldsItsPlace takes the only place of a tenant by an upload: until it
// has ended other uploads, batches and completions are refused, and afterwards,
// however it ended, the place is free.
func TestUploadHoldsItsPlace(t *testing.T) {
	f := startFleet(t, 1, engine.FastConfig())
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
		file := uploadBatch(ctx, t, client, inputFile(texts(3, "clue"), 8))
		submitBatch(ctx, t, client, file.ID)
	}
}

// TestWritesTakeFromTheRequestRate uses the rate up by an upload.
func TestWritesTakeFromTheRequestRate(t *testing.T) {
	f := startFleet(t, 1, engine.FastConfig())
	f.limitTenant(&rockwindpb.Limits{RequestsPerSecond: 0.001})
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	uploadBatch(ctx, t, f.client(), inputFile(texts(3, "clue"), 8))
	f.expectWritesLimited(t, "requests_per_second")
}

// TestWritesTakeNoTokens uploads while the tenant's tokens are used up.
func TestWritesTakeNoTokens(t *testing.T) {
	f := startFleet(t, 1, engine.FastConfig())
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
	file := uploadBatch(ctx, t, client, inputFile(texts(3, "clue"), 8))
	submitBatch(ctx, t, client, file.ID)
}
