package quota_test

import (
	"fmt"
	"maps"
	"slices"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/quota"
)

const (
	shardCount      = 2
	nodesPerShard   = 2
	tokenLimit      = 3
	testRoute       = "route"
	maximumSize     = 2
	maximumInFlight = 4
)

// node is one replica of a shard with its in-memory state.
type node struct {
	intake *quota.Intake
	// term is the term in which the node believes to lead; zero if it does not.
	term uint64
}

// shard is the actual state of one shard.
type shard struct {
	nodes     [nodesPerShard]*node
	leader    int
	term      uint64
	committed map[string]uint64
	proposed  []*call
}

// prove reports whether a node can prove that it leads in a term. Uncommitted proposals of earlier
// terms can no longer be committed then.
func (s *shard) prove(place int, term uint64) bool {
	if s.leader != place || s.term != term {
		return false
	}
	s.proposed = slices.DeleteFunc(s.proposed, func(c *call) bool { return c.term < term })
	return true
}

// apply commits a job once.
func (s *shard) apply(c *call) {
	if _, taken := s.committed[c.job]; !taken {
		s.committed[c.job] = c.tokens
	}
}

// owner is a current or former owner of the route.
type owner struct {
	term    uint64
	counter *quota.Counter
}

// call is the submission of a job in progress.
type call struct {
	job    string
	tokens uint64
	shard  uint32
	place  int
	term   uint64
	ticket quota.Ticket
	// owner is the owner that decides on the call, which proved its leadership after the call was
	// sent; nil before.
	owner    *owner
	answered bool
	decision quota.Decision
	proposed bool
	ended    bool
}

// question is the poll of one shard in progress.
type question struct {
	owner   *owner
	poll    quota.Poll
	shard   uint32
	place   int
	term    uint64
	pending *quota.Pending
	report  *quota.Report
	done    bool
}

// model runs the protocol with messages that are delayed or lost and changes of leaders at any
// moment.
type model struct {
	shards    [shardCount]*shard
	owners    []*owner
	calls     []*call
	questions []*question
	jobs      int
}

func newModel() *model {
	m := &model{owners: []*owner{{term: 1, counter: quota.NewCounter(shardCount)}}}
	for i := range m.shards {
		s := &shard{term: 1, committed: make(map[string]uint64)}
		for n := range s.nodes {
			s.nodes[n] = &node{intake: quota.NewIntake()}
		}
		s.nodes[0].term = 1
		m.shards[i] = s
	}
	return m
}

func (m *model) current() *owner { return m.owners[len(m.owners)-1] }

// check checks that accepted tokens never exceed the limit.
func (m *model) check(t *rapid.T) {
	sum := uint64(0)
	for _, s := range m.shards {
		for _, tokens := range s.committed {
			sum += tokens
		}
	}
	if sum > tokenLimit {
		t.Fatalf("%d tokens are accepted, the limit is %d", sum, tokenLimit)
	}
}

// submit submits a new job or repeats one.
func (m *model) submit(t *rapid.T) {
	if m.inFlight() >= maximumInFlight {
		return
	}
	job := rapid.IntRange(0, m.jobs).Draw(t, "job")
	if job == m.jobs {
		m.jobs++
	}
	tokens := uint64(1 + job%maximumSize)
	name := fmt.Sprint(job)
	place := uint32(job % shardCount)
	s := m.shards[place]
	leader := s.nodes[s.leader]
	if _, taken := s.committed[name]; taken || leader.term != s.term {
		return
	}
	ticket := leader.intake.Begin(testRoute, name, tokens)
	m.calls = append(m.calls, &call{job: name, tokens: tokens, shard: place, place: s.leader, term: s.term, ticket: ticket})
}

func (m *model) inFlight() int {
	return len(slices.DeleteFunc(slices.Clone(m.calls), func(c *call) bool { return c.ended }))
}

func (c *call) intake(m *model) *quota.Intake { return m.shards[c.shard].nodes[c.place].intake }

// advance advances one call by a step.
func (m *model) advance(t *rapid.T) {
	c, found := drawOf(t, m.calls, func(c *call) bool { return !c.ended })
	if !found {
		return
	}
	switch {
	case c.owner == nil:
		c.owner = m.current()
	case !c.answered:
		c.decision = c.owner.counter.Reserve(quota.NewRequest(c.job, c.shard, c.tokens), tokenLimit)
		c.answered = true
	case !c.proposed:
		m.propose(c)
	}
}

