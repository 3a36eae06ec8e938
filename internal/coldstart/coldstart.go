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
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// jitterMargin lengthens the time between two requests of one process, so that they also arrive a
// second apart where their network delays differ.
const jitterMargin = 1.1

// minTokenSpacing is the minimum time between two requests for one token, so that no second holds two.
const minTokenSpacing = 1.02

// Spacing returns the minimum time between two requests of a process to a cold server that can serve
// perSecond requests a second. It returns false for a process that may not send to the server. live
// is how many of the processes are known to be running, this one included; zero if that is not known.
//
// Where there are more processes than requests a second, as many processes as whole requests may send
// about one a second each. They are selected by the hashes of server and process, so that
// each process may send to some of the servers, and a request that is refused for one server finds
// another. Rounding up each process's share instead would let all processes send.
//
// Processes with the same list select the same senders. While fewer are known to be running than listed,
// as many more processes may send as make up for the share of the lost ones. A process knows how many
// are lost before the list does, but not which. A process that the others don't know yet counts itself
// in, which adds at most one request a second.
func Spacing(server, self string, processes []string, live int, perSecond float64) (spacing time.Duration, allowed bool) {
	if perSecond <= 0 {
		return 0, false
	}
	senders := max(1, int(perSecond))
	if live > 0 && live < len(processes) {
		return extendedSpacing(server, self, processes, live, perSecond)
	}
	rate := perSecond / float64(senders)
	if len(processes) <= senders {
		rate = perSecond / float64(max(1, len(processes)))
	} else if rank(server, self, processes, senders) >= senders {
		return 0, false
	}
	return time.Duration(jitterMargin / rate * float64(time.Second)), true
}

// extendedSpacing is Spacing where processes are lost. It distributes tokens for one request a second
// each among all listed processes, more of them the more processes are lost. The number of tokens
// has a bound that holds whatever the processes receive, since those of a partition receive few digests and
// all of them send.
func extendedSpacing(server, self string, processes []string, live int, perSecond float64) (time.Duration, bool) {
	senders := max(1, int(perSecond))
	perToken := jitterMargin * float64(senders) / perSecond
	limit := int(surgeFactor*perSecond+surgeAllowance) - 1
	if perToken < 1 {
		// Processes that have not noticed the loss yet send up to two requests in a second.
		limit -= senders
	}
	spacing := max(perToken, minTokenSpacing)
	wanted := int(math.Ceil(max(float64(senders), perSecond*min(spacing, minTokenSpacing)) * float64(len(processes)) / float64(live)))
	tokens := max(senders, min(wanted, limit))
	own := tokens / len(processes)
	if rest := tokens % len(processes); rank(server, self, processes, rest) < rest {
		own++
	}
	if own == 0 {
		return 0, false
	}
	return time.Duration(spacing / float64(own) * float64(time.Second)), true
}

// A cold server can be sent surgeFactor times its rate and surgeAllowance requests in one second.
const (
	surgeFactor    = 1.5
	surgeAllowance = 5
)

// rank returns the place of a process in the order for a server, or the limit if it is not before that.
func rank(server, self string, processes []string, limit int) int {
	hash := func(process string) uint64 { return xxhash.Sum64String(server + " " + process) }
	own, ahead := hash(self), 0
	for _, process := range processes {
		if ahead >= limit {
			return limit
		}
		if process != self && cmp.Or(cmp.Compare(hash(process), own), cmp.Compare(process, self)) < 0 {
			ahead++
		}
	}
	return ahead
}
