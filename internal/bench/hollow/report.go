// Package hollow runs many configuration followers in one process: the part of a daemon that
// follows the configuration, with real sockets and folders but no requests. It counts the
// traffic of all their connections.
package hollow

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/cockroachdb/errors"
)

// Commands are the subcommands of `rockwind-bench hollow`.
type Commands struct {
	Followers FollowersCommand `cmd:"" help:"Run many followers of the configuration in one process."`
}

// Paths of the HTTP endpoints.
const (
	// ReportPath returns the report of the process as JSON.
	ReportPath = "/report"
	// RestartPath, StopPath and StartPath act on the follower named in the query.
	RestartPath = "/restart"
	StopPath    = "/stop"
	StartPath   = "/start"
	// ProfilePath returns a CPU profile of the process.
	ProfilePath = "/profile"
)

// ListeningPrefix starts the output line with the address of the endpoints.
const ListeningPrefix = "report page at "

// serveReport prints its address and serves the report, profiles and the given handlers until
// the process ends.
func serveReport(address string, report func() any, pages map[string]http.HandlerFunc) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for report requests")
	}
	handler := http.NewServeMux()
	handler.HandleFunc(ReportPath, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		// Errors are ignored: the client may have disconnected.
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
