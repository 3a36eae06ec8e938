package quota_test

import (
	"fmt"
	"maps"
	"slices"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/quota"
)

const (
	worldShards  = 2
	worldNodes   = 2
	worldLimit   = 3
	worldRoute   = "route"
	maximumSize  = 2
	maximumInAir = 4
)

// node is one replica of a shard with what it holds in memory.
type node struct {
	intake *quota.Intake
	// term is that in which it believes to lead; zero where it doesn't.
	term uint64
}

// shard is the truth about one shard: who leads it, and what is committed.
type shard struct {
	nodes     [worldNodes]*node
	leader    int
	term      uint64
	committed map[string]uint64
	proposed  []*call
}

// prove tells whether a node proves now that it leads in a term. What was proposed in
// earlier terms and is not committed by then never will be.
func (s *shard) prove(place int, term uint64) bool {
	if s.leader != place || s.term != term {
		return false
	}
	s.proposed = slices.DeleteFunc(s.proposed, func(c *call) bool { return c.term < term })
	return true
}

// apply takes a job once.
func (s *shard) apply(c *call) {
	if _, taken := s.committed[c.job]; !taken {
		s.committed[c.job] = c.tokens
	}
}

// owner is a process that counts, or did.
type owner struct {
	term  uint64
	count *quota.Counter
}

// call is a submission on its way.
type call struct {
	job    string
	tokens uint64
	shard  uint32
	place  int
	term   uint64
	ticket quota.Ticket
	// by has proved that it leads after the call was sent; nil before.
	by       *owner
	answered bool
	decision quota.Decision
	proposed bool
	ended    bool
}

// question is a poll of one shard on its way.
type question struct {
	by      *owner
	poll    quota.Poll
	shard   uint32
	place   int
	term    uint64
	pending *quota.Pending
	report  *quota.Report
	done    bool
}

// world plays the protocol with messages that take any time and get lost, and leaders
// that change at any moment.
type world struct {
	shards    [worldShards]*shard
	owners    []*owner
	calls     []*call
	questions []*question
	jobs      int
}

func newWorld() *world {
	w := &world{owners: []*owner{{term: 1, count: quota.NewCounter(worldShards)}}}
	for i := range w.shards {
		s := &shard{term: 1, committed: make(map[string]uint64)}
		for n := range s.nodes {
			s.nodes[n] = &node{intake: quota.NewIntake()}
		}
		s.nodes[0].term = 1
		w.shards[i] = s
	}
	return w
}

func (w *world) current() *owner { return w.owners[len(w.owners)-1] }

// check is the promise: what is accepted never exceeds the limit.
func (w *world) check(t *rapid.T) {
	sum := uint64(0)
	for _, s := range w.shards {
		for _, tokens := range s.committed {
			sum += tokens
		}
	}
	if sum > worldLimit {
		t.Fatalf("%d tokens wait, the limit is %d", sum, worldLimit)
	}
}

// submit lets a client send a new job, or one again.
func (w *world) submit(t *rapid.T) {
	if w.inAir() >= maximumInAir {
		return
	}
	job := rapid.IntRange(0, w.jobs).Draw(t, "job")
	if job == w.jobs {
		w.jobs++
	}
	tokens := uint64(1 + job%maximumSize)
	name := fmt.Sprint(job)
	place := uint32(job % worldShards)
	s := w.shards[place]
	leader := s.nodes[s.leader]
	if _, taken := s.committed[name]; taken || leader.term != s.term {
		return
	}
	ticket := leader.intake.Begin(worldRoute, name, tokens)
	w.calls = append(w.calls, &call{job: name, tokens: tokens, shard: place, place: s.leader, term: s.term, ticket: ticket})
}

func (w *world) inAir() int {
	return len(slices.DeleteFunc(slices.Clone(w.calls), func(c *call) bool { return c.ended }))
}

func (c *call) intake(w *world) *quota.Intake { return w.shards[c.shard].nodes[c.place].intake }

// advance moves one call a step.
func (w *world) advance(t *rapid.T) {
	c, found := drawOf(t, w.calls, func(c *call) bool { return !c.ended })
	if !found {
		return
	}
	switch {
	case c.by == nil:
		c.by = w.current()
	case !c.answered:
		c.decision = c.by.count.Reserve(quota.NewRequest(c.job, c.shard, c.tokens), worldLimit)
		c.answered = true
	case !c.proposed:
		w.propose(c)
	}
}

func (w *world) propose(c *call) {
	s := w.shards[c.shard]
	if c.decision != quota.Granted || !c.intake(w).Accept(c.ticket, c.by.term) || s.nodes[c.place].term != c.term {
		c.intake(w).End(c.ticket)
		c.ended = true
		return
	}
	c.proposed = true
	s.proposed = append(s.proposed, c)
}

