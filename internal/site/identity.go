package site

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/dial"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Identifier asks the server at an address for its incarnation, on a new connection. The expected
// server has the address in the directory, and healthPath is that of its service. It returns what
// the answer shows, or an error if there is no answer.
type Identifier func(ctx context.Context, expected *rockwindpb.Server, healthPath string) (directory.Identity, error)

// maxIdentityHeader bounds the headers of an answer to an identity query.
const maxIdentityHeader = 64 << 10

// HTTPIdentifier returns an identifier that requests the health path. expectedHeader names the
// request header with the expected incarnation, which another incarnation rejects with status 421.
// foundHeader names the response header with the incarnation that answers, and coldHeader the one
// with the milliseconds for which that incarnation stays cold; empty if there is none.
func HTTPIdentifier(expectedHeader, foundHeader, coldHeader string) Identifier {
	// Connections are not reused, because an earlier one may have been accepted by a server that
	// has ended since.
	client := &http.Client{
		Transport:     &http.Transport{DialContext: dial.Dialer().DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxIdentityHeader},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return func(ctx context.Context, expected *rockwindpb.Server, healthPath string) (directory.Identity, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+expected.GetAddress()+healthPath, nil)
		if err != nil {
			return directory.Identity{}, fault.Newf(fault.InvalidArgument, "correct the health path of the service", "the health path %q is invalid: %v", healthPath, err)
		}
		request.Header.Set(expectedHeader, expected.GetId())
		response, err := client.Do(request)
		if err != nil {
			return directory.Identity{}, fault.Newf(fault.Unavailable, "check that the server runs and is reachable", "cannot identify the server: %v", err)
		}
		defer response.Body.Close()
		identity := directory.Identity{Found: response.Header.Get(foundHeader)}
		if coldHeader != "" && identity.Found != "" {
			identity.ColdMs = parseMilliseconds(response.Header.Get(coldHeader))
		}
		if response.StatusCode == http.StatusMisdirectedRequest {
			identity.Rejected = expected.GetId()
		}
		return identity, nil
	}
}

// parseMilliseconds parses a number of milliseconds. It returns zero for text that is not a positive
// number, and bounds the others to what fits.
func parseMilliseconds(text string) uint32 {
	milliseconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if !(milliseconds > 0) || (err != nil && !errors.Is(err, strconv.ErrRange)) {
		return 0
	}
	return uint32(min(milliseconds, math.MaxUint32))
}
