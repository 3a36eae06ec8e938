// Package twirphttp provides an HTTP client for generated Twirp code that omits
// request headers the services don't read. Calls between daemons are frequent and
// small, so the headers are a large part of their traffic.
package twirphttp

import (
	"io"
	"net/http"
	"slices"
)

// Client sends requests over HTTPClient without optional headers.
type Client struct {
	HTTPClient *http.Client
}

// Do implements the HTTPClient interface of generated Twirp code. Reading a response that has
// neither a length nor chunks ends with io.ErrUnexpectedEOF: such a body ends wherever its sender
// broke off, and a protobuf message that was cut between two fields decodes without an error.
// Daemons always frame their responses.
func (c Client) Do(request *http.Request) (*http.Response, error) {
	request.Header.Del("Twirp-Version")
	request.Header.Del("Accept")
	request.Header.Set("User-Agent", "")
	response, err := c.HTTPClient.Do(request)
	if err == nil && endsWithConnection(response) {
		response.Body = unframedBody{response.Body}
	}
	return response, err
}

// endsWithConnection reports whether only the end of the connection ends the body.
func endsWithConnection(response *http.Response) bool {
	return response.ProtoMajor == 1 && response.ContentLength < 0 && !response.Uncompressed && !slices.Contains(response.TransferEncoding, "chunked")
}

// unframedBody is a body without a length or chunks.
type unframedBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
