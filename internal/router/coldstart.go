package router

import (
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// clockSlack is by how much the clock of the coordinator that entered a server may be ahead of this
// machine's. A server that is taken for cold for so much longer gets fewer requests than it could
// have, and one that is not taken for cold falls over.
const clockSlack = 2 * time.Second

// coldLeft is for how much longer a server is cold, by what it told when it was entered.
func coldLeft(server *rockwindpb.Server, now time.Time) time.Duration {
	told := time.Duration(server.GetColdMs()) * time.Millisecond
	if told == 0 {
		return 0
	}
	entered := time.UnixMilli(server.GetChangedUnixMs())
	return max(0, min(told, told+clockSlack-now.Sub(entered)))
}

// coldRate is how many requests a second a cold server of a service bears, zero where it bears as
// many as any other. The mutex is held.
func (d *Dispatcher) coldRate(service string) float64 {
	return d.configured(service).GetColdRequestsPerSecond()
}

// coldTime is how long servers of a service are cold that do not tell it: those of a zone that was
// drained may have turned cold meanwhile. The mutex is held.
func (d *Dispatcher) coldTime(service string) time.Duration {
	return time.Duration(d.configured(service).GetColdMs()) * time.Millisecond
}

// configured is a service of the configuration, nil for one that it does not hold. The mutex is held.
func (d *Dispatcher) configured(service string) *rockwindpb.Service {
	if d.index == nil {
		return nil
	}
	found, _ := d.index.Service(service)
	return found
}
