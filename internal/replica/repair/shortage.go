package repair

// Reason is what a group that lacks members waits for.
type Reason string

// The reasons.
const (
	// Inactive: the loss is too recent for a replacement.
	Inactive Reason = "timeout"
	// Copying: a learner copies the group's data.
	Copying Reason = "copying"
	// Changing: the membership is about to change.
	Changing Reason = "changing"
	// NoSpare: no machine that may join asks to.
	NoSpare Reason = "no_spare"
	// SpareRefused: machines ask to join, but all are refused.
	SpareRefused Reason = "spare_refused"
)

// Reason returns what a group that lacks members waits for. asking is the number of machines that ask to join.
func (v View) Reason(asking int) Reason {
	recent, copying, waiting := false, false, false
	for position, member := range v.Members {
		switch {
		case member.GetLearner():
			copying = copying || !isDead(member)
		case member.Active:
		case member.Inactive < InactivityTimeout:
			recent = true
		case v.needsReplacement(position):
			waiting = true
		}
	}
	switch {
	case waiting && asking > 0:
		return SpareRefused
	case waiting:
		return NoSpare
	case copying:
		return Copying
	case recent:
		return Inactive
	}
	return Changing
}
