package serverview

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Fixed seed for reproducible property tests; override it with -rapid.seed (0
// for a random one).
var _ = flag.Set("rapid.seed", "20261202")

// platformList is what one platform list says about a server.
type platformList struct {
	present, leaving bool
}

// TestStaleReportsAndListsDoNotReadmitServer applies reports and lists in
// random order. The server's newest report counts; a server listed as leaving,
// or no longer listed, is excluded until three consecutive lists show it as
// live.
func TestStaleReportsAndListsDoNotReadmitServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state leavingState
		var lists []platformList
		draining, newest := false, time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "words") {
			if rapid.Bool().Draw(t, "report") {
				taken := time.Duration(rapid.IntRange(0, 20).Draw(t, "taken")) * time.Second
				reported := rapid.Bool().Draw(t, "draining")
				state.setDraining(reported, taken)
				if taken >= newest {
					draining, newest = reported, taken
				}
			} else {
				list := platformList{present: rapid.IntRange(0, 4).Draw(t, "named") > 0, leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0}
				state.applyList(list.present, list.leaving)
				lists = append(lists, list)
			}
			if want := draining || listedAsLeaving(lists); state.excluded() != want {
				t.Fatalf("excluded is %v after lists %v, newest report has draining %v", state.excluded(), lists, draining)
			}
		}
	})
}

// listedAsLeaving reports whether too few lists showed the server as live since
// the last one that did not.
func listedAsLeaving(lists []platformList) bool {
	lastNotLive, listed := -1, false
	for position, list := range lists {
		if (list.present && list.leaving) || (!list.present && listed) {
			lastNotLive = position
		}
		listed = listed || list.present
	}
	const requiredLiveLists = 3
	return lastNotLive >= 0 && len(lists)-1-lastNotLive < requiredLiveLists
}
