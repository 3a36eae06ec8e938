// Package hollow runs many followers of the configuration in one process: the part of a
// daemon that follows it, with real sockets and folders but no traffic. All connections are
// counted.
package hollow

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/cockroachdb/errors"
)

// Commands are `rockwind-bench hollow`.
type Commands struct {
	Followers FollowersCommand `cmd:"" help:"Run many followers of the configuration in one process."`
}

// Pages of a process of followers.
const (
	// ReportPath answers the process's report as JSON.
	ReportPath = "/report"
	// RestartPath restarts a follower, StopPage stops it and StartPage starts it again; the
	// query names it.
	RestartPath = "/restart"
	StopPath    = "/stop"
	StartPath   = "/start"
	// ProfilePath answers a profile of the process's CPU time.
	ProfilePath = "/profile"
)

// ListeningPrefix begins the line that tells the address of the report page.
const ListeningPrefix = "report page at "

// serveReport prints the address of the report page and serves it for as long
// as the process runs. More pages may be given.
func serveReport(address string, report func() any, pages map[string]http.HandlerFunc) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for the report page")
	}
	handler := http.NewServeMux()
	handler.HandleFunc(ReportPath, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		// A caller that went away is no fault of this process.
		_ = json.NewEncoder(writer).Encode(report())
	})
	handler.HandleFunc(ProfilePath, pprof.Profile)
	for page, serve := range pages {
		handler.HandleFunc(page, serve)
	}
	fmt.Printf("%s%s\n", ListeningPrefix, listener.Addr())
	return http.Serve(listener, handler)
}

// nameParameter is the query parameter that names a follower.
const nameParameter = "name"