// commit ends a proposal of the leader in force, whether its caller still waits or not.
func (w *world) commit(t *rapid.T) {
	s := w.shards[rapid.IntRange(0, worldShards-1).Draw(t, "shard")]
	if !s.prove(s.leader, s.term) || len(s.proposed) == 0 {
		return
	}
	c := s.proposed[0]
	s.proposed = slices.DeleteFunc(s.proposed, func(other *call) bool { return other == c })
	s.apply(c)
	c.intake(w).End(c.ticket)
	c.ended = true
}

// rarely tells whether something that is rare happens now.
func rarely(t *rapid.T) bool { return rapid.IntRange(0, 5).Draw(t, "rarely") == 0 }

// giveUp ends the wait of a caller of the shard's leader.
func (w *world) giveUp(t *rapid.T) {
	if !rarely(t) {
		return
	}
	c, found := drawOf(t, w.calls, func(c *call) bool { return !c.ended })
	if !found {
		return
	}
	c.ended = true
	if c.proposed {
		c.intake(w).MarkUncertain(c.ticket, c.term)
		return
	}
	c.intake(w).End(c.ticket)
}

// finish ends the items of a job.
func (w *world) finish(t *rapid.T) {
	if !rarely(t) {
		return
	}
	s := w.shards[rapid.IntRange(0, worldShards-1).Draw(t, "shard")]
	if len(s.committed) == 0 {
		return
	}
	jobs := slices.Sorted(maps.Keys(s.committed))
	s.committed[rapid.SampledFrom(jobs).Draw(t, "finished")] = 0
}

// elect gives a shard another leader. What was proposed before is committed with it, or
// never.
func (w *world) elect(t *rapid.T) {
	if !rarely(t) {
		return
	}
	s := w.shards[rapid.IntRange(0, worldShards-1).Draw(t, "shard")]
	s.term++
	s.leader = rapid.IntRange(0, worldNodes-1).Draw(t, "leader")
	for _, c := range s.proposed {
		if rapid.Bool().Draw(t, "survives") {
			s.apply(c)
		}
	}
	s.proposed = nil
	s.nodes[s.leader].term = s.term
}

// notice lets a node learn that it leads no more.
func (w *world) notice(t *rapid.T) {
	s := w.shards[rapid.IntRange(0, worldShards-1).Draw(t, "shard")]
	place := rapid.IntRange(0, worldNodes-1).Draw(t, "node")
	if s.leader != place || s.term != s.nodes[place].term {
		s.nodes[place].term = 0
	}
}

func (w *world) replaceOwner(t *rapid.T) {
	if !rarely(t) {
		return
	}
	w.owners = append(w.owners, &owner{term: w.current().term + 1, count: quota.NewCounter(worldShards)})
}

// poll begins a round at an owner, which need not be in force.
func (w *world) poll(t *rapid.T) {
	by := w.current()
	if rarely(t) {
		by = rapid.SampledFrom(w.owners).Draw(t, "owner")
	}
	round := by.count.BeginPoll(0)
	for place := range w.shards {
		w.questions = append(w.questions, &question{by: by, poll: round, shard: uint32(place)})
	}
}

// report moves one question a step.
func (w *world) report(t *rapid.T) {
	q, found := drawOf(t, w.questions, func(q *question) bool { return !q.done })
	if !found {
		return
	}
	s := w.shards[q.shard]
	switch {
	case q.pending == nil:
		q.place = s.leader
		if rarely(t) {
			q.place = rapid.IntRange(0, worldNodes-1).Draw(t, "asked")
		}
		asked := s.nodes[q.place]
		q.term = asked.term
		if asked.term == 0 || !asked.intake.Fence(worldRoute, q.by.term) {
			q.done = true
			return
		}
		pending := asked.intake.Pending(worldRoute, asked.term)
		q.pending = &pending
	case q.report == nil:
		if !s.prove(q.place, q.term) {
			q.done = true
			return
		}
		accepted := uint64(0)
		for _, tokens := range s.committed {
			accepted += tokens
		}
		report := q.pending.Report(accepted, func(job string) bool { _, has := s.committed[job]; return has })
		q.report = &report
	default:
		q.by.count.RecordReport(q.poll, q.shard, *q.report, 0)
		q.done = true
	}
}

// drawOf draws one of those that are wanted.
func drawOf[T any](t *rapid.T, from []T, wanted func(T) bool) (drawn T, found bool) {
	left := slices.DeleteFunc(slices.Clone(from), func(each T) bool { return !wanted(each) })
	if len(left) == 0 {
		return drawn, false
	}
	return rapid.SampledFrom(left).Draw(t, "one"), true
}
