package sharing

import "time"

// Weights of the cost of a token. A generated token costs a step's place, a
// prompt token only its part of the prefill.
const (
	promptTokenCost    = 1.0
	generatedTokenCost = 4.0
)

// Cost is the service that a request receives, in cost units.
func Cost(promptTokens, cachedTokens, generatedTokens int) float64 {
	processed := max(0, promptTokens-cachedTokens)
	return promptTokenCost*float64(processed) + generatedTokenCost*float64(generatedTokens)
}

// Candidate is a job with items ready to run in this gateway.
type Candidate struct {
	// Group, Tenant and Job name the job's owners and the job.
	Group  string
	Tenant string
	Job    string
	// ClassWeight is the weight of the job's batch class; zero counts as 1.
	ClassWeight float64
	// Deadline is when the job must be complete.
	Deadline time.Duration
	// Remaining is the number of items not completed, over the whole fleet.
	Remaining int
	// Rate is the items per second that the whole fleet completes of this job.
	Rate float64
}

// Picker chooses the job whose item runs next: groups by allowance, tenants
// fair within a group, jobs by urgency within a tenant. One goroutine owns it.
type Picker struct {
	groups  queue
	tenants map[string]*queue
	parts   map[string]float64
}

// queue is start-time fair queueing among named flows.
type queue struct {
	virtual float64
	finish  map[string]float64
}

// NewPicker returns a picker that has served nobody.
func NewPicker() *Picker {
	return &Picker{groups: newQueue(), tenants: make(map[string]*queue), parts: make(map[string]float64)}
}

// SetAllowances puts the newest allowances in force. A group without one gets
// the least weight.
func (p *Picker) SetAllowances(allowances []GroupAllowance) {
	clear(p.parts)
	for _, allowance := range allowances {
		p.parts[allowance.Group] = allowance.BatchFraction
	}
}

func newQueue() queue {
	return queue{finish: make(map[string]float64)}
}

// start is the virtual time at which a flow's next item starts. A flow that was
// idle starts at the present virtual time: idleness earns nothing and past use
// of idle capacity costs nothing.
func (q *queue) start(flow string) float64 {
	return max(q.virtual, q.finish[flow])
}

func (q *queue) charge(flow string, cost, weight float64) {
	begin := q.start(flow)
	q.virtual = max(q.virtual, begin)
	q.finish[flow] = begin + cost/max(weight, minimumWeight)
}

// forget drops flows that have fallen behind the present virtual time.
func (q *queue) forget() {
	for flow, finish := range q.finish {
		if finish <= q.virtual {
			delete(q.finish, flow)
		}
	}
}

// minimumWeight keeps groups without allowance from starving for ever.
const minimumWeight = 1e-3

// Pick returns the index of the candidate to run next. It returns false when
// there is no candidate.
func (p *Picker) Pick(candidates []Candidate, now time.Duration) (int, bool) {
	chosen := -1
	for index := range candidates {
		if chosen < 0 || p.before(&candidates[index], &candidates[chosen], now) {
			chosen = index
		}
	}
	return chosen, chosen >= 0
}

// before tells whether candidate a goes before b.
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

func (p *Picker) tenantsOf(group string) *queue {
	tenants, known := p.tenants[group]
	if !known {
		created := newQueue()
		tenants = &created
		p.tenants[group] = tenants
	}
	return tenants
}

// assumedRate is the rate of a job of which nothing has completed yet, in items
// per second.
const assumedRate = 10.0

// slack is the time that a job has to spare at its present rate, in seconds,
// divided by the weight of its class where it is positive.
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

// Charge books the cost of an item that starts: its estimate first, then the
// difference, which may be negative, once it is over.
func (p *Picker) Charge(candidate *Candidate, cost float64) {
	p.groups.charge(candidate.Group, cost, p.parts[candidate.Group])
	p.tenantsOf(candidate.Group).charge(candidate.Tenant, cost, 1)
}

// Forget drops the state of flows that are not behind; call it now and then.
func (p *Picker) Forget() {
	p.groups.forget()
	for group, tenants := range p.tenants {
		tenants.forget()
		if len(tenants.finish) == 0 && p.groups.finish[group] == 0 {
			delete(p.tenants, group)
		}
	}
}
