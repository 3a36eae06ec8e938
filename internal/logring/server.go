package logring

import (
	"bytes"
	stdlog "log"
	"strings"

	"github.com/apex/log"
)

// panicMarker is the text by which net/http logs the panic of a handler.
const panicMarker = "panic serving"

// ServerLog returns a logger for the ErrorLog of an http.Server. Panics of handlers become errors,
// and messages about single connections become warnings.
func ServerLog(target log.Interface) *stdlog.Logger {
	return stdlog.New(serverWriter{target}, "", 0)
}

type serverWriter struct {
	target log.Interface
}

// Write implements io.Writer. Each call is one entry.
func (s serverWriter) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	if strings.Contains(text, panicMarker) {
		s.target.Error(text)
	} else {
		s.target.Warn(text)
	}
	return len(line), nil
}
