// Package twirphttp provides an HTTP client for generated Twirp code that omits
// request headers the services don't read. Calls between daemons are frequent and
// small, so the headers are a large part of their traffic.
package twirphttp

import "net/http"

// Client sends requests over HTTPClient without optional headers.
type Client struct {
	HTTPClient *http.Client
}

// Do implements the HTTPClient interface of generated Twirp code.
func (c Client) Do(request *http.Request) (*http.Response, error) {
	request.Header.Del("Twirp-Version")
	request.Header.Del("Accept")
	request.Header.Set("User-Agent", "")
	return c.HTTPClient.Do(request)
}
