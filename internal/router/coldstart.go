package router

import (
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// maxClockSkew is how far the clock of the coordinator that registered a server may be ahead of
// this machine's. Treating a server as cold for too long costs some throughput; treating a cold
// one as warm overloads it.
const maxClockSkew = 2 * time.Second

// coldRemaining returns how much longer a server is cold, from what it reported at its
// registration.
func coldRemaining(server *rockwindpb.Server, now time.Time) time.Duration {
	reported := time.Duration(server.GetColdMs()) * time.Millisecond
	if reported == 0 {
		return 0
	}
	entered := time.UnixMilli(server.GetChangedUnixMs())
	return max(0, min(reported, reported+maxClockSkew-now.Sub(entered)))
}

// coldRate returns the rate, in requests per second, that a cold server of a service can take;
// zero is no limit. The caller holds d.mutex.
func (d *Dispatcher) coldRate(service string) float64 {
	return d.serviceConfig(service).GetColdRequestsPerSecond()
}

// defaultColdTime returns how long servers of a service are cold that do not report it
// themselves, such as servers of a zone whose drain ended. The caller holds d.mutex.
func (d *Dispatcher) defaultColdTime(service string) time.Duration {
	return time.Duration(d.serviceConfig(service).GetColdMs()) * time.Millisecond
}

// serviceConfig returns the configuration of a service, or nil if there is none. The caller holds
// d.mutex.
func (d *Dispatcher) serviceConfig(service string) *rockwindpb.Service {
	if d.index == nil {
		return nil
	}
	found, _ := d.index.Service(service)
	return found
}
