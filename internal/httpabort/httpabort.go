// Package httpabort ends responses of an HTTP server that cannot be completed.
package httpabort

import (
	"net"
	"net/http"
)

// resetter is a connection that can drop the bytes that it still buffers and reset itself.
type resetter interface{ Reset() }

// Abort ends the handler of a request such that the client does not take the response for complete. It never returns:
// it panics with http.ErrAbortHandler, which leaves out the end of a response with a length or in chunks. A response to
// HTTP/1.0 may have neither. Its connection is reset, since a regular close would end it.
func Abort(writer http.ResponseWriter, request *http.Request) {
	if !request.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(writer).Hijack(); err == nil {
			reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if buffered, found := conn.(resetter); found {
		buffered.Reset()
		return
	}
	socket := conn
	if secure, found := conn.(interface{ NetConn() net.Conn }); found {
		socket = secure.NetConn()
	}
	if lingering, found := socket.(interface{ SetLinger(seconds int) error }); found {
		_ = lingering.SetLinger(0)
	}
	_ = socket.Close()
}
