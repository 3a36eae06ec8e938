package simulator

import (
	"time"

	"rockwind.example/rockwind/internal/sharing"
)

// controlDelay is the duration of a call to control, including a synced write.
const controlDelay = 8 * time.Millisecond

// A gateway with fewer than leaseLow queued items of a group per owned server
// requests leaseSize more per owned server.
const (
	leaseLow  = 6
	leaseSize = 12
)

// job is a batch job in the ledger.
type job struct {
	group    int
	deadline time.Duration
	waiting  []*item
	left     int
}

// ledger models the control replicas: the jobs and the accounting of the groups.
type ledger struct {
	fleet      *fleet
	jobs       [][]*job
	account    *sharing.Account
	uses       []sharing.GroupUse
	lastUpdate time.Duration
	allowances []sharing.GroupAllowance
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

// accept adds a submitted job.
func (l *ledger) accept(submission jobSubmission) {
	created := &job{group: submission.group, deadline: submission.deadline, left: len(submission.items)}
	for _, shape := range submission.items {
		entry := &item{index: len(l.fleet.items), group: submission.group, job: created, shape: shape}
		l.fleet.items = append(l.fleet.items, entry)
		created.waiting = append(created.waiting, entry)
	}
	l.jobs[submission.group] = append(l.jobs[submission.group], created)
	for _, gateway := range l.fleet.gateways {
		l.fleet.clock.After(controlDelay, gateway.requestLeases)
	}
}

// lease removes and returns up to count waiting items of a group, oldest jobs first.
func (l *ledger) lease(group, count int) []*item {
	var leased []*item
	for _, job := range l.jobs[group] {
		taken := min(count-len(leased), len(job.waiting))
		leased = append(leased, job.waiting[:taken]...)
		job.waiting = job.waiting[taken:]
		if len(leased) == count {
			break
		}
	}
	for len(l.jobs[group]) > 0 && l.jobs[group][0].left == 0 {
		l.jobs[group] = l.jobs[group][1:]
	}
	return leased
}

func (l *ledger) requeue(entry *item) {
	entry.leasedBy = nil
	entry.job.waiting = append(entry.job.waiting, entry)
}

// waitingCost returns the cost of a group's waiting items in the ledger.
func (l *ledger) waitingCost(group int) float64 {
	cost := 0.0
	for _, job := range l.jobs[group] {
		for _, entry := range job.waiting {
			cost += entry.cost()
		}
	}
	return cost
}

func (i *item) cost() float64 {
	return sharing.Cost(i.shape.prompt, 0, i.shape.output)
}

// requestLeases leases more items from control if the gateway has too few queued.
func (g *gateway) requestLeases() {
	if g.leaseRequested {
		return
	}
	wanted := make([]int, len(g.queues))
	needed := false
	for group := range g.queues {
		if len(g.queues[group].items) < leaseLow*len(g.owned) {
			wanted[group] = leaseSize * len(g.owned)
			needed = true
		}
	}
	if !needed {
		return
	}
	g.leaseRequested = true
	run := g.fleet
	run.clock.After(controlDelay/2, func() {
		leased := make([][]*item, len(wanted))
		for group, count := range wanted {
			leased[group] = run.ledger.lease(group, count)
		}
		run.clock.After(controlDelay/2, func() { g.receiveLeases(leased) })
	})
}

func (g *gateway) receiveLeases(items [][]*item) {
	g.leaseRequested = false
	received := false
	for group := range items {
		for _, entry := range items[group] {
			entry.leasedBy = g
		}
		g.queues[group].items = append(g.queues[group].items, items[group]...)
		received = received || len(items[group]) > 0
	}
	if received {
		g.applyBudgets()
	}
}

// candidates returns the groups with an item that can run on a server, and their
// indices.
func (g *gateway) candidates(server int) ([]sharing.Candidate, []int) {
	candidates := make([]sharing.Candidate, 0, len(g.queues))
	groups := make([]int, 0, len(g.queues))
	for group := range g.queues {
		var first *item
		if last := g.batches[server].lastPaused(group); last >= 0 {
			first = g.batches[server].paused[last]
		} else if len(g.queues[group].items) > 0 {
			first = g.queues[group].items[0]
		} else {
			continue
		}
		candidates = append(candidates, sharing.Candidate{
			Group:     g.fleet.scenario.Batch[group].Group,
			Deadline:  first.job.deadline,
			Remaining: first.job.left,
		})
		groups = append(groups, group)
	}
	return candidates, groups
}

// take removes the next item of a group from its queue and charges the group for it.
func (g *gateway) take(group int, candidate *sharing.Candidate) *item {
	queue := &g.queues[group]
	next := queue.items[0]
	queue.items = queue.items[1:]
	g.picker.Charge(candidate, next.cost())
	if len(queue.items) < leaseLow*len(g.owned) {
		g.requestLeases()
	}
	return next
}
