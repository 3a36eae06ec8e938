package controlclient

import (
	"compress/gzip"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/twirphttp"
)

// Headers that negotiate compression.
const (
	headerAcceptEncoding  = "Accept-Encoding"
	headerContentEncoding = "Content-Encoding"
	encodingGzip          = "gzip"
)

// gzipClient requests and decompresses gzip responses. It is used for the exchange
// of digests, whose responses repeat the names of zones and models.
type gzipClient struct {
	client twirphttp.Client
}

// Do implements rockwindpb.HTTPClient.
func (c gzipClient) Do(request *http.Request) (*http.Response, error) {
	request.Header.Set(headerAcceptEncoding, encodingGzip)
	response, err := c.client.Do(request)
	if err != nil || response.Header.Get(headerContentEncoding) != encodingGzip {
		return response, err
	}
	reader, err := gzip.NewReader(response.Body)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "read gzip header of response"), response.Body.Close())
	}
	response.Body = decompressedBody{Reader: reader, compressed: response.Body}
	response.Header.Del(headerContentEncoding)
	response.ContentLength = -1
	return response, nil
}

// decompressedBody reads the decompressed response and closes the original body.
type decompressedBody struct {
	io.Reader
	compressed io.Closer
}

// Close implements io.Closer.
func (b decompressedBody) Close() error { return b.compressed.Close() }
