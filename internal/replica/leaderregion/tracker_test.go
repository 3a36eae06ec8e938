package leaderregion_test

import (
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/replica/leaderregion"
)

// interval is the time between two observations, as in a store.
const interval = 30 * time.Millisecond

// self is the replica of the tests, in the south; 1, 2 and 3 are voters in the north.
const self = 4

// group is a group that a tracker observes.
type group struct {
	t       *testing.T
	tracker leaderregion.Tracker
	now     time.Time
	view    leaderregion.View
}

func newGroup(t *testing.T) *group {
	g := &group{t: t, now: origin, view: leaderregion.View{Self: self, Term: 1, Last: 100, Commit: 100, Stable: true}}
	for i, region := range []string{"north", "north", "north", "south", "west"} {
		g.view.Voters = append(g.view.Voters, leaderregion.Voter{ID: uint64(i + 1), Region: region, Active: true, Match: 100})
	}
	return g
}

// lead begins a leadership of a replica in a new term.
func (g *group) lead(leader uint64) {
	g.view.Leader = leader
	g.view.Term++
}

// onlyFirstInNorth leaves one active voter in the north, so that there is no other target.
func (g *group) onlyFirstInNorth() { g.view.Voters[1].Active, g.view.Voters[2].Active = false, false }

// observe lets time pass and returns the targets of the transfers that are due, with their times. Each of
// them fails at once.
func (g *group) observe(duration time.Duration) (targets []uint64, times []time.Duration) {
	for end := g.now.Add(duration); g.now.Before(end); g.now = g.now.Add(interval) {
		g.tracker.Observe(g.now, g.view)
		if target := g.tracker.Target(g.now, g.view); target != 0 {
			g.tracker.Begin(g.now, target)
			targets, times = append(targets, target), append(times, g.now.Sub(origin))
		}
	}
	return targets, times
}

func (g *group) expect(duration time.Duration, want ...uint64) {
	g.t.Helper()
	if got, _ := g.observe(duration); !slices.Equal(got, want) {
		g.t.Errorf("transfers to %v, want %v", got, want)
	}
}

// Guards against retries that stop the group again and again, and against a retry at a target that fails
// while there is another one.
func TestRetriesBackOff(t *testing.T) {
	g := newGroup(t)
	g.lead(self)
	targets, times := g.observe(5 * time.Minute)
	if len(targets) < 6 || len(targets) > 9 {
		t.Fatalf("%d transfers in five minutes, at %v", len(targets), times)
	}
	if times[0] < time.Second || times[0] > time.Second+2*interval {
		t.Errorf("the first transfer begins after %v", times[0])
	}
	for i := range targets[1:] {
		if targets[i] == targets[i+1] {
			t.Errorf("two transfers in a row to %d", targets[i])
		}
		if i > 0 && i < 5 && times[i+1]-times[i] < 2*(times[i]-times[i-1])-2*interval {
			t.Errorf("the pauses do not double: %v", times)
		}
	}
}

// Guards against growing pauses on a site where leaders often fail although each transfer succeeds.
func TestSuccessEndsThePauses(t *testing.T) {
	g := newGroup(t)
	g.onlyFirstInNorth()
	g.lead(self)
	for round := range 10 {
		began := g.now
		for g.tracker.Target(g.now, g.view) == 0 && g.now.Sub(began) < 2*time.Second {
			g.now = g.now.Add(interval)
			g.tracker.Observe(g.now, g.view)
		}
		if g.now.Sub(began) >= 2*time.Second {
			t.Fatalf("no transfer in round %d", round)
		}
		g.tracker.Begin(g.now, 1)
		g.lead(1)
		g.observe(3 * time.Minute)
		g.lead(self)
		g.view.Voters[0].Active = false
		g.observe(900 * time.Millisecond)
		g.view.Voters[0].Active = true
	}
}

// Guards against a transfer that counts as failed while it is in progress or after it has succeeded, and
// against a failed one that is not reported.
func TestFailedTransferIsReportedOnce(t *testing.T) {
	g := newGroup(t)
	g.lead(self)
	g.expect(1500*time.Millisecond, 1)
	g.tracker.Observe(g.now, g.view)
	g.tracker.Begin(g.now, 2)
	g.view.Transferring = true
	if failed := g.tracker.Observe(g.now, g.view); failed != 0 {
		t.Errorf("the transfer to %d counts as failed while it is in progress", failed)
	}
	g.view.Transferring = false
	if failed := g.tracker.Observe(g.now, g.view); failed != 2 {
		t.Errorf("the failed transfer is reported as %d", failed)
	}
	if failed := g.tracker.Observe(g.now, g.view); failed != 0 {
		t.Errorf("the failed transfer to %d is reported twice", failed)
	}
	g.tracker.Begin(g.now, 3)
	g.lead(3)
	if failed := g.tracker.Observe(g.now, g.view); failed != 0 {
		t.Errorf("the transfer to %d counts as failed", failed)
	}
	g.lead(self)
	if failed := g.tracker.Observe(g.now, g.view); failed != 0 {
		t.Errorf("the transfer to %d counts as failed when leadership returns", failed)
	}
}

