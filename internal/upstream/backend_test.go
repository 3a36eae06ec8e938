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

// behaviour is what a back end does with one request.
type behaviour int

const (
	answerWhole behaviour = iota
	failDial
	closeAtAccept
	closeHalfRead
	closeAfterRead
	refuseRequest
	answerError
	cutAnswer
	hangBeforeHead
	hangInAnswer
	behaviours
)

// resumption is what a back end does when it is asked to go on.
type resumption int

const (
	resumeWorks resumption = iota
	resumeUnknown
	resumeBusy
	resumeDead
	resumptions
)

// script is what happens to the next request at a back end.
type script struct {
	Behaviour behaviour
	Resume    resumption
	// Events is after how many events a stream breaks.
	Events int
	// Step is how many tokens one event holds.
	Step int
}

// answerTokens is the length of every answer.
const answerTokens = 12

// backend is a scripted back end over net.Pipe.
type backend struct {
	mutex   sync.Mutex
	name    string
	scripts []script
	// runs counts the runs that began here.
	runs int
	// total counts the runs at all back ends.
	total *atomic.Int64
	// stream, deterministic describe the request.
	stream        bool
	deterministic bool
	// known are the runs that can be resumed, by request identity.
	known map[string]*knownRun
	// busy counts the resumes refused so far.
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
		return script{Behaviour: answerWhole, Step: 1}
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

// dial opens a connection whose other end the back end serves.
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
			b.takePart(conn)
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

// takePart reads the start of a request only. A part of a completion counts as
// a run: nobody can tell what a back end does with it.
func (b *backend) takePart(conn net.Conn) {
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

// completionPath is where the requests of a scenario go.
const completionPath = "/v1/chat/completions"

// answer answers one request; false closes the connection.
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
	case answerError:
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
	return b.unstreamed(conn, current, number)
}

// begin counts a run.
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
	var order resumeOrder
	if err := json.Unmarshal([]byte(body), &order); err != nil {
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
	return b.streamFrom(conn, script{Step: known.script.Step}, known.number, int(order.Offset), script{Behaviour: answerWhole})
}

func respond(conn net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

// tokenText is one token of a run.
func tokenText(run, sequence int) string {
	return fmt.Sprintf("<%d:%d>", run, sequence)
}

func answerText(run int) string {
	var text strings.Builder
	for sequence := 1; sequence <= answerTokens; sequence++ {
		text.WriteString(tokenText(run, sequence))
	}
	return text.String()
}

// streamFrom writes the events behind an offset; fault says where it breaks.
func (b *backend) streamFrom(conn net.Conn, shape script, run, offset int, breaking script) bool {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := conn.Write([]byte(head)); err != nil {
		return false
	}
	step := max(shape.Step, 1)
	written := 0
	for sequence := offset; sequence < answerTokens; {
		if breaking.Behaviour == cutAnswer && written == breaking.Events {
			if breaking.Step == endsEarlyStep {
				return writeChunk(conn, "")
			}
			_ = writeChunk(conn, "id: 99\ndata: {half an ev")
			return false
		}
		if breaking.Behaviour == hangInAnswer && written == breaking.Events {
			time.Sleep(time.Hour)
			return false
		}
		last := min((sequence/step+1)*step, answerTokens)
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
	if breaking.Behaviour == cutAnswer {
		return breaking.Step == endsEarlyStep && writeChunk(conn, "")
	}
	return writeChunk(conn, fmt.Sprintf("id: %d\ndata: usage\n\n", answerTokens)) &&
		writeChunk(conn, "data: [DONE]\n\n") && writeChunk(conn, "")
}

func writeChunk(conn net.Conn, data string) bool {
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(data), data)
	return err == nil
}

// endsEarlyStep marks the scripts whose answer is cut off by the engine itself,
// which ends the body in good order.
const endsEarlyStep = 3

// unstreamed writes a whole answer, or a part of one.
func (b *backend) unstreamed(conn net.Conn, current script, run int) bool {
	reason := `"stop"`
	// An engine may end an answer early and still close its brackets.
	endedEarly := current.Behaviour == cutAnswer && current.Step == endsEarlyStep
	if endedEarly {
		reason = "null"
	}
	body := fmt.Sprintf(`{"choices":[{"message":{"content":%q},"finish_reason":%s}],"usage":{"completion_tokens":%d}}`,
		answerText(run), reason, answerTokens)
	sent := body
	if !endedEarly && (current.Behaviour == cutAnswer || current.Behaviour == hangInAnswer) {
		sent = body[:min(current.Events*10, len(body)-1)]
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if current.Step == 1 {
		// The end of the connection is then the only mark of the end.
		length = "Connection: close\r\n"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", length, sent)
	if current.Behaviour == hangInAnswer {
		time.Sleep(time.Hour)
	}
	return err == nil && len(sent) == len(body) && current.Step != 1
}
