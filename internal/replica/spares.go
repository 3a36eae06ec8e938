package replica

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// askingTime is how long a machine counts as asking to join after its latest call. A spare machine asks
	// its peers in turn.
	askingTime = 10 * time.Second
	// recentTime is how long ago a machine may have asked to be preferred to others.
	recentTime = 3 * time.Second
)

// spares remembers the machines that ask to join, so that a leader need not wait for the next call. It is safe for
// concurrent use, and its zero value is ready.
type spares struct {
	mutex sync.Mutex
	// asked holds the latest call of each machine.
	asked map[string]joinCall
}

type joinCall struct {
	request *rockwindpb.JoinRequest
	at      time.Time
}

func (s *spares) record(request *rockwindpb.JoinRequest, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.asked == nil {
		s.asked = make(map[string]joinCall)
	}
	s.asked[request.GetMachine()] = joinCall{request: request, at: now}
	maps.DeleteFunc(s.asked, func(_ string, call joinCall) bool { return now.Sub(call.at) >= askingTime })
}

// candidates returns the calls of the machines that ask: those that asked recently first, and among them in an
// order of each group, so that several groups choose different machines.
func (s *spares) candidates(group uint32, now time.Time) []joinCall {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	calls := slices.DeleteFunc(slices.Collect(maps.Values(s.asked)), func(call joinCall) bool { return now.Sub(call.at) >= askingTime })
	rank := func(call joinCall) uint64 {
		return xxhash.Sum64String(strconv.FormatUint(uint64(group), 10) + " " + call.request.GetMachine())
	}
	isOld := func(call joinCall) int {
		if now.Sub(call.at) < recentTime {
			return 0
		}
		return 1
	}
	slices.SortFunc(calls, func(a, b joinCall) int {
		return cmp.Or(cmp.Compare(isOld(a), isOld(b)), cmp.Compare(rank(a), rank(b)))
	})
	return calls
}
