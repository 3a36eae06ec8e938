package router

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/coldstart"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// maxClockSkew is how far the clock of the coordinator that registered a server may be ahead of
// this machine's. Treating a server as cold for too long costs some throughput; treating a cold
// one as warm overloads it.
const maxClockSkew = 2 * time.Second

// coldMember is a server of a pool that is cold.
type coldMember struct {
	service string
	until   time.Duration
}

// observedCold is the cold time that a server gave in a health answer. Unlike that of a member, it is kept
// until it ends, since the list of the coordinators may not have it.
type observedCold struct {
	// born is the start of the incarnation to which it applies.
	born  int64
	until time.Duration
}

// coldRemaining returns how much longer a server is cold, from what it reported at its
// registration and since. The caller holds d.mutex.
func (d *Dispatcher) coldRemaining(server *rockwindpb.Server, now time.Time) time.Duration {
	remaining := remainingOf(server.GetColdMs(), server.GetChangedUnixMs(), now)
	if listed := d.coldServers.Server(server.GetId()); listed != nil && listed.GetBornUnixMs() >= server.GetBornUnixMs() {
		remaining = max(remaining, remainingOf(listed.GetColdMs(), listed.GetSinceUnixMs(), now))
	}
	if observed, found := d.observedCold[server.GetId()]; found && observed.born == server.GetBornUnixMs() {
		remaining = max(remaining, observed.until-d.now())
	}
	return remaining
}

// minColdExtension is the least extension of a cold time by a health answer. Differences of the delays
// of reports and answers are below it.
const minColdExtension = 300 * time.Millisecond

// ObserveCold applies the cold time that a server gave in a health answer, with the bound of reports. It
// returns whether that extends what this process knew; a known cold time is never shortened.
func (d *Dispatcher) ObserveCold(id string, cold time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.view == nil {
		return false
	}
	server, known := d.view.Server(id)
	if !known || d.coldRate(server.GetService()) <= 0 {
		return false
	}
	cold = coldstart.Limit(cold, d.defaultColdTime(server.GetService()))
	remaining := max(d.coldRemaining(server, time.Now()), d.coldUntil[id].until-d.now())
	if cold <= remaining+minColdExtension {
		return false
	}
	maps.DeleteFunc(d.observedCold, func(_ string, old observedCold) bool { return old.until <= d.now() })
	d.observedCold[id] = observedCold{born: server.GetBornUnixMs(), until: d.now() + cold}
	d.putServer(server, cold)
	return true
}

// remainingOf returns what is left of a cold time that was committed at the given time.
func remainingOf(coldMs uint32, committedUnixMs int64, now time.Time) time.Duration {
	reported := time.Duration(coldMs) * time.Millisecond
	if reported == 0 {
		return 0
	}
	return max(0, min(reported, reported+maxClockSkew-now.Sub(time.UnixMilli(committedUnixMs))))
}

// SetColdServers sets the servers that reported that they are cold since they were entered in the
// directory. It is called before Update with the directory of the same answer.
func (d *Dispatcher) SetColdServers(servers *coldstart.List) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if servers.Revision() == d.coldServers.Revision() {
		return
	}
	before := d.coldServers
	d.coldServers = servers
	if d.view == nil {
		return
	}
	for _, listed := range servers.Servers() {
		if proto.Equal(before.Server(listed.GetId()), listed) {
			continue
		}
		if server, known := d.view.Server(listed.GetId()); known {
			d.putServer(server, max(d.coldRemaining(server, time.Now()), d.coldUntil[server.GetId()].until-d.now()))
		}
	}
}

// setCold makes a member cold for a time, if its service has a rate for cold servers. The caller holds
// d.mutex.
func (d *Dispatcher) setCold(server *rockwindpb.Server, member *balance.Member, cold time.Duration) {
	delete(d.coldUntil, server.GetId())
	rate := d.coldRate(server.GetService())
	if cold <= 0 || rate <= 0 {
		return
	}
	member.ColdUntil = d.now() + cold
	member.ColdSpacing, _ = coldstart.Spacing(server.GetId(), d.name, d.processNames, d.liveProcesses, rate)
	d.coldUntil[server.GetId()] = coldMember{service: server.GetService(), until: member.ColdUntil}
}

// updateColdSpacings recomputes how often this process may send to each cold server, if the
// listed processes changed or another number of them sends digests. The caller holds d.mutex.
func (d *Dispatcher) updateColdSpacings(listChanged bool) {
	live := d.shares.LiveProcesses(len(d.processNames), d.groupSize)
	if !listChanged && live == d.liveProcesses {
		return
	}
	d.liveProcesses = live
	for id, cold := range d.coldUntil {
		if cold.until <= d.now() {
			delete(d.coldUntil, id)
			continue
		}
		spacing, _ := coldstart.Spacing(id, d.name, d.processNames, live, d.coldRate(cold.service))
		d.poolOf(cold.service).pool.SetColdSpacing(id, spacing)
	}
}

// ColdServers counts the servers that this process treats as cold.
func (d *Dispatcher) ColdServers() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	count := 0
	for _, cold := range d.coldUntil {
		if cold.until > d.now() {
			count++
		}
	}
	return count
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
