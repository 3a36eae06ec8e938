package backend

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/upstream"
)

// endlessHeads are the beginnings of answers without end. They need the ID of the request.
var endlessHeads = []string{
	"HTTP/1.1 200 %s",
	"HTTP/1.1 200 OK\r\n" + upstream.HeaderRequestID + ": %s\r\nX-Filler: ",
	"HTTP/1.1 500 Error\r\n" + upstream.HeaderRequestID + ": %s\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" + upstream.HeaderRequestID + ": %s\r\nContent-Type: text/event-stream\r\n\r\ndata: ",
}

const (
	// endlessPiece is the size of each write of an answer without end, and endlessPause the time between two.
	endlessPiece = 32 << 10
	endlessPause = time.Millisecond
	// surplusWait is how long a backend waits for the next request on a connection to send its surplus answer.
	surplusWait = 5 * time.Second
)

// writeWithoutEnd sends bytes that are no answer until the connection is closed.
func writeWithoutEnd(writer http.ResponseWriter, id string, head int) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, endlessHeads[head], id)
	for piece := bytes.Repeat([]byte("a"), endlessPiece); err == nil; time.Sleep(endlessPause) {
		_, err = conn.Write(piece)
	}
}

// failWithSurplus answers with 500, and once more when the next request has come in on the connection. Then it closes
// the connection.
func failWithSurplus(writer http.ResponseWriter, id string) {
	conn, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	answer := []byte("HTTP/1.1 500 Error\r\n" + upstream.HeaderRequestID + ": " + id + "\r\nContent-Length: 0\r\n\r\n")
	if _, err := conn.Write(answer); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(surplusWait))
	if _, err := buffered.ReadByte(); err == nil {
		_, _ = conn.Write(answer)
	}
}