func (m *model) propose(c *call) {
	s := m.shards[c.shard]
	if c.decision != quota.Granted || !c.intake(m).Accept(c.ticket, c.owner.term) || s.nodes[c.place].term != c.term {
		c.intake(m).End(c.ticket)
		c.ended = true
		return
	}
	c.proposed = true
	s.proposed = append(s.proposed, c)
}

// commit commits a proposal of the current leader, whether its caller still waits or not.
func (m *model) commit(t *rapid.T) {
	s := m.shards[rapid.IntRange(0, shardCount-1).Draw(t, "shard")]
	if !s.prove(s.leader, s.term) || len(s.proposed) == 0 {
		return
	}
	c := s.proposed[0]
	s.proposed = slices.DeleteFunc(s.proposed, func(other *call) bool { return other == c })
	s.apply(c)
	c.intake(m).End(c.ticket)
	c.ended = true
}

// rarely reports whether a rare event happens now.
func rarely(t *rapid.T) bool { return rapid.IntRange(0, 5).Draw(t, "rarely") == 0 }

// giveUp ends the wait of a caller.
func (m *model) giveUp(t *rapid.T) {
	if !rarely(t) {
		return
	}
	c, found := drawOf(t, m.calls, func(c *call) bool { return !c.ended })
	if !found {
		return
	}
	c.ended = true
	if c.proposed {
		c.intake(m).MarkUncertain(c.ticket, c.term)
		return
	}
	c.intake(m).End(c.ticket)
}

// finish completes the items of a job.
func (m *model) finish(t *rapid.T) {
	if !rarely(t) {
		return
	}
	s := m.shards[rapid.IntRange(0, shardCount-1).Draw(t, "shard")]
	if len(s.committed) == 0 {
		return
	}
	jobs := slices.Sorted(maps.Keys(s.committed))
	s.committed[rapid.SampledFrom(jobs).Draw(t, "finished")] = 0
}

// elect elects a leader of a shard. Earlier proposals are either committed with the election or
// never.
func (m *model) elect(t *rapid.T) {
	if !rarely(t) {
		return
	}
	s := m.shards[rapid.IntRange(0, shardCount-1).Draw(t, "shard")]
	s.term++
	s.leader = rapid.IntRange(0, nodesPerShard-1).Draw(t, "leader")
	for _, c := range s.proposed {
		if rapid.Bool().Draw(t, "survives") {
			s.apply(c)
		}
	}
	s.proposed = nil
	s.nodes[s.leader].term = s.term
}

// notice lets a former leader learn that it no longer leads.
func (m *model) notice(t *rapid.T) {
	s := m.shards[rapid.IntRange(0, shardCount-1).Draw(t, "shard")]
	place := rapid.IntRange(0, nodesPerShard-1).Draw(t, "node")
	if s.leader != place || s.term != s.nodes[place].term {
		s.nodes[place].term = 0
	}
}

func (m *model) replaceOwner(t *rapid.T) {
	if !rarely(t) {
		return
	}
	m.owners = append(m.owners, &owner{term: m.current().term + 1, counter: quota.NewCounter(shardCount)})
}

// poll starts a poll by an owner, which may be a former one.
func (m *model) poll(t *rapid.T) {
	owner := m.current()
	if rarely(t) {
		owner = rapid.SampledFrom(m.owners).Draw(t, "owner")
	}
	round := owner.counter.BeginPoll(0)
	for place := range m.shards {
		m.questions = append(m.questions, &question{owner: owner, poll: round, shard: uint32(place)})
	}
}

// report advances one question by a step.
func (m *model) report(t *rapid.T) {
	q, found := drawOf(t, m.questions, func(q *question) bool { return !q.done })
	if !found {
		return
	}
	s := m.shards[q.shard]
	switch {
	case q.pending == nil:
		q.place = s.leader
		if rarely(t) {
			q.place = rapid.IntRange(0, nodesPerShard-1).Draw(t, "asked")
		}
		asked := s.nodes[q.place]
		q.term = asked.term
		if asked.term == 0 || !asked.intake.Fence(testRoute, q.owner.term) {
			q.done = true
			return
		}
		pending := asked.intake.Pending(testRoute, asked.term)
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
		q.owner.counter.RecordReport(q.poll, q.shard, *q.report, 0)
		q.done = true
	}
}

// drawOf draws one of the wanted elements.
func drawOf[T any](t *rapid.T, from []T, wanted func(T) bool) (drawn T, found bool) {
	left := slices.DeleteFunc(slices.Clone(from), func(each T) bool { return !wanted(each) })
	if len(left) == 0 {
		return drawn, false
	}
	return rapid.SampledFrom(left).Draw(t, "one"), true
}
