package directory

import (
	"net/netip"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// ValidateReport returns fault.InvalidArgument for a report without a valid state, identifier,
// service or address. Reports may come from foreign clients.
func ValidateReport(report *rockwindpb.Server) error {
	switch report.GetState() {
	case rockwindpb.ServerState_SERVER_STATE_READY, rockwindpb.ServerState_SERVER_STATE_DRAINING:
	default:
		return invalidReport("send the state ready or draining", "the state is not one that a server reports")
	}
	if report.GetId() == "" || report.GetService() == "" {
		return invalidReport("send the server's identifier and its service", "the identifier or the service is missing")
	}
	if _, err := netip.ParseAddrPort(report.GetAddress()); err != nil {
		return invalidReport("send the server's address as ip:port", "the address cannot be used: "+err.Error())
	}
	return nil
}

func invalidReport(remedy, problem string) error {
	return fault.Newf(fault.InvalidArgument, remedy, "a report names no server: %s", problem).WithRan(fault.NotRun)
}
