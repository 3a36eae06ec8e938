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

// Limits for running items.
const (
	// connectTimeout bounds a connection attempt.
	connectTimeout = time.Second
	// answerTimeout bounds the time to the complete response to an item, pauses
	// included.
	answerTimeout = 15 * time.Minute
	// bytesPerToken estimates the tokens of a prompt from its size.
	bytesPerToken = 4
	// notRunPause delays the items of a lease after one of them did not run.
	notRunPause = 100 * time.Millisecond
	// lossPause is how long a server gets no item on its last try after it lost an
	// item.
	lossPause = time.Second
	// maximumNotRunTries bounds the attempts of an item that do not run, before it is
	// returned to the ledger.
	maximumNotRunTries = 20
)

// run is one attempt to run an item. It implements upstream.Sink.
type run struct {
	lease   *lease
	item    uint32
	line    InputLine
	id      string
	target  upstream.Target
	prompt  int
	cancel  context.CancelFunc
	started time.Time
	// paused is set while the item is paused at the engine.
	paused bool
	// abandoned is set once the lease has ended: the result is not reported.
	abandoned bool
	// estimate is the cost that was charged to the picker at the start.
	estimate float64

	// pauseSender sends the commands that pause and resume the item at its engine.
	pauseSender pauseSender
	// resumedAt is when the item was last resumed; zero if never.
	resumedAt time.Time

	result upstream.Result
	report upstream.Report
	status int
	body   []byte
}

// dispatch starts items while there are ready items and free capacity.
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

// candidates lists the leases with items that are ready to start or paused.
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

// hasMore reports whether a lease has pending or paused items.
func (e *Executor) hasMore(held *lease) bool {
	return len(held.pending) > 0 || e.hasPaused(held)
}

// startNext resumes a paused item of the lease's group or starts the first pending
// item of the lease. It returns false if no server accepts one now.
func (e *Executor) startNext(ctx context.Context, held *lease, candidate *sharing.Candidate) bool {
	if e.resumePaused(ctx, held.job.GetGroup()) {
		return true
	}
	return held.ready(time.Now()) && e.startPending(ctx, held, candidate)
}

// startPending starts the first pending item of a lease. It returns false if no
// server accepts it now.
func (e *Executor) startPending(ctx context.Context, held *lease, candidate *sharing.Candidate) bool {
	item := held.pending[0]
	line, err := parseLine(held.lines[item])
	if err != nil {
		held.pending = held.pending[1:]
		e.failInvalidLine(held, item, line.CustomID, err)
		return true
	}
	wanted := held.wanted
	wanted.PromptTokens = len(line.Body) / bytesPerToken
	choice, ok := e.options.View.StartBatch(wanted, e.excludedServers(held, item, time.Now()))
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

// excludedServers lists the servers that must not get an item now. A lost item may
// have crashed its server, so an item on its last try never runs on the same
// server as another lost item, nor on a server that lost an item within lossPause.
func (e *Executor) excludedServers(held *lease, item uint32, now time.Time) []string {
	if !held.lost[item] {
		return nil
	}
	last := held.lastTry[item]
	var excluded []string
	for current := range e.running {
		other := current.lease
		if other.lastTry[current.item] || last && other.lost[current.item] {
			excluded = append(excluded, current.target.Name)
		}
	}
	for name, at := range e.lostAt {
		if last && now.Sub(at) < lossPause {
			excluded = append(excluded, name)
		}
	}
	return excluded
}

// recordLoss records when a server lost an item, and removes expired records.
func (e *Executor) recordLoss(server string, now time.Time) {
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

// fixedChooser is an upstream.Chooser that offers the server already chosen, once.
type fixedChooser struct {
	run  *run
	used bool
}

// Choose implements upstream.Chooser.
func (c *fixedChooser) Choose(context.Context, []string) (upstream.Target, error) {
	if c.used {
		return upstream.Target{}, fault.New(fault.Unavailable, "the item was already attempted", "start it again")
	}
	c.used = true
	return c.run.target, nil
}

// Ended implements upstream.Chooser.
func (c *fixedChooser) Ended(_ upstream.Target, report upstream.Report) {
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

// execute runs one item to completion, outside the owner goroutine.
func (e *Executor) execute(ctx context.Context, current *run, choice serverview.BatchChoice) {
	request := &upstream.Request{
		ID: current.id, Kind: upstream.Engine, Method: http.MethodPost, Path: current.line.URL, Body: current.line.Body,
		Priority: upstream.PriorityBatch, BatchTokenBudget: choice.TokensPerStep, Repeatable: true,
		Timeouts: upstream.Timeouts{Connect: connectTimeout, FirstByte: answerTimeout},
	}
	current.result = e.options.Relay.Run(ctx, request, &fixedChooser{run: current}, current)
	current.cancel()
	e.finished <- current
}

// itemEnded removes a finished run and reports or requeues its item.
func (e *Executor) itemEnded(current *run) {
	held := current.lease
	delete(e.running, current)
	delete(held.running, current.item)
	e.removePaused(current)
	e.options.View.EndBatch(current.target, current.report, current.paused, current.prompt)
	e.recordCost(current)
	if current.abandoned {
		return
	}
	switch {
	case current.result.Complete:
		e.reportResponse(current)
	case current.result.Fault != nil && current.result.Fault.Ran == fault.NotRun, current.result.Stopped:
		e.requeueNotRun(current)
	default:
		e.recordLoss(current.target.Name, time.Now())
		e.reportOutcome(held, current.item, rockwindpb.ItemOutcome_ITEM_OUTCOME_RETRY, nil)
	}
	e.releaseIfDone(held)
}

// recordCost replaces the estimate charged for an item by its actual cost.
func (e *Executor) recordCost(current *run) {
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

// reportResponse reports the response to an item. A status other than 200 ends the
// item as failed.
func (e *Executor) reportResponse(current *run) {
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

// requeueNotRun requeues an item that provably did not run or was stopped. After
// too many attempts, or while draining, it returns the item to the ledger instead.
func (e *Executor) requeueNotRun(current *run) {
	held := current.lease
	held.notRun[current.item]++
	if e.draining || held.notRun[current.item] >= maximumNotRunTries {
		e.reportOutcome(held, current.item, rockwindpb.ItemOutcome_ITEM_OUTCOME_RETURNED, nil)
		return
	}
	held.requeue(current.item)
	held.notBefore = time.Now().Add(notRunPause)
}

// failInvalidLine ends an item as failed because its request line can't be parsed.
func (e *Executor) failInvalidLine(held *lease, item uint32, customID string, why error) {
	line, err := EncodeError(held.key.job, item, customID,
		fault.Newf(fault.InvalidArgument, "correct the line of the input file", "the request line can't be read: %v", why))
	if err != nil {
		line = nil
	}
	e.reportOutcome(held, item, rockwindpb.ItemOutcome_ITEM_OUTCOME_FAILED, line)
	e.releaseIfDone(held)
}

// reportOutcome queues the outcome of an item at the reporter.
func (e *Executor) reportOutcome(held *lease, item uint32, outcome rockwindpb.ItemOutcome, body []byte) {
	held.unacknowledged++
	e.options.OnItemEnd(outcome)
	e.reporter.add(report{key: held.key, item: item, outcome: outcome, body: body})
}

// cancelAll cancels all running items.
func (e *Executor) cancelAll() {
	for current := range e.running {
		current.cancel()
	}
}
