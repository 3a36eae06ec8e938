package directory

import (
	"net/netip"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// ValidateReport fails with fault.InvalidArgument for a report that names no server to use: it may come
// from another writer, of which nothing is known but that it reached a coordinator.
func ValidateReport(report *rockwindpb.Server) error {
	switch report.GetState() {
	case rockwindpb.ServerState_SERVER_STATE_READY, rockwindpb.ServerState_SERVER_STATE_DRAINING:
	default:
		return badReport("send the state ready or draining", "the state is not one that a server reports")
	}
	if report.GetId() == "" || report.GetService() == "" {
		return badReport("send the server's identifier and its service", "the identifier or the service is missing")
	}
	if _, err := netip.ParseAddrPort(report.GetAddress()); err != nil {
		return badReport("send the server's address as ip:port", "the address cannot be used: "+err.Error())
	}
	return nil
}

func badReport(remedy, what string) error {
	return fault.Newf(fault.InvalidArgument, remedy, "a report names no server: %s", what).WithRan(fault.NotRun)
}
