package sharing

import "time"

// GroupRunning is what one group has on one server.
type GroupRunning struct {
	// Group is the group's name.
	Group string
	// Running sums the places of its items that run, from Places; Waiting counts
	// those that could start or go on there now.
	Running float64
	Waiting int
}

// Constants of Places.
const (
	// promptSpread is the time over which the service of a prompt is spread.
	promptSpread = 2 * time.Second
	// tokensPerSecond is the assumed rate of one running item.
	tokensPerSecond = 45
)

// EquivalentItems is how many running items the service of an item that started some
// time ago amounts to: a prompt is processed at once, so that a young item
// receives more than an old one.
func EquivalentItems(promptTokens int, age time.Duration) float64 {
	if age >= promptSpread {
		return 1
	}
	perPlace := generatedTokenCost * tokensPerSecond * promptSpread.Seconds()
	return 1 + promptTokenCost*float64(promptTokens)/perPlace
}

// Reclaim finds a group that runs fewer items on a server than its allowance
// gives it, though it has more to run, and the group that runs the most beyond
// its own. One item of the lender's borrower is to be paused, and one of the
// other group started. Groups without any item are lent from without limit. It
// returns false where no group is a whole item short.
func (p *Picker) Reclaim(groups []GroupRunning) (from, to int, found bool) {
	parts, slots := 0.0, 0.0
	for _, group := range groups {
		if group.Running > 0 || group.Waiting > 0 {
			parts += p.weight(group.Group)
		}
		slots += group.Running
	}
	from, to = -1, -1
	excess, deficit := 0.0, 0.0
	for index, group := range groups {
		if group.Running == 0 && group.Waiting == 0 {
			continue
		}
		entitled := slots * p.weight(group.Group) / parts
		if over := group.Running - entitled; over >= 1 && over > excess {
			from, excess = index, over
		}
		short := min(entitled-group.Running, float64(group.Waiting))
		if short >= 1 && short > deficit {
			to, deficit = index, short
		}
	}
	return from, to, from >= 0 && to >= 0
}

// weight is the allowance of a group, never zero.
func (p *Picker) weight(group string) float64 {
	return max(p.parts[group], minimumWeight)
}
