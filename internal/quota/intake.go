package quota

// Ticket identifies a request that the leader of a shard is processing.
type Ticket struct{ number uint64 }

// intakeJob is a job that has been requested and is not known to be in the log.
type intakeJob struct {
	route  string
	job    string
	tokens uint64
	// granted is whether a grant of the owner was accepted.
	granted bool
	// uncertainTerm is the shard's term in which the job was proposed with unknown outcome; zero
	// while its caller still waits.
	uncertainTerm uint64
}

// Intake holds the jobs of one shard that have been requested and are not known to be in the log,
// and the owners whose grants the shard still accepts. It is not safe for concurrent use.
type Intake struct {
	lastTicket uint64
	jobs       map[Ticket]*intakeJob
	// fences holds, by route, the term of the newest owner that got a report.
	fences map[string]uint64
}

func NewIntake() *Intake {
	return &Intake{jobs: make(map[Ticket]*intakeJob), fences: make(map[string]uint64)}
}

// Begin records a job whose tokens are about to be requested from the owner.
func (i *Intake) Begin(route, job string, tokens uint64) Ticket {
	i.lastTicket++
	ticket := Ticket{number: i.lastTicket}
	i.jobs[ticket] = &intakeJob{route: route, job: job, tokens: tokens}
	return ticket
}

// Accept accepts the grant of an owner in a term. It returns false if the shard has reported to a
// later owner; the tokens must then be requested again.
func (i *Intake) Accept(ticket Ticket, ownerTerm uint64) bool {
	found := i.jobs[ticket]
	if found == nil || ownerTerm < i.fences[found.route] {
		return false
	}
	found.granted = true
	return true
}

// End removes a job that is in the log or can never be.
func (i *Intake) End(ticket Ticket) { delete(i.jobs, ticket) }

// MarkUncertain keeps a job that was proposed in a term of the shard and may still be committed. It
// counts until the shard has a leader of a later term.
func (i *Intake) MarkUncertain(ticket Ticket, shardTerm uint64) {
	if found := i.jobs[ticket]; found != nil {
		found.uncertainTerm = shardTerm
	}
}

// Fence starts a report to an owner: grants of earlier owners are refused from now on. It returns
// false if the shard has reported to a later owner.
func (i *Intake) Fence(route string, ownerTerm uint64) bool {
	if ownerTerm < i.fences[route] {
		return false
	}
	i.fences[route] = ownerTerm
	return true
}

// Pending is the part of a report that covers the jobs in an Intake.
type Pending struct {
	granted map[string]uint64
	pending []string
}

// Pending returns the jobs of a route, given the current term of the shard's leader. The state of
// the shard must be read after this call: a job that is in neither of them was not accepted.
func (i *Intake) Pending(route string, shardTerm uint64) Pending {
	found := Pending{granted: make(map[string]uint64)}
	for ticket, each := range i.jobs {
		switch {
		case each.uncertainTerm != 0 && each.uncertainTerm < shardTerm:
			// The state applied by the leader of the later term shows the outcome.
			delete(i.jobs, ticket)
		case each.route != route:
		case each.granted:
			found.granted[each.job] = max(found.granted[each.job], each.tokens)
		default:
			found.pending = append(found.pending, each.job)
		}
	}
	return found
}

// Report returns the report of a shard. accepted is the number of waiting tokens in the state of
// the shard, and has reports whether the state contains a job.
func (p Pending) Report(accepted uint64, has func(job string) bool) Report {
	waiting := accepted
	for job, tokens := range p.granted {
		if !has(job) {
			waiting += tokens
		}
	}
	return NewReport(waiting, p.pending)
}
