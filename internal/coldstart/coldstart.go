// Package coldstart limits how often one process may send to a cold server. A server that has just
// started can serve only a few requests a second from all processes together and fails above that
// rate. The processes don't coordinate each request, so the right to send is divided among them in
// advance. The package is pure.
//
// It guards against the restart of all servers of a zone at once, when each of hundreds of
// processes prefers the empty servers to the busy ones.
package coldstart

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

// jitterMargin lengthens the time between two requests of one process, so that they also arrive a
// second apart where their network delays differ.
const jitterMargin = 1.1

// Spacing returns the minimum time between two requests of a process to a cold server that can serve
// perSecond requests a second. It returns false for a process that may not send to the server.
//
// Where there are more processes than requests a second, as many processes as whole requests may send
// about one a second each. They are selected by the hashes of server and process, so that
// each process may send to some of the servers, and a request that is refused for one server finds
// another. Rounding up each process's share instead would let all processes send.
//
// Processes that know the same list select the same senders. The share of a failed process is lost
// until the process is removed from the list. A process that the others don't know yet counts itself
// in, which adds at most one request a second.
func Spacing(server, self string, processes []string, perSecond float64) (spacing time.Duration, allowed bool) {
	if perSecond <= 0 {
		return 0, false
	}
	senders := max(1, int(perSecond))
	rate := perSecond / float64(senders)
	if len(processes) <= senders {
		rate = perSecond / float64(max(1, len(processes)))
	} else if !selected(server, self, processes, senders) {
		return 0, false
	}
	return time.Duration(jitterMargin / rate * float64(time.Second)), true
}

// selected reports whether a process is among the given number of senders selected for a server.
func selected(server, self string, processes []string, senders int) bool {
	rank := func(process string) uint64 { return xxhash.Sum64String(server + " " + process) }
	own, ahead := rank(self), 0
	for _, process := range processes {
		if process != self && cmp.Or(cmp.Compare(rank(process), own), cmp.Compare(process, self)) < 0 {
			ahead++
		}
		if ahead == senders {
			return false
		}
	}
	return true
}
