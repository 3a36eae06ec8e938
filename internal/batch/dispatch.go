package batch

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/google/uuid"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/serverview"
	"rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/upstream"
)

// Bounds of items.
const (
	// connectTimeout bounds a connection attempt.
	connectTimeout = time.Second
	// answerTimeout bounds the time to the whole answer of an item, pauses
	// included.
	answerTimeout = 15 * time.Minute
	// bytesPerToken estimates the length of a prompt.
	bytesPerToken = 4
	// notRunPause holds a lease back after one of its items was refused.
	notRunPause = 100 * time.Millisecond
	// lossPause is how long a server that lost an item gets none on its last try.
	lossPause = time.Second
	// notRunTries is how often an item is tried here without running before it
	// is returned to the job.
	notRunTries = 20
)

// run is one item in flight.
type run struct {
	lease   *lease
	item    uint32
	line    InputLine
	id      string
	target  upstream.Target
	prompt  int
	cancel  context.CancelFunc
	started time.Time
	// paused is set while the item gave its place up at the engine.
	paused bool
	// abandoned is set once the lease is over: nothing is reported.
	abandoned bool
	// estimate is the cost that the picker was charged.
	estimate float64

	// place sends the orders to pause the item at its engine and to put it back.
	place place
	// putBack is when the item was last put back; zero where it never was.
	putBack time.Time

	result upstream.Result
	report upstream.Report
	status int
	body   []byte
}

// dispatch starts items while there are items and places.
func (e *Executor) dispatch(ctx context.Context) {
	if e.draining {
		return
	}
	candidates, leases := e.candidates()
	for len(candidates) > 0 && len(e.running) < e.options.Concurrency {
		index, ok := e.picker.Pick(candidates, e.now())
		if !ok {
			return
		}
		held := leases[index]
		if !e.startNext(ctx, held, &candidates[index]) || !e.hasMore(held) {
			candidates = append(candidates[:index], candidates[index+1:]...)
			leases = append(leases[:index], leases[index+1:]...)
		}
	}
}

// candidates lists the leases with items that are ready.
func (e *Executor) candidates() ([]sharing.Candidate, []*lease) {
	var candidates []sharing.Candidate
	var leases []*lease
	now := time.Now()
	for _, held := range e.leases {
		if !held.ready(now) && !e.hasPaused(held) {
			continue
		}
		candidates = append(candidates, e.candidate(held, now))
		leases = append(leases, held)
	}
	return candidates, leases
}

func (e *Executor) candidate(held *lease, now time.Time) sharing.Candidate {
	job := held.job
	deadline := time.UnixMilli(job.GetDeadlineUnixMs()).Sub(now) + e.now()
	elapsed := max(now.Sub(time.UnixMilli(job.GetAcceptedUnixMs())).Seconds(), 1)
	ended := job.GetCompleted() + job.GetFailed()
	return sharing.Candidate{
		Group: job.GetGroup(), Tenant: job.GetTenant(), Job: job.GetId(), ClassWeight: held.weight,
		Deadline: deadline, Remaining: int(job.GetItemCount() - ended), Rate: float64(ended) / elapsed,
	}
}

// hasMore tells whether a lease has items that wait to start or to go on.
func (e *Executor) hasMore(held *lease) bool {
	return len(held.pending) > 0 || e.hasPaused(held)
}

// startNext lets a paused item of the lease's group go on or starts the first
// waiting item of the lease; false means that no server takes one now.
func (e *Executor) startNext(ctx context.Context, held *lease, candidate *sharing.Candidate) bool {
	if e.resumePaused(ctx, held.job.GetGroup()) {
		return true
	}
	return held.ready(time.Now()) && e.startPending(ctx, held, candidate)
}

// startPending starts the first waiting item of a lease; false means that no
// server takes it now.
func (e *Executor) startPending(ctx context.Context, held *lease, candidate *sharing.Candidate) bool {
	item := held.pending[0]
	line, err := parseLine(held.lines[item])
	if err != nil {
		held.pending = held.pending[1:]
		e.fail(held, item, line.CustomID, err)
		return true
	}
	wanted := held.wanted
	wanted.PromptTokens = len(line.Body) / bytesPerToken
	choice, ok := e.options.View.StartBatch(wanted, e.serversToAvoid(held, item, time.Now()))
	if !ok {
		return false
	}
	held.pending = held.pending[1:]
	current := &run{
		lease: held, item: item, line: line, id: uuid.NewString(), target: choice.Target,
		prompt: wanted.PromptTokens, started: time.Now(), estimate: e.costs.mean(held.job.GetGroup()),
	}
	running, cancel := context.WithCancel(ctx)
	current.cancel = cancel
	held.running[item] = current
	e.running[current] = struct{}{}
	e.picker.Charge(candidate, current.estimate)
	go e.execute(running, current, choice)
	return true
}

// serversToAvoid names the servers that must not get an item now. An item that was
// lost before may be what brings servers down, so one on its last try never runs
// beside another that was lost, nor where one was lost a moment ago.
func (e *Executor) serversToAvoid(held *lease, item uint32, now time.Time) []string {
	if !held.lost[item] {
		return nil
	}
	last := held.lastTry[item]
	var avoided []string
	for current := range e.running {
		other := current.lease
		if other.lastTry[current.item] || last && other.lost[current.item] {
			avoided = append(avoided, current.target.Name)
		}
	}
	for name, at := range e.lostAt {
		if last && now.Sub(at) < lossPause {
			avoided = append(avoided, name)
		}
	}
	return avoided
}

