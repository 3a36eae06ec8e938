package gateway

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/bench/authority"
	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// slowConfig configures an engine whose streams last long enough for a drain to begin
// during them.
func slowConfig() engine.Config {
	config := engine.FastConfig()
	config.TokensPerStep = 1
	config.BaseStep = 10 * time.Millisecond
	return config
}

// getStatus returns the HTTP status of a GET request.
func (f *fixture) getStatus(url string) int {
	f.t.Helper()
	response, err := f.httpClient.Get(url)
	must(f.t, err)
	defer response.Body.Close()
	return response.StatusCode
}

// errorOf decodes an error response.
func errorOf(t *testing.T, response *http.Response) errorObject {
	t.Helper()
	defer response.Body.Close()
	var body errorBody
	must(t, json.NewDecoder(response.Body).Decode(&body))
	return body.Error
}

// post sends a request as the test tenant.
func (f *fixture) post(path, body string) (*http.Response, error) {
	return f.httpClient.Do(f.request(path, body))
}

// request returns a POST request of the test tenant.
func (f *fixture) request(path, body string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, f.url+path, strings.NewReader(body))
	must(f.t, err)
	request.Header.Set(headerAuthorization, bearerPrefix+testKey)
	return request
}

const shortRequest = `{"model":"` + testModel + `","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`

// keepAliveConnection sends several requests over one connection.
type keepAliveConnection struct {
	t      testing.TB
	conn   net.Conn
	reader *bufio.Reader
}

func (f *fixture) dialKeepAlive() *keepAliveConnection {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	must(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	return &keepAliveConnection{t: f.t, conn: conn, reader: bufio.NewReader(conn)}
}

func (k *keepAliveConnection) send(request *http.Request) *http.Response {
	must(k.t, request.Write(k.conn))
	response, err := http.ReadResponse(k.reader, request)
	must(k.t, err)
	return response
}

// TestDrainAnswersKeptConnections verifies that a request on a keep-alive connection
// that was idle when the drain began gets a response and is not cut off.
func TestDrainAnswersKeptConnections(t *testing.T) {
	f := startFixture(t, 1, slowConfig())
	client := f.client()
	stream := client.Chat.Completions.NewStreaming(context.Background(), chatParameters(testModel, "a long saga", 100))
	defer stream.Close()
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	connection := f.dialKeepAlive()
	first := connection.send(f.request(pathChatCompletions, shortRequest))
	_, _ = io.Copy(io.Discard, first.Body)
	f.stop()
	<-f.gateway.drain.started
	response := connection.send(f.request(pathChatCompletions, shortRequest))
	if refusal := errorOf(t, response); response.StatusCode != http.StatusServiceUnavailable || refusal.Ran != "not_run" || !response.Close {
		t.Errorf("answered with %d %+v, closing %v", response.StatusCode, refusal, response.Close)
	}
	for stream.Next() {
	}
	must(t, stream.Err())
}

func TestStopCutsNoStream(t *testing.T) {
	t.Run("HTTP/1.1 without TLS", func(t *testing.T) { checkStop(t, startFixture(t, 1, slowConfig())) })
	t.Run("HTTP/2 over TLS", func(t *testing.T) {
		f := newFixture(t)
		f.enableTLS()
		f.start(1, slowConfig())
		checkStop(t, f)
	})
}

func checkStop(t *testing.T, f *fixture) {
	if f.getStatus(f.url+pathReady) != http.StatusOK || f.getStatus(f.internalURL+pathReady) != http.StatusOK {
		t.Fatal("the gateway is not ready")
	}
	client := f.client()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	stream := client.Chat.Completions.NewStreaming(ctx, chatParameters(testModel, "a long saga", 100))
	defer stream.Close()
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	text := stream.Current().Choices[0].Delta.Content
	f.stop()
	<-f.gateway.drain.started
	for _, base := range []string{f.url, f.internalURL} {
		if status := f.getStatus(base + pathReady); status != http.StatusServiceUnavailable {
			t.Errorf("readiness while draining is %d", status)
		}
		if status := f.getStatus(base + pathAlive); status != http.StatusOK {
			t.Errorf("health while draining is %d", status)
		}
	}
	response, err := f.post(pathChatCompletions, shortRequest)
	must(t, err)
	if refusal := errorOf(t, response); response.StatusCode != http.StatusServiceUnavailable || refusal.Ran != "not_run" || refusal.RetryAfterMs <= 0 {
		t.Errorf("a new request was answered with %d %+v", response.StatusCode, refusal)
	}
	if draining, active := f.gateway.drain.state(); !draining || active == 0 {
		t.Error("the stream ended before the drain was checked")
	}
	select {
	case <-f.gateway.drain.idle:
		t.Error("the drain is over while a stream is in progress")
	default:
	}
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
		}
	}
	must(t, stream.Err())
	if want := answerTo("a long saga", 100); text != want {
		t.Errorf("streamed %q, want %q", text, want)
	}
}

