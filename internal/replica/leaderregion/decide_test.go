package leaderregion_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/replica/leaderregion"
)

var origin = time.Unix(1000, 0)

// Guards against transfers that gain nothing, that delay the first second of a leadership, or that go to a
// voter which could not lead.
func TestDecide(t *testing.T) {
	const n1, n2, n3, s, w = 1, 2, 3, 4, 5
	now := origin.Add(time.Hour)
	for name, test := range map[string]struct {
		self uint64
		led  time.Duration
		edit func(*leaderregion.Situation)
		want uint64
	}{
		"leader elsewhere":                   {self: s, want: n1},
		"leader in the region":               {self: n2},
		"leader just elected":                {self: s, led: 999 * time.Millisecond},
		"leader elected a second ago":        {self: s, led: time.Second, want: n1},
		"pause after a transfer":             {self: s, edit: func(s *leaderregion.Situation) { s.NotBefore = now.Add(1) }},
		"end of the pause":                   {self: s, edit: func(s *leaderregion.Situation) { s.NotBefore = now }, want: n1},
		"first voter lags":                   {self: s, edit: func(s *leaderregion.Situation) { s.Voters[0].Current = false }, want: n2},
		"first voter lacks entries":          {self: s, edit: func(s *leaderregion.Situation) { s.Voters[0].Complete = false }, want: n2},
		"first voter current for 0.9 s":      {self: s, edit: func(s *leaderregion.Situation) { s.Voters[0].CurrentSince = now.Add(-900 * time.Millisecond) }, want: n2},
		"first voter leaves":                 {self: s, edit: func(s *leaderregion.Situation) { s.Voters[0].Leaving = true }, want: n2},
		"first voter gave up leadership":     {self: s, edit: func(s *leaderregion.Situation) { s.Voters[0].ExcludedUntil = now.Add(1) }, want: n2},
		"exclusion is over":                  {self: s, edit: func(s *leaderregion.Situation) { s.Voters[0].ExcludedUntil = now }, want: n1},
		"transfer to the first voter failed": {self: s, edit: func(s *leaderregion.Situation) { s.Avoided = n1 }, want: n2},
		"only the voter that failed is current": {self: s, edit: func(s *leaderregion.Situation) {
			s.Avoided = n1
			s.Voters[1].Current, s.Voters[2].Current = false, false
		}, want: n1},
		"region is down":          {self: s, edit: func(s *leaderregion.Situation) { setCurrent(s, false, 0, 1, 2) }},
		"no majority in a region": {self: s, edit: func(s *leaderregion.Situation) { s.Voters[2].Region = "west" }},
		"half of the voters is no majority": {self: s, edit: func(s *leaderregion.Situation) {
			s.Voters = append(s.Voters, leaderregion.Candidate{ID: 6, Region: "west"})
		}},
		"one region":         {self: s, edit: func(s *leaderregion.Situation) { setRegion(s, "north", 3, 4) }},
		"regions unknown":    {self: s, edit: func(s *leaderregion.Situation) { setRegion(s, "", 0, 1, 2, 3, 4) }},
		"own region unknown": {self: s, edit: func(s *leaderregion.Situation) { setRegion(s, "", 3) }},
		"leader is no voter": {self: 9},
		"no voters":          {self: s, edit: func(s *leaderregion.Situation) { s.Voters = nil }},
	} {
		t.Run(name, func(t *testing.T) {
			situation := leaderregion.Situation{Self: test.self, LedSince: now.Add(-time.Minute)}
			if test.led != 0 {
				situation.LedSince = now.Add(-test.led)
			}
			for i, region := range []string{"north", "north", "north", "south", "west"} {
				situation.Voters = append(situation.Voters, leaderregion.Candidate{
					ID: uint64(i + 1), Region: region, Current: true, CurrentSince: now.Add(-time.Second), Complete: true,
				})
			}
			if test.edit != nil {
				test.edit(&situation)
			}
			if got := leaderregion.Decide(now, situation); got != test.want {
				t.Errorf("the target is %d, want %d", got, test.want)
			}
		})
	}
}

func setCurrent(s *leaderregion.Situation, current bool, positions ...int) {
	for _, position := range positions {
		s.Voters[position].Current = current
	}
}

func setRegion(s *leaderregion.Situation, region string, positions ...int) {
	for _, position := range positions {
		s.Voters[position].Region = region
	}
}
