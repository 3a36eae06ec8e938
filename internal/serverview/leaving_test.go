package serverview

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The seed of the property tests is fixed, so that each run gives the same
// verdict. The flag -rapid.seed changes it; 0 draws a fresh one.
var _ = flag.Set("rapid.seed", "20261202")

// platformList is what one list of the platform said of a server.
type platformList struct {
	named, leaving bool
}

// TestStaleWordsBringNoServerBack lets reports and lists about one server come
// in any order. What the server said last, by the time of its report, counts; a
// server that a list showed as leaving, or showed no more, is out until three
// lists in a row showed it as live.
func TestStaleWordsBringNoServerBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state leavingState
		var lists []platformList
		draining, newest := false, time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "words") {
			if rapid.Bool().Draw(t, "report") {
				taken := time.Duration(rapid.IntRange(0, 20).Draw(t, "taken")) * time.Second
				said := rapid.Bool().Draw(t, "draining")
				state.said(said, taken)
				if taken >= newest {
					draining, newest = said, taken
				}
			} else {
				list := platformList{named: rapid.IntRange(0, 4).Draw(t, "named") > 0, leaving: rapid.IntRange(0, 4).Draw(t, "leaving") == 0}
				state.shown(list.named, list.leaving)
				lists = append(lists, list)
			}
			if want := draining || shownAsLeaving(lists); state.out() != want {
				t.Fatalf("out is %v after lists %v, newest report draining %v", state.out(), lists, draining)
			}
		}
	})
}

// shownAsLeaving judges the lists from the last one that spoke against the
// server on.
func shownAsLeaving(lists []platformList) bool {
	against, listed := -1, false
	for position, list := range lists {
		if (list.named && list.leaving) || (!list.named && listed) {
			against = position
		}
		listed = listed || list.named
	}
	const wantedLiveLists = 3
	return against >= 0 && len(lists)-1-against < wantedLiveLists
}
