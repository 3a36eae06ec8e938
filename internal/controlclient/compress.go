package controlclient

import (
	"compress/gzip"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/twirphttp"
)

// Headers of compressed answers.
const (
	headerAcceptEncoding  = "Accept-Encoding"
	headerContentEncoding = "Content-Encoding"
	encodingGzip          = "gzip"
)

// compressedClient asks for compressed answers. It carries the exchange of
// digests, whose answers repeat the names of zones and models; other answers are
// short or do not shrink.
type compressedClient struct {
	carrier twirphttp.Client
}

// Do implements rockwindpb.HTTPClient.
func (c compressedClient) Do(request *http.Request) (*http.Response, error) {
	request.Header.Set(headerAcceptEncoding, encodingGzip)
	response, err := c.carrier.Do(request)
	if err != nil || response.Header.Get(headerContentEncoding) != encodingGzip {
		return response, err
	}
	plain, err := gzip.NewReader(response.Body)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "read a compressed answer"), response.Body.Close())
	}
	response.Body = expandedBody{Reader: plain, carried: response.Body}
	response.Header.Del(headerContentEncoding)
	response.ContentLength = -1
	return response, nil
}

// expandedBody is the body of a compressed answer as it was before.
type expandedBody struct {
	io.Reader
	carried io.Closer
}

// Close implements io.Closer.
func (b expandedBody) Close() error { return b.carried.Close() }
