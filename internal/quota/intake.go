package quota

// Ticket names one request that is under way at the leader of a shard.
type Ticket struct{ number uint64 }

// intakeJob is a job between its request and its place in the log.
type intakeJob struct {
	route  string
	job    string
	tokens uint64
	// granted tells that the owner's grant was taken.
	granted bool
	// doubtTerm is the term of the shard in which the job was proposed without a known
	// outcome; zero while its caller still waits.
	doubtTerm uint64
}

// Intake holds the jobs of one shard that are between their request and their place in
// the log, and which owners the shard still heeds. It belongs to one goroutine at a
// time.
type Intake struct {
	last uint64
	jobs map[Ticket]*intakeJob
	// fences holds the term of the newest owner that a report went to, by route.
	fences map[string]uint64
}

// NewIntake returns an empty intake.
func NewIntake() *Intake {
	return &Intake{jobs: make(map[Ticket]*intakeJob), fences: make(map[string]uint64)}
}

// Begin notes that the tokens of a job are about to be asked for.
func (i *Intake) Begin(route, job string, tokens uint64) Ticket {
	i.last++
	ticket := Ticket{number: i.last}
	i.jobs[ticket] = &intakeJob{route: route, job: job, tokens: tokens}
	return ticket
}

// Accept takes the grant of an owner, given the owner's term. It returns false where the
// shard has reported to a later owner: the job has to be asked for again.
func (i *Intake) Accept(ticket Ticket, ownerTerm uint64) bool {
	found := i.jobs[ticket]
	if found == nil || ownerTerm < i.fences[found.route] {
		return false
	}
	found.granted = true
	return true
}

// End forgets a request: the job is in the log, or certain never to be.
func (i *Intake) End(ticket Ticket) { delete(i.jobs, ticket) }

// MarkUncertain keeps a job that was proposed in a term of the shard and may still be committed.
// It counts until the shard has a leader of a later term.
func (i *Intake) MarkUncertain(ticket Ticket, shardTerm uint64) {
	if found := i.jobs[ticket]; found != nil {
		found.doubtTerm = shardTerm
	}
}

// Fence begins a report to an owner: grants of owners before it are taken no more. It
// returns false where the shard has reported to a later one.
func (i *Intake) Fence(route string, ownerTerm uint64) bool {
	if ownerTerm < i.fences[route] {
		return false
	}
	i.fences[route] = ownerTerm
	return true
}

// Pending is the part of a report that is on its way to the log.
type Pending struct {
	granted map[string]uint64
	asking  []string
}

// Pending lists the jobs of a route under way, given the term in which the shard is led
// now. The state of the shard has to be read after it: a job that is in neither was not
// accepted.
func (i *Intake) Pending(route string, shardTerm uint64) Pending {
	found := Pending{granted: make(map[string]uint64)}
	for ticket, each := range i.jobs {
		switch {
		case each.doubtTerm != 0 && each.doubtTerm < shardTerm:
			// What the leader of the later term has applied tells what became of it.
			delete(i.jobs, ticket)
		case each.route != route:
		case each.granted:
			found.granted[each.job] = max(found.granted[each.job], each.tokens)
		default:
			found.asking = append(found.asking, each.job)
		}
	}
	return found
}

// Report makes the report of a shard: accepted is the tokens that wait in its state, and
// has tells whether the state holds a job.
func (p Pending) Report(accepted uint64, has func(job string) bool) Report {
	waiting := accepted
	for job, tokens := range p.granted {
		if !has(job) {
			waiting += tokens
		}
	}
	return NewReport(waiting, p.asking)
}