func TestLimitsOfTenants(t *testing.T) {
	f := startFixture(t, 1, slowConfig())
	limit := func(limits *rockwindpb.Limits) {
		next := f.configuration()
		next.Number = f.configurations.Current().Number() + 1
		next.Tenants[0].Limits = limits
		f.configure(next)
	}
	expectRefusal := func(limit string) {
		t.Helper()
		response, err := f.post(pathChatCompletions, shortRequest)
		must(t, err)
		refusal := errorOf(t, response)
		if response.StatusCode != http.StatusTooManyRequests || refusal.Ran != "not_run" || refusal.Type != "rate_limit_error" ||
			response.Header.Get(headerRetryAfter) == "" || !strings.Contains(refusal.Message, limit) {
			t.Errorf("%s: answered with %d %+v", limit, response.StatusCode, refusal)
		}
	}
	client := f.client()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()

	limit(&rockwindpb.Limits{Concurrency: 1})
	stream := client.Chat.Completions.NewStreaming(ctx, chatParameters(testModel, "a saga", 1000))
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	expectRefusal("concurrency")
	stream.Close()
	f.await("the end of the stream", func() bool { _, active := f.gateway.drain.state(); return active == 0 })

	limit(&rockwindpb.Limits{RequestsPerSecond: 0.001})
	_, err := client.Chat.Completions.New(ctx, chatParameters(testModel, "first", 1))
	must(t, err)
	expectRefusal("requests_per_second")

	limit(&rockwindpb.Limits{TokensPerSecond: 0.001})
	_, err = client.Chat.Completions.New(ctx, chatParameters(testModel, "second", 1))
	must(t, err)
	expectRefusal("tokens_per_second")
}

// TestAbortedResponseReleasesConcurrency verifies that a request whose response the
// service aborts is aborted for the caller too and no longer counts for the
// concurrency limit.
func TestAbortedResponseReleasesConcurrency(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "a part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(broken.Close)
	f := startFixture(t, 1, engine.FastConfig())
	next := proto.CloneOf(f.configuration())
	next.Number = 2
	next.Tenants[0].Limits = &rockwindpb.Limits{Concurrency: 1}
	for _, backEnd := range next.BackEnds {
		if backEnd.GetKind() == rockwindpb.BackEndKind_BACK_END_KIND_SERVICE {
			backEnd.Address = broken.Listener.Addr().String()
		}
	}
	f.configure(next)
	f.await("the broken service to be in use", func() bool {
		response, err := f.post(servicesPrefix+testService+"/book", "{}")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		if response.StatusCode == http.StatusTooManyRequests {
			t.Fatal("requests that have ended still count for the concurrency limit")
		}
		_, err = io.ReadAll(response.Body)
		return err != nil
	})
	f.await("the end of the request", func() bool { _, active := f.gateway.drain.state(); return active == 0 })
	response, err := f.post(pathChatCompletions, shortRequest)
	must(t, err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("the next request was answered with %d", response.StatusCode)
	}
}

// enableTLS turns TLS for callers on and makes the client use HTTP/2.
func (f *fixture) enableTLS() {
	signer, err := authority.New("callers", time.Hour)
	must(f.t, err)
	folder := f.t.TempDir()
	must(f.t, signer.Write(folder, "gateway", netip.MustParseAddr("127.0.0.1")))
	f.callerTLS = &rockwindpb.TlsSettings{
		CertificateFile: filepath.Join(folder, "gateway.pem"), KeyFile: filepath.Join(folder, "gateway.key"),
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(signer.Certificate())
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true}
	f.t.Cleanup(transport.CloseIdleConnections)
	f.httpClient = &http.Client{Transport: transport}
}

func TestCallersOverTLS(t *testing.T) {
	f := newFixture(t)
	f.enableTLS()
	f.start(1, engine.FastConfig())
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	client := f.client()
	response, err := f.httpClient.Get(f.url + pathAlive)
	must(t, err)
	response.Body.Close()
	if response.ProtoMajor != 2 {
		t.Errorf("callers over TLS use %s", response.Proto)
	}
	checkChat(ctx, t, client)
	checkStream(ctx, t, client)
	checkBatchOverTLS(ctx, t, f, client)

	untrustingCaller := f.client(option.WithHTTPClient(http.DefaultClient))
	_, err = untrustingCaller.Models.List(ctx)
	if err == nil || !strings.Contains(err.Error(), "unknown authority") {
		t.Errorf("a caller that does not trust the certificate authority got %v", err)
	}
}

func checkBatchOverTLS(ctx context.Context, t *testing.T, f *fixture, client openai.Client) {
	texts := numberedTexts(20, "clue")
	created := submitBatch(ctx, t, client, uploadBatch(ctx, t, client, inputFile(texts, 8)).ID)
	ended := awaitBatch(ctx, t, f, client, created.ID)
	checkOutput(ctx, t, client, ended.OutputFileID, texts, 8)
}