// Guards against alternation with leaders that give up leadership because their disks are slow: they are in
// contact all the time.
func TestVoterThatGaveUpLeadershipIsExcluded(t *testing.T) {
	g := newGroup(t)
	g.onlyFirstInNorth()
	for _, excluded := range []time.Duration{5 * time.Minute, 10 * time.Minute, 20 * time.Minute} {
		g.lead(1)
		g.observe(10 * time.Second)
		g.lead(self)
		g.expect(excluded)
		g.expect(2*time.Second, 1)
	}
	// Leadership of another replica that fails is no reason to exclude it.
	g = newGroup(t)
	g.onlyFirstInNorth()
	g.lead(1)
	g.observe(10 * time.Second)
	g.lead(self)
	g.view.Voters[0].Active = false
	g.expect(900 * time.Millisecond)
	g.view.Voters[0].Active = true
	g.expect(1500*time.Millisecond, 1)
	// A leadership that this replica regains after a failed transfer came from no other.
	g = newGroup(t)
	g.onlyFirstInNorth()
	g.lead(1)
	g.observe(time.Second)
	g.lead(self)
	g.view.Voters[0].Active = false
	g.observe(time.Second)
	g.view.Voters[0].Active = true
	g.lead(self)
	g.expect(1500*time.Millisecond, 1)
}

// Guards against alternation with a voter that loses each leadership because its disk hangs, so that it is
// not in contact at times.
func TestVoterThatSoonLosesItsLeadershipIsExcluded(t *testing.T) {
	g := newGroup(t)
	g.lead(self)
	g.expect(1500*time.Millisecond, 1)
	g.lead(1)
	g.observe(5 * time.Second)
	g.lead(self)
	g.view.Voters[0].Active = false
	g.observe(500 * time.Millisecond)
	g.view.Voters[0].Active = true
	g.onlyFirstInNorth()
	g.expect(5 * time.Minute)
	g.expect(1500*time.Millisecond, 1)
}

// Guards against a target with a slow disk, which lags behind while the group writes.
func TestLaggingVoterIsNoTarget(t *testing.T) {
	for name, test := range map[string]struct {
		lag  time.Duration
		want uint64
	}{"fast": {30 * time.Millisecond, 1}, "slow": {200 * time.Millisecond, 2}} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t)
			g.lead(self)
			target := uint64(0)
			var lasts []uint64
			for target == 0 && g.now.Sub(origin) < 5*time.Second {
				g.view.Last += 3
				g.view.Commit = g.view.Last - 3
				lasts = append(lasts, g.view.Last)
				for i := range g.view.Voters {
					g.view.Voters[i].Match = g.view.Commit
				}
				g.view.Voters[0].Match = lasts[max(0, len(lasts)-1-int(test.lag/interval))]
				g.tracker.Observe(g.now, g.view)
				target = g.tracker.Target(g.now, g.view)
				g.now = g.now.Add(interval)
			}
			if target != test.want {
				t.Errorf("the target is %d, want %d", target, test.want)
			}
		})
	}
}

// Guards against a transfer to a voter that failed or fell behind while the transfer was prepared.
func TestTargetMustStayEligible(t *testing.T) {
	g := newGroup(t)
	g.lead(self)
	g.observe(1500 * time.Millisecond)
	if !g.tracker.Eligible(g.now, g.view, 1) {
		t.Error("a current voter is not eligible")
	}
	for name, edit := range map[string]func(*leaderregion.View){
		"inactive":       func(v *leaderregion.View) { v.Voters[0].Active = false },
		"leaves":         func(v *leaderregion.View) { v.Voters[0].Leaving = true },
		"no voter":       func(v *leaderregion.View) { v.Voters = v.Voters[1:] },
		"other leader":   func(v *leaderregion.View) { v.Leader = 5 },
		"not stable":     func(v *leaderregion.View) { v.Stable = false },
		"no leader":      func(v *leaderregion.View) { v.Leader = 0 },
		"not started":    func(v *leaderregion.View) { v.Self = 0 },
		"changed leader": func(v *leaderregion.View) { v.Leader = 1 },
	} {
		view := g.view
		view.Voters = slices.Clone(view.Voters)
		edit(&view)
		if g.tracker.Eligible(g.now, view, 1) {
			t.Errorf("%s: still eligible", name)
		}
	}
	g.view.Last, g.view.Commit = g.view.Last+1, g.view.Commit+1
	if !g.tracker.Eligible(g.now, g.view, 1) {
		t.Error("a voter that lacks an entry of the preparation is not eligible")
	}
	g.observe(time.Second)
	if g.tracker.Eligible(g.now, g.view, 1) {
		t.Error("a voter that has lacked an entry for a second is eligible")
	}
}

