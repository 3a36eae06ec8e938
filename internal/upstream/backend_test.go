package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// behaviour is how a backend treats one request.
type behaviour int

const (
	completeResponse behaviour = iota
	failDial
	closeAtAccept
	closeHalfRead
	closeAfterRead
	refuseRequest
	errorResponse
	truncatedResponse
	hangBeforeHead
	hangInBody
	behaviours
)

// resumption is how a backend treats a resume request.
type resumption int

const (
	resumeWorks resumption = iota
	resumeUnknown
	resumeBusy
	resumeDead
	resumptions
)

// script is how a backend treats the next request.
type script struct {
	Behaviour behaviour
	Resume    resumption
	// Events is the number of events after which a stream breaks.
	Events int
	// Step is the number of tokens per event.
	Step int
}

// responseTokens is the length of every response in tokens.
const responseTokens = 12

// backend is a scripted backend over net.Pipe.
type backend struct {
	mutex   sync.Mutex
	name    string
	scripts []script
	// runs counts the runs that started at this backend.
	runs int
	// total counts the runs at all backends.
	total *atomic.Int64
	// stream and deterministic describe the request.
	stream        bool
	deterministic bool
	// known holds the resumable runs by request ID.
	known map[string]*knownRun
	// busy counts the resume requests so far.
	busy int
}

type knownRun struct {
	script script
	number int
}

func (b *backend) next() script {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.scripts) == 0 {
		return script{Behaviour: completeResponse, Step: 1}
	}
	return b.scripts[0]
}

func (b *backend) pop() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.scripts) > 0 {
		b.scripts = b.scripts[1:]
	}
}

