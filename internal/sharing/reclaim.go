package sharing

import "time"

// GroupRunning describes the batch items of one group on one server.
type GroupRunning struct {
	Group string
	// Running is the sum of EquivalentItems over the running items. Waiting counts the items that
	// could start or resume on the server now.
	Running float64
	Waiting int
}

const (
	// promptSpread is the time over which the cost of a prompt is spread.
	promptSpread = 2 * time.Second
	// tokensPerSecond is the assumed rate of one running item.
	tokensPerSecond = 45
)

// EquivalentItems returns how many items without a prompt receive as much service as an item that
// started some time ago. A prompt is processed at the start, so a young item receives more service
// than an old one.
func EquivalentItems(promptTokens int, age time.Duration) float64 {
	if age >= promptSpread {
		return 1
	}
	perItem := generatedTokenCost * tokensPerSecond * promptSpread.Seconds()
	return 1 + promptTokenCost*float64(promptTokens)/perItem
}

// Reclaim finds the group that runs the most items beyond its allowance on a server, and the group
// with waiting items that is furthest below its own. The caller is to pause one item of the former
// and to start one of the latter. The allowances of groups without items are lent without limit. It
// returns false if no group is short of a whole item.
func (p *Picker) Reclaim(groups []GroupRunning) (from, to int, found bool) {
	totalWeight, running := 0.0, 0.0
	for _, group := range groups {
		if group.Running > 0 || group.Waiting > 0 {
			totalWeight += p.weight(group.Group)
		}
		running += group.Running
	}
	from, to = -1, -1
	excess, deficit := 0.0, 0.0
	for index, group := range groups {
		if group.Running == 0 && group.Waiting == 0 {
			continue
		}
		entitled := running * p.weight(group.Group) / totalWeight
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

// weight returns the allowance of a group, with a lower bound.
func (p *Picker) weight(group string) float64 {
	return max(p.fractions[group], minimumWeight)
}
