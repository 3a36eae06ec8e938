// Package coldstart decides how often one process may send to a server that is cold: one that has
// just started bears a few requests a second from all processes together, and falls over above
// that. Nobody tells the others what it sends, so the right to send is split beforehand. The
// package is pure.
//
// The load it is for: the servers of a zone come back together, empty, and each of hundreds of
// processes prefers an empty server to those that are busy.
package coldstart

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

// onTheWay lengthens the time between two requests of one process: they may take unlike long to
// the server, and are to arrive a second apart all the same.
const onTheWay = 1.1

// Spacing is the least time between two requests of a process to a cold server that bears so many a
// second. May is false for a process without a right to send there.
//
// Where there are more processes than the server bears requests, so many of them as it bears may send
// one a second each, drawn by the hashes of the server and the process: each process has a right at
// some servers, and a request that finds none here finds it at another. Rounding up the part of each
// process would let as many through as there are processes.
//
// All processes that know the same ones draw alike. One that is lost takes its right along until it
// is forgotten; one that is not known yet counts itself in, and so adds one request a second at most.
func Spacing(server, self string, processes []string, perSecond float64) (spacing time.Duration, may bool) {
	if perSecond <= 0 {
		return 0, false
	}
	holders := max(1, int(perSecond))
	each := perSecond / float64(holders)
	if len(processes) <= holders {
		each = perSecond / float64(max(1, len(processes)))
	} else if !holds(server, self, processes, holders) {
		return 0, false
	}
	return time.Duration(onTheWay / each * float64(time.Second)), true
}

// holds tells whether a process is among so many that are drawn for a server.
func holds(server, self string, processes []string, holders int) bool {
	rank := func(process string) uint64 { return xxhash.Sum64String(server + " " + process) }
	own, before := rank(self), 0
	for _, process := range processes {
		if process != self && cmp.Or(cmp.Compare(rank(process), own), cmp.Compare(process, self)) < 0 {
			before++
		}
		if before == holders {
			return false
		}
	}
	return true
}
