package gateway

import (
	"bytes"
	"net/http"
	"strconv"

	"rockwind.example/rockwind/internal/upstream"
)

// hopHeaders are headers that concern one connection only, or that the gateway
// sets itself. They are not passed on in either direction.
var hopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, upstream.HeaderRequestID: true,
}

// callerSink writes an answer to the caller.
type callerSink struct {
	writer http.ResponseWriter
	bound  answerBound
	// onBegin is called with the first byte of the answer; it may be nil.
	onBegin func()
	// onTokens is called with the number of the last token passed on; it may be
	// nil.
	onTokens func(sequence uint64)
	// flush is set for answers that are passed on as they come.
	flush bool
}

func (g *Gateway) newCallerSink(w http.ResponseWriter, onBegin func()) *callerSink {
	return &callerSink{writer: w, bound: g.newAnswerBound(w), onBegin: onBegin}
}

// Begin implements upstream.Sink.
func (s *callerSink) Begin(status int, header http.Header, length int64) error {
	target := s.writer.Header()
	for name, values := range header {
		if !hopHeaders[name] {
			target[name] = values
		}
	}
	if length >= 0 {
		target.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.flush = length < 0
	s.writer.WriteHeader(status)
	if s.onBegin != nil {
		s.onBegin()
	}
	return nil
}

// Write implements upstream.Sink.
func (s *callerSink) Write(p []byte) error {
	s.bound.arm()
	if _, err := s.writer.Write(p); err != nil {
		return err
	}
	if s.flush {
		return s.bound.control.Flush()
	}
	return nil
}

// Relayed implements upstream.TokenCounter.
func (s *callerSink) Relayed(sequence uint64) {
	if s.onTokens != nil {
		s.onTokens(sequence)
	}
}

// maximumKeptAnswer bounds the answer that is kept under an idempotency key.
const maximumKeptAnswer = 4 << 20

// keepingSink passes an answer on and keeps a copy. It goes on when the caller
// is gone, so that a resend finds the whole answer.
type keepingSink struct {
	next        upstream.Sink
	callerGone  bool
	status      int
	contentType string
	kept        bytes.Buffer
	tooLong     bool
}

// Begin implements upstream.Sink.
func (s *keepingSink) Begin(status int, header http.Header, length int64) error {
	s.status = status
	s.contentType = header.Get(headerContentType)
	if err := s.next.Begin(status, header, length); err != nil {
		s.callerGone = true
	}
	return nil
}

// Write implements upstream.Sink.
func (s *keepingSink) Write(p []byte) error {
	if s.kept.Len()+len(p) > maximumKeptAnswer {
		s.tooLong = true
	} else {
		s.kept.Write(p)
	}
	if s.callerGone {
		return nil
	}
	if err := s.next.Write(p); err != nil {
		s.callerGone = true
	}
	return nil
}
