// Package leaderregion decides when the leader of a group transfers leadership to the region that holds a
// majority of the group's voters, and to which voter. A leader there sends fewer entries to other regions.
package leaderregion

import "time"

const (
	// leadingTime is how long a leader leads before it transfers leadership, so that it completes what
	// callers repeat after a failure.
	leadingTime = time.Second
	// currentTime is how long a voter must have been active and current before it is a target.
	currentTime = time.Second
)

// Candidate is a voter as a target of a transfer.
type Candidate struct {
	ID uint64
	// Region is empty if it is not known.
	Region string
	// Current reports whether the voter is active and nearly up to date, and CurrentSince since when.
	Current      bool
	CurrentSince time.Time
	// Complete reports whether the voter has synced all committed entries.
	Complete bool
	// Leaving reports whether the voter must leave the group.
	Leaving bool
	// ExcludedUntil is the time before which the voter is no target, because it gave up leadership.
	ExcludedUntil time.Time
}

// Situation is what a leader decides from.
type Situation struct {
	Self uint64
	// LedSince is when this leadership began.
	LedSince time.Time
	// NotBefore is the time before which no transfer is started, because of earlier ones.
	NotBefore time.Time
	// Avoided is the target of the transfer before, which is chosen only if there is no other.
	Avoided uint64
	// Voters lists all voters in the order of the membership.
	Voters []Candidate
}

// Decide returns the voter to which the leader transfers leadership now, zero if to none. Of several it is
// the first of the membership, which is a different store for each shard of a new site.
func Decide(now time.Time, s Situation) uint64 {
	region := majorityRegion(s.Voters)
	if region == "" || now.Sub(s.LedSince) < leadingTime || !isElsewhere(s, region) {
		return 0
	}
	return targetIn(region, now, s)
}

// DecideDrain returns the voter to which a draining leader transfers leadership, zero if any voter will do.
// The conditions of a target are those of Decide, so that the next leader does not transfer leadership again.
// Those of the leader do not apply: it must not lead on, wherever it is.
func DecideDrain(now time.Time, s Situation) uint64 {
	region := majorityRegion(s.Voters)
	if region == "" {
		return 0
	}
	return targetIn(region, now, s)
}

// targetIn returns the target in a region, zero if there is none.
func targetIn(region string, now time.Time, s Situation) uint64 {
	if now.Before(s.NotBefore) {
		return 0
	}
	target := uint64(0)
	for _, voter := range s.Voters {
		switch {
		case voter.ID == s.Self || voter.Region != region || !voter.Complete || !eligible(now, voter):
		case voter.ID != s.Avoided:
			return voter.ID
		default:
			target = voter.ID
		}
	}
	return target
}

func eligible(now time.Time, voter Candidate) bool {
	return voter.Current && now.Sub(voter.CurrentSince) >= currentTime && !voter.Leaving && !now.Before(voter.ExcludedUntil)
}

// isElsewhere reports whether the leader is a voter of a known region other than the given one.
func isElsewhere(s Situation, region string) bool {
	for _, voter := range s.Voters {
		if voter.ID == s.Self {
			return voter.Region != "" && voter.Region != region
		}
	}
	return false
}

// majorityRegion returns the region that holds a majority of the voters, empty if none does.
func majorityRegion(voters []Candidate) string {
	count := make(map[string]int)
	for _, voter := range voters {
		count[voter.Region]++
		if voter.Region != "" && 2*count[voter.Region] > len(voters) {
			return voter.Region
		}
	}
	return ""
}
