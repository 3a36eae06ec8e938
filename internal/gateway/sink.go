package gateway

import (
	"bytes"
	"net/http"
	"strconv"

	"rockwind.example/rockwind/internal/upstream"
)

// hopByHopHeaders are not forwarded in either direction: they apply to a single
// connection or are set by the gateway.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, upstream.HeaderRequestID: true,
}

// callerSink writes a response to the caller.
type callerSink struct {
	writer   http.ResponseWriter
	deadline writeDeadline
	// onBegin is called when the response begins; it may be nil.
	onBegin func()
	// onTokens is called with the sequence number of the last token relayed; it may
	// be nil.
	onTokens func(sequence uint64)
	// flush is set for responses of unknown length, which are flushed after each write.
	flush bool
}

func (g *Gateway) newCallerSink(w http.ResponseWriter, onBegin func()) *callerSink {
	return &callerSink{writer: w, deadline: g.newWriteDeadline(w), onBegin: onBegin}
}

// Begin implements upstream.Sink.
func (s *callerSink) Begin(status int, header http.Header, length int64) error {
	target := s.writer.Header()
	for name, values := range header {
		if !hopByHopHeaders[name] {
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
	s.deadline.extend()
	if _, err := s.writer.Write(p); err != nil {
		return err
	}
	if s.flush {
		return s.deadline.control.Flush()
	}
	return nil
}

// Relayed implements upstream.TokenCounter.
func (s *callerSink) Relayed(sequence uint64) {
	if s.onTokens != nil {
		s.onTokens(sequence)
	}
}

// maximumRecordedBytes limits the response body recorded for an idempotency key.
const maximumRecordedBytes = 4 << 20

// recordingSink forwards a response to the next sink and keeps a copy. It goes on
// after the caller disconnected, so that a resend gets the complete response.
type recordingSink struct {
	next        upstream.Sink
	callerLeft  bool
	status      int
	contentType string
	body        bytes.Buffer
	tooLarge    bool
}

// Begin implements upstream.Sink.
func (s *recordingSink) Begin(status int, header http.Header, length int64) error {
	s.status = status
	s.contentType = header.Get(headerContentType)
	if err := s.next.Begin(status, header, length); err != nil {
		s.callerLeft = true
	}
	return nil
}

// Write implements upstream.Sink.
func (s *recordingSink) Write(p []byte) error {
	if s.body.Len()+len(p) > maximumRecordedBytes {
		s.tooLarge = true
	} else {
		s.body.Write(p)
	}
	if s.callerLeft {
		return nil
	}
	if err := s.next.Write(p); err != nil {
		s.callerLeft = true
	}
	return nil
}
