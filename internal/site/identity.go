package site

import (
	"context"
	"net/http"

	"rockwind.example/rockwind/internal/dial"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Identifier asks the server at an address which incarnation it is, on a connection of its own.
// The expected one has the address in the directory; healthPath is that of its service. It
// returns what the answer shows, together with an error where it shows nothing.
type Identifier func(ctx context.Context, expected *rockwindpb.Server, healthPath string) (directory.Identity, error)

// HTTPIdentifier returns an identifier that asks the health path which server is there. The first
// header names the incarnation that a request is meant for, which another one answers with
// status 421; the second names the incarnation that gave an answer.
func HTTPIdentifier(expectedHeader, foundHeader string) Identifier {
	// Each question has a connection of its own: an earlier one may have been accepted by a
	// server that has ended since.
	client := &http.Client{
		Transport:     &http.Transport{DialContext: dial.Dialer().DialContext, DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return func(ctx context.Context, expected *rockwindpb.Server, healthPath string) (directory.Identity, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+expected.GetAddress()+healthPath, nil)
		if err != nil {
			return directory.Identity{}, fault.Newf(fault.InvalidArgument, "give the service a health path that is a path", "the health path %q makes no request: %v", healthPath, err)
		}
		request.Header.Set(expectedHeader, expected.GetId())
		answer, err := client.Do(request)
		if err != nil {
			return directory.Identity{}, fault.Newf(fault.Unavailable, "look whether the server runs and is in reach", "the server does not tell who it is: %v", err)
		}
		defer answer.Body.Close()
		identity := directory.Identity{Found: answer.Header.Get(foundHeader)}
		if answer.StatusCode == http.StatusMisdirectedRequest {
			identity.Rejected = expected.GetId()
		}
		return identity, nil
	}
}
