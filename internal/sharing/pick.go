package sharing

import "time"

// Costs of a token. A generated token takes a sequence's slot in a step, a prompt token only a part
// of the prefill.
const (
	promptTokenCost    = 1.0
	generatedTokenCost = 4.0
)

// Cost returns the service that a request receives, in cost units.
func Cost(promptTokens, cachedTokens, generatedTokens int) float64 {
	processed := max(0, promptTokens-cachedTokens)
	return promptTokenCost*float64(processed) + generatedTokenCost*float64(generatedTokens)
}

// Candidate is a job with items that are ready to run in this gateway.
type Candidate struct {
	// Group and Tenant own the job named Job.
	Group  string
	Tenant string
	Job    string
	// ClassWeight is the weight of the job's batch class; zero means 1.
	ClassWeight float64
	// Deadline is when the job must be complete.
	Deadline time.Duration
	// Remaining is the number of items that are not completed, over the whole fleet.
	Remaining int
	// Rate is how many items of the job the whole fleet completes per second.
	Rate float64
}

// Picker chooses the job whose item runs next: groups by allowance, tenants with equal weights
// within a group, and jobs by urgency within a tenant. It is not safe for concurrent use.
type Picker struct {
	groups    fairQueue
	tenants   map[string]*fairQueue
	fractions map[string]float64
}

// fairQueue implements start-time fair queueing among named flows.
type fairQueue struct {
	virtualTime float64
	finishTimes map[string]float64
}

// NewPicker returns a picker without history.
func NewPicker() *Picker {
	return &Picker{groups: newFairQueue(), tenants: make(map[string]*fairQueue), fractions: make(map[string]float64)}
}

// SetAllowances replaces the allowances. A group without one gets the minimum weight.
func (p *Picker) SetAllowances(allowances []GroupAllowance) {
	clear(p.fractions)
	for _, allowance := range allowances {
		p.fractions[allowance.Group] = allowance.BatchFraction
	}
}

func newFairQueue() fairQueue {
	return fairQueue{finishTimes: make(map[string]float64)}
}

// start returns the virtual time at which the next item of a flow starts. A flow that was idle
// starts at the current virtual time: it is neither compensated for idle time nor charged for its
// earlier use of idle capacity.
func (q *fairQueue) start(flow string) float64 {
	return max(q.virtualTime, q.finishTimes[flow])
}

func (q *fairQueue) charge(flow string, cost, weight float64) {
	begin := q.start(flow)
	q.virtualTime = max(q.virtualTime, begin)
	q.finishTimes[flow] = begin + cost/max(weight, minimumWeight)
}

// forget removes flows that are behind the current virtual time.
func (q *fairQueue) forget() {
	for flow, finish := range q.finishTimes {
		if finish <= q.virtualTime {
			delete(q.finishTimes, flow)
		}
	}
}

// minimumWeight keeps groups without an allowance from starving.
const minimumWeight = 1e-3

// Pick returns the index of the candidate to run next, or false if there are no candidates.
func (p *Picker) Pick(candidates []Candidate, now time.Duration) (int, bool) {
	chosen := -1
	for index := range candidates {
		if chosen < 0 || p.before(&candidates[index], &candidates[chosen], now) {
			chosen = index
		}
	}
	return chosen, chosen >= 0
}

// before reports whether candidate a runs before b.
func (p *Picker) before(a, b *Candidate, now time.Duration) bool {
	if a.Group != b.Group {
		return less(p.groups.start(a.Group), p.groups.start(b.Group), a.Group, b.Group)
	}
	if a.Tenant != b.Tenant {
		tenants := p.tenantsOf(a.Group)
		return less(tenants.start(a.Tenant), tenants.start(b.Tenant), a.Tenant, b.Tenant)
	}
	return less(a.slack(now), b.slack(now), a.Job, b.Job)
}

func less(a, b float64, nameA, nameB string) bool {
	if a != b {
		return a < b
	}
	return nameA < nameB
}

func (p *Picker) tenantsOf(group string) *fairQueue {
	tenants, known := p.tenants[group]
	if !known {
		created := newFairQueue()
		tenants = &created
		p.tenants[group] = tenants
	}
	return tenants
}

// assumedRate is the rate, in items per second, of a job without completed items.
const assumedRate = 10.0

// slack returns the spare time of a job at its current rate, in seconds. The class weight divides a
// positive slack and multiplies a negative one.
func (c *Candidate) slack(now time.Duration) float64 {
	rate := c.Rate
	if rate <= 0 {
		rate = assumedRate
	}
	slack := (c.Deadline - now).Seconds() - float64(c.Remaining)/rate
	weight := c.ClassWeight
	if weight <= 0 {
		weight = 1
	}
	if slack < 0 {
		return slack * weight
	}
	return slack / weight
}

// Charge charges the cost of an item to its group and tenant: the estimate when it starts, and the
// difference, which may be negative, when it ends.
func (p *Picker) Charge(candidate *Candidate, cost float64) {
	p.groups.charge(candidate.Group, cost, p.fractions[candidate.Group])
	p.tenantsOf(candidate.Group).charge(candidate.Tenant, cost, 1)
}

// Forget removes the state of flows that are behind. Call it from time to time.
func (p *Picker) Forget() {
	p.groups.forget()
	for group, tenants := range p.tenants {
		tenants.forget()
		if len(tenants.finishTimes) == 0 && p.groups.finishTimes[group] == 0 {
			delete(p.tenants, group)
		}
	}
}
