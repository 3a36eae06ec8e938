// Package hollow runs many daemons and engines in one process, with their real
// control code and real sockets but no traffic, so that one machine can stand
// for a large fleet. All connections are counted.
package hollow

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"net/url"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/wire"
)

// Commands are `rockwind-bench hollow`.
type Commands struct {
	Engines   EnginesCommand   `cmd:"" help:"Run many hollow engines in one process."`
	Gateways  GatewaysCommand  `cmd:"" help:"Run many hollow gateways in one process."`
	Followers FollowersCommand `cmd:"" help:"Run many followers of the configuration in one process."`
	Control   ControlCommand   `cmd:"" help:"Run a real control daemon and count its traffic."`
}

// Pages of a process of hollow daemons.
const (
	// ReportPage answers the process's report as JSON.
	ReportPage = "/report"
	// RestartPage restarts a gateway as planned; the query names it.
	RestartPage = "/restart"
	// LosePage breaks a gateway's connections without warning and replaces it; the
	// query names it.
	LosePage = "/lose"
	// BlockPage cuts the links to the addresses in the query and mends all others.
	BlockPage = "/block"
	// ProfilePage answers a profile of the process's CPU time.
	ProfilePage = "/profile"
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
	handler.HandleFunc(ReportPage, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		// A caller that went away is no fault of this process.
		_ = json.NewEncoder(writer).Encode(report())
	})
	handler.HandleFunc(ProfilePage, pprof.Profile)
	for page, serve := range pages {
		handler.HandleFunc(page, serve)
	}
	fmt.Printf("%s%s\n", ListeningPrefix, listener.Addr())
	return http.Serve(listener, handler)
}

// addressParameter is the query parameter that names addresses.
const addressParameter = "address"

// blockPage cuts the links of some counters to the addresses that the query names.
func blockPage(counters []*wire.Counter) http.HandlerFunc {
	return func(_ http.ResponseWriter, request *http.Request) {
		addresses := request.URL.Query()[addressParameter]
		for _, counter := range counters {
			counter.Block(addresses...)
		}
	}
}

// BlockQuery is the query of BlockPage for some addresses.
func BlockQuery(addresses []string) string {
	return url.Values{addressParameter: addresses}.Encode()
}