// dial opens a connection that is served by the backend.
func (b *backend) dial(context.Context) (net.Conn, error) {
	current := b.next()
	if current.Behaviour == failDial {
		b.pop()
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	if current.Behaviour == closeAtAccept {
		b.pop()
		far.Close()
		return near, nil
	}
	go b.serve(far)
	return near, nil
}

// serve answers the requests of one connection.
func (b *backend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if b.next().Behaviour == closeHalfRead {
			b.pop()
			b.readPartially(conn)
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var body strings.Builder
		if _, err := bufio.NewReader(request.Body).WriteTo(&body); err != nil {
			return
		}
		if !b.answer(conn, request, body.String()) {
			return
		}
	}
}

// readPartially reads only the start of a request. A partial completion request
// counts as a run, because a backend may have started it.
func (b *backend) readPartially(conn net.Conn) {
	part := make([]byte, len("POST "+completionPath))
	n, _ := conn.Read(part)
	if !strings.HasSuffix(string(part[:n]), completionPath) {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.runs++
	b.total.Add(1)
}

// completionPath is the path of the requests in a scenario.
const completionPath = "/v1/chat/completions"

// answer answers one request. It returns false if the connection should be closed.
func (b *backend) answer(conn net.Conn, request *http.Request, body string) bool {
	if request.Method == http.MethodDelete {
		return respond(conn, http.StatusNotFound, "", "{}")
	}
	if id, ok := strings.CutSuffix(strings.TrimPrefix(request.URL.Path, "/v1/requests/"), "/resume"); ok {
		return b.resume(conn, id, body)
	}
	current := b.next()
	b.pop()
	switch current.Behaviour {
	case closeAfterRead:
		b.begin(request, current)
		return false
	case refuseRequest:
		return respond(conn, http.StatusServiceUnavailable, "X-Not-Run: true\r\n", "{}")
	case errorResponse:
		b.begin(request, current)
		return respond(conn, http.StatusInternalServerError, "", "{}")
	case hangBeforeHead:
		b.begin(request, current)
		time.Sleep(time.Hour)
		return false
	}
	number := b.begin(request, current)
	if b.stream {
		return b.streamFrom(conn, current, number, 0, current)
	}
	return b.writeUnstreamed(conn, current, number)
}

// begin counts a run and returns its number.
func (b *backend) begin(request *http.Request, current script) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.runs++
	begun := int(b.total.Add(1))
	number := 0
	if !b.deterministic {
		number = begun
	}
	if b.known == nil {
		b.known = make(map[string]*knownRun)
	}
	b.known[request.Header.Get(HeaderRequestID)] = &knownRun{script: current, number: number}
	return number
}

func (b *backend) resume(conn net.Conn, id, body string) bool {
	b.mutex.Lock()
	known := b.known[id]
	busy := b.busy
	b.busy++
	b.mutex.Unlock()
	var parsed resumeRequest
	if err := json.Unmarshal([]byte(body), &parsed); err != nil {
		return false
	}
	switch {
	case known == nil || known.script.Resume == resumeUnknown:
		return respond(conn, http.StatusNotFound, "", "{}")
	case known.script.Resume == resumeDead:
		return false
	case known.script.Resume == resumeBusy && busy < 2:
		return respond(conn, http.StatusConflict, "", "{}")
	}
	return b.streamFrom(conn, script{Step: known.script.Step}, known.number, int(parsed.Offset), script{Behaviour: completeResponse})
}

func respond(conn net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

// tokenText returns the text of one token of a run.
func tokenText(run, sequence int) string {
	return fmt.Sprintf("<%d:%d>", run, sequence)
}

func responseText(run int) string {
	var text strings.Builder
	for sequence := 1; sequence <= responseTokens; sequence++ {
		text.WriteString(tokenText(run, sequence))
	}
	return text.String()
}

// streamFrom writes the events after an offset; failure says where the stream breaks.
func (b *backend) streamFrom(conn net.Conn, shape script, run, offset int, failure script) bool {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := conn.Write([]byte(head)); err != nil {
		return false
	}
	step := max(shape.Step, 1)
	written := 0
	for sequence := offset; sequence < responseTokens; {
		if failure.Behaviour == truncatedResponse && written == failure.Events {
			if failure.Step == cleanEndStep {
				return writeChunk(conn, "")
			}
			_ = writeChunk(conn, "id: 99\ndata: {half an ev")
			return false
		}
		if failure.Behaviour == hangInBody && written == failure.Events {
			time.Sleep(time.Hour)
			return false
		}
		last := min((sequence/step+1)*step, responseTokens)
		var text strings.Builder
		for sequence < last {
			sequence++
			text.WriteString(tokenText(run, sequence))
		}
		if !writeChunk(conn, fmt.Sprintf("id: %d\ndata: %s\n\n", sequence, text.String())) {
			return false
		}
		written++
	}
	if failure.Behaviour == truncatedResponse {
		return failure.Step == cleanEndStep && writeChunk(conn, "")
	}
	return writeChunk(conn, fmt.Sprintf("id: %d\ndata: usage\n\n", responseTokens)) &&
		writeChunk(conn, "data: [DONE]\n\n") && writeChunk(conn, "")
}

func writeChunk(conn net.Conn, data string) bool {
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(data), data)
	return err == nil
}

// cleanEndStep marks the scripts whose response is truncated by the engine itself,
// which ends the body without an error.
const cleanEndStep = 3

// writeUnstreamed writes a complete or truncated unstreamed response.
func (b *backend) writeUnstreamed(conn net.Conn, current script, run int) bool {
	reason := `"stop"`
	// An engine may end a response early and still send valid JSON.
	endsCleanly := current.Behaviour == truncatedResponse && current.Step == cleanEndStep
	if endsCleanly {
		reason = "null"
	}
	body := fmt.Sprintf(`{"choices":[{"message":{"content":%q},"finish_reason":%s}],"usage":{"completion_tokens":%d}}`,
		responseText(run), reason, responseTokens)
	sent := body
	if !endsCleanly && (current.Behaviour == truncatedResponse || current.Behaviour == hangInBody) {
		sent = body[:min(current.Events*10, len(body)-1)]
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if current.Step == 1 {
		// The response then ends with the connection.
		length = "Connection: close\r\n"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", length, sent)
	if current.Behaviour == hangInBody {
		time.Sleep(time.Hour)
	}
	return err == nil && len(sent) == len(body) && current.Step != 1
}