// noteLoss remembers when a server lost an item, and forgets what is long ago.
func (e *Executor) noteLoss(server string, now time.Time) {
	maps.DeleteFunc(e.lostAt, func(_ string, at time.Time) bool { return now.Sub(at) >= lossPause })
	e.lostAt[server] = now
}

// parseLine reads one line of the input.
func parseLine(line []byte) (InputLine, error) {
	var parsed InputLine
	if line == nil {
		return parsed, errors.New("the input has no line for the item")
	}
	err := json.Unmarshal(line, &parsed)
	return parsed, err
}

// oneTarget is the chooser of an item whose server was chosen already.
type oneTarget struct {
	run  *run
	used bool
}

// Choose implements upstream.Chooser.
func (c *oneTarget) Choose(context.Context, []string) (upstream.Target, error) {
	if c.used {
		return upstream.Target{}, fault.New(fault.Unavailable, "the item has had its attempt", "start it again")
	}
	c.used = true
	return c.run.target, nil
}

// Ended implements upstream.Chooser.
func (c *oneTarget) Ended(_ upstream.Target, report upstream.Report) {
	c.run.report = report
}

// Begin implements upstream.Sink.
func (c *run) Begin(status int, _ http.Header, _ int64) error {
	c.status = status
	return nil
}

// Write implements upstream.Sink.
func (c *run) Write(p []byte) error {
	c.body = append(c.body, p...)
	return nil
}

// execute runs one item to its end, outside the owner goroutine.
func (e *Executor) execute(ctx context.Context, current *run, choice serverview.BatchChoice) {
	request := &upstream.Request{
		ID: current.id, Kind: upstream.Engine, Method: http.MethodPost, Path: current.line.URL, Body: current.line.Body,
		Priority: upstream.PriorityBatch, BatchTokenBudget: choice.TokensPerStep, Repeatable: true,
		Timeouts: upstream.Timeouts{Connect: connectTimeout, FirstByte: answerTimeout},
	}
	current.result = e.options.Relay.Run(ctx, request, &oneTarget{run: current}, current)
	current.cancel()
	e.finished <- current
}

// itemEnded takes the end of an item.
func (e *Executor) itemEnded(current *run) {
	held := current.lease
	delete(e.running, current)
	delete(held.running, current.item)
	e.forgetPaused(current)
	e.options.View.EndBatch(current.target, current.report, current.paused, current.prompt)
	e.account(current)
	if current.abandoned {
		return
	}
	switch {
	case current.result.Complete:
		e.answered(current)
	case current.result.Fault != nil && current.result.Fault.Ran == fault.NotRun, current.result.Stopped:
		e.notRun(current)
	default:
		e.noteLoss(current.target.Name, time.Now())
		e.reportOutcome(held, current.item, rockwindpb.ItemOutcome_ITEM_OUTCOME_RETRY, nil)
	}
	e.releaseIfDone(held)
}

// account books what the item cost.
func (e *Executor) account(current *run) {
	job := current.lease.job
	cost := 0.0
	if current.result.Complete {
		cost = sharing.Cost(current.prompt, 0, int(current.result.Tokens))
		e.costs.add(job.GetGroup(), cost)
		e.rate.add(time.Now())
	}
	candidate := e.candidate(current.lease, time.Now())
	e.picker.Charge(&candidate, cost-current.estimate)
	e.options.OnServed(job.GetGroup(), job.GetModel(), cost)
}

// answered reports the answer of an item: an answer with an error status ends
// the item as failed.
func (e *Executor) answered(current *run) {
	outcome := rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED
	if current.status != http.StatusOK {
		outcome = rockwindpb.ItemOutcome_ITEM_OUTCOME_FAILED
	}
	line, err := EncodeResponse(current.lease.key.job, current.item, current.line.CustomID, current.status, current.id, current.body)
	if err != nil {
		e.reportOutcome(current.lease, current.item, rockwindpb.ItemOutcome_ITEM_OUTCOME_RETRY, nil)
		return
	}
	e.reportOutcome(current.lease, current.item, outcome, line)
}

// notRun puts an item back that provably did not run or did not finish.
func (e *Executor) notRun(current *run) {
	held := current.lease
	held.notRun[current.item]++
	if e.draining || held.notRun[current.item] >= notRunTries {
		e.reportOutcome(held, current.item, rockwindpb.ItemOutcome_ITEM_OUTCOME_RETURNED, nil)
		return
	}
	held.putBack(current.item)
	held.notBefore = time.Now().Add(notRunPause)
}

// fail ends an item whose line can't be run at all.
func (e *Executor) fail(held *lease, item uint32, customID string, why error) {
	line, err := EncodeError(held.key.job, item, customID,
		fault.Newf(fault.InvalidArgument, "correct the line of the input file", "the request line can't be read: %v", why))
	if err != nil {
		line = nil
	}
	e.reportOutcome(held, item, rockwindpb.ItemOutcome_ITEM_OUTCOME_FAILED, line)
	e.releaseIfDone(held)
}

// reportOutcome hands the end of an item to the reporter.
func (e *Executor) reportOutcome(held *lease, item uint32, outcome rockwindpb.ItemOutcome, body []byte) {
	held.unacknowledged++
	e.options.OnItemEnd(outcome)
	e.reporter.add(report{key: held.key, item: item, outcome: outcome, body: body})
}

// cancelAll cancels what still runs.
func (e *Executor) cancelAll() {
	for current := range e.running {
		current.cancel()
	}
}
