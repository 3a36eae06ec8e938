package simulator

import (
	"time"

	"rockwind.example/rockwind/internal/sharing"
)

// controlDelay is the time of one call to control: the way and a synced write.
const controlDelay = 8 * time.Millisecond

// leaseLow and leaseSize are the items queued in a gateway, per owned server,
// below which it asks for more, and how many it asks for.
const (
	leaseLow  = 6
	leaseSize = 12
)

// job is one submission in the ledger.
type job struct {
	load     int
	deadline time.Duration
	waiting  []*item
	left     int
}

// ledger stands for the control replicas: the jobs and the groups' account.
type ledger struct {
	fleet   *fleet
	jobs    [][]*job
	account *sharing.Account
	uses    []sharing.GroupUse
	settled time.Duration
	parts   []sharing.GroupAllowance
}

func newLedger(run *fleet) *ledger {
	created := &ledger{
		fleet:   run,
		jobs:    make([][]*job, len(run.scenario.Batch)),
		account: sharing.NewAccount(sharing.DefaultAccountPolicy),
	}
	for _, load := range run.scenario.Batch {
		created.uses = append(created.uses, sharing.GroupUse{Group: load.Group, Share: load.Share})
	}
	return created
}

// accept takes a submission in as a job.
func (l *ledger) accept(submission jobSubmission) {
	created := &job{load: submission.load, deadline: submission.deadline, left: len(submission.items)}
	for _, shape := range submission.items {
		entry := &item{index: len(l.fleet.items), load: submission.load, job: created, shape: shape}
		l.fleet.items = append(l.fleet.items, entry)
		created.waiting = append(created.waiting, entry)
	}
	l.jobs[submission.load] = append(l.jobs[submission.load], created)
	for _, gateway := range l.fleet.gateways {
		l.fleet.clock.After(controlDelay, gateway.refill)
	}
}

// lease takes up to count waiting items of a group, earliest deadline first.
func (l *ledger) lease(load, count int) []*item {
	var leased []*item
	for _, job := range l.jobs[load] {
		taken := min(count-len(leased), len(job.waiting))
		leased = append(leased, job.waiting[:taken]...)
		job.waiting = job.waiting[taken:]
		if len(leased) == count {
			break
		}
	}
	for len(l.jobs[load]) > 0 && l.jobs[load][0].left == 0 {
		l.jobs[load] = l.jobs[load][1:]
	}
	return leased
}

func (l *ledger) giveBack(entry *item) {
	entry.holder = nil
	entry.job.waiting = append(entry.job.waiting, entry)
}

// waitingCost is the cost of a group's work in the ledger.
func (l *ledger) waitingCost(load int) float64 {
	cost := 0.0
	for _, job := range l.jobs[load] {
		for _, entry := range job.waiting {
			cost += entry.cost()
		}
	}
	return cost
}

func (i *item) cost() float64 {
	return sharing.Cost(i.shape.prompt, 0, i.shape.output)
}

// refill asks control for items when the gateway runs low.
func (g *gateway) refill() {
	if g.asked {
		return
	}
	wanted := make([]int, len(g.queues))
	some := false
	for load := range g.queues {
		if len(g.queues[load].items) < leaseLow*len(g.owned) {
			wanted[load] = leaseSize * len(g.owned)
			some = true
		}
	}
	if !some {
		return
	}
	g.asked = true
	run := g.fleet
	run.clock.After(controlDelay/2, func() {
		leased := make([][]*item, len(wanted))
		for load, count := range wanted {
			leased[load] = run.ledger.lease(load, count)
		}
		run.clock.After(controlDelay/2, func() { g.leased(leased) })
	})
}

func (g *gateway) leased(items [][]*item) {
	g.asked = false
	some := false
	for load := range items {
		for _, entry := range items[load] {
			entry.holder = g
		}
		g.queues[load].items = append(g.queues[load].items, items[load]...)
		some = some || len(items[load]) > 0
	}
	if some {
		g.balanceAll()
	}
}

// candidates lists the groups with an item that may run on a server.
func (g *gateway) candidates(server int) ([]sharing.Candidate, []int) {
	candidates := make([]sharing.Candidate, 0, len(g.queues))
	loads := make([]int, 0, len(g.queues))
	for load := range g.queues {
		var first *item
		if last := g.lanes[server].lastPaused(load); last >= 0 {
			first = g.lanes[server].paused[last]
		} else if len(g.queues[load].items) > 0 {
			first = g.queues[load].items[0]
		} else {
			continue
		}
		candidates = append(candidates, sharing.Candidate{
			Group:     g.fleet.scenario.Batch[load].Group,
			Deadline:  first.job.deadline,
			Remaining: first.job.left,
		})
		loads = append(loads, load)
	}
	return candidates, loads
}

// take takes the next item of a group from its queue and charges it.
func (g *gateway) take(load int, candidate *sharing.Candidate) *item {
	queue := &g.queues[load]
	next := queue.items[0]
	queue.items = queue.items[1:]
	g.picker.Charge(candidate, next.cost())
	if len(queue.items) < leaseLow*len(g.owned) {
		g.refill()
	}
	return next
}
