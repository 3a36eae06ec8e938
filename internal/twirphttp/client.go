// Package twirphttp carries twirp calls with as few bytes of headers as the
// services need, because the control traffic of a daemon is small enough for
// headers to count.
package twirphttp

import "net/http"

// Client sends requests by the HTTP client that it wraps, without the headers
// that our services do not read.
type Client struct {
	HTTPClient *http.Client
}

// Do sends one request. It implements the HTTP client of generated twirp code.
func (c Client) Do(request *http.Request) (*http.Response, error) {
	request.Header.Del("Twirp-Version")
	request.Header.Del("Accept")
	request.Header.Set("User-Agent", "")
	return c.HTTPClient.Do(request)
}
