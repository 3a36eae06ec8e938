package upstream

import (
	"net/http"
	"slices"
)

// Framing is how a response marks the end of its body.
type Framing string

// The framings.
const (
	FramingLength  Framing = "length"
	FramingChunked Framing = "chunked"
	// FramingClose: the end of the connection ends the body. It does not show whether the server had
	// finished.
	FramingClose Framing = "close"
)

// framingOf returns the framing of a response whose head was read by net/http.
func framingOf(head *http.Response) Framing {
	switch {
	case slices.Contains(head.TransferEncoding, "chunked"):
		return FramingChunked
	case head.ContentLength >= 0:
		return FramingLength
	}
	return FramingClose
}
