package logring

import (
	"bytes"
	stdlog "log"
	"strings"

	"github.com/apex/log"
)

// panicMark is in the lines in which net/http tells of a panic of a handler.
const panicMark = "panic serving"

// ServerLog returns a logger for the ErrorLog of an http.Server: what it tells of
// single connections becomes a warning, and a panic of a handler an error.
func ServerLog(target log.Interface) *stdlog.Logger {
	return stdlog.New(serverWriter{target}, "", 0)
}

type serverWriter struct {
	target log.Interface
}

// Write implements io.Writer; each call is one entry.
func (s serverWriter) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	if strings.Contains(text, panicMark) {
		s.target.Error(text)
	} else {
		s.target.Warn(text)
	}
	return len(line), nil
}