// Guards against transfers while the membership changes or while another transfer is in progress.
func TestNoTransferWhileTheGroupChanges(t *testing.T) {
	for name, edit := range map[string]func(*leaderregion.View){
		"membership not committed": func(v *leaderregion.View) { v.Stable = false },
		"transfer in progress":     func(v *leaderregion.View) { v.Transferring = true },
		"follower":                 func(v *leaderregion.View) { v.Leader = 5 },
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t)
			g.lead(self)
			edit(&g.view)
			g.expect(time.Minute)
		})
	}
}

// Guards against a drain that prefers a voter which the regional transfer would not choose, and against one that
// waits although no voter of the region can be chosen.
func TestDrainTarget(t *testing.T) {
	for name, test := range map[string]struct {
		self uint64
		edit func(g *group)
		want uint64
	}{
		"leader elsewhere":         {want: 1},
		"leader in the region":     {self: 1, want: 2},
		"no majority":              {edit: func(g *group) { g.view.Voters[0].Region = "south" }},
		"regions not known":        {edit: func(g *group) { g.view.Voters[0].Region, g.view.Voters[1].Region = "", "" }},
		"first inactive":           {edit: func(g *group) { g.view.Voters[0].Active = false }, want: 2},
		"first lacks entries":      {edit: func(g *group) { g.view.Voters[0].Match-- }, want: 2},
		"first leaves":             {edit: func(g *group) { g.view.Voters[0].Leaving = true }, want: 2},
		"region inactive":          {edit: func(g *group) { g.onlyFirstInNorth(); g.view.Voters[0].Active = false }},
		"membership not committed": {edit: func(g *group) { g.view.Stable = false }},
		"transfer in progress":     {edit: func(g *group) { g.view.Transferring = true }},
		"follower":                 {edit: func(g *group) { g.view.Leader = 5 }},
		"new leadership":           {edit: func(g *group) { g.view.Term++ }},
		"after a failed transfer":  {edit: func(g *group) { g.tracker.Begin(g.now, 1) }},
		"after the pause":          {edit: func(g *group) { g.tracker.Begin(g.now, 1); g.now = g.now.Add(2 * time.Second) }, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t)
			if test.self != 0 {
				g.view.Self = test.self
			}
			g.lead(g.view.Self)
			for end := g.now.Add(1500 * time.Millisecond); g.now.Before(end); g.now = g.now.Add(interval) {
				g.tracker.Observe(g.now, g.view)
			}
			if test.edit != nil {
				test.edit(g)
			}
			if got := g.tracker.DrainTarget(g.now, g.view); got != test.want {
				t.Errorf("the target is %d, want %d", got, test.want)
			}
		})
	}
}

// Guards against a drain that transfers leadership to a voter which has just given it up, or in the first second
// of a leadership, in which no voter has been current for long enough.
func TestDrainTargetHasBeenCurrentAndHasNotGivenUp(t *testing.T) {
	g := newGroup(t)
	g.onlyFirstInNorth()
	g.lead(1)
	g.observe(10 * time.Second)
	g.lead(self)
	g.observe(900 * time.Millisecond)
	if got := g.tracker.DrainTarget(g.now, g.view); got != 0 {
		t.Errorf("in the first second the target is %d", got)
	}
	g.observe(time.Minute)
	if got := g.tracker.DrainTarget(g.now, g.view); got != 0 {
		t.Errorf("the target %d gave up leadership a minute ago", got)
	}
	for end := g.now.Add(5 * time.Minute); g.now.Before(end); g.now = g.now.Add(interval) {
		g.tracker.Observe(g.now, g.view)
	}
	if got := g.tracker.DrainTarget(g.now, g.view); got != 1 {
		t.Errorf("after the exclusion the target is %d", got)
	}
}
