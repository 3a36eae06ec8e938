package jobclient

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// atOnce is the delay of an attempt without a delay. It is not zero, because the race detector of Go 1.26 crashes
// when goroutines receive from timers that have already expired in virtual time at the same moment.
const atOnce = time.Nanosecond

// storeClient holds the clients of one store.
type storeClient struct {
	rockwindpb.JobStoreService
	limits   rockwindpb.TokenLimitService
	rates    rockwindpb.RequestRateService
	moves    rockwindpb.JobMoveService
	replicas rockwindpb.ReplicaService
}

// storeCall makes a call at one store.
type storeCall[T any] func(context.Context, storeClient) (T, error)

// shardSelector returns the shard that a call is for, given a directory with a store cluster.
type shardSelector func(view *directory.View) uint32

// attemptResult is the result of an attempt at one store.
type attemptResult[T any] struct {
	shard   uint32
	address string
	value   T
	err     error
	// sent reports whether the request may have reached the store.
	sent bool
}

// pendingAttempt is an attempt in progress.
type pendingAttempt struct {
	shard     uint32
	startedAt time.Time
}

// callRun is the state of one call. It belongs to the goroutine that makes the call.
type callRun[T any] struct {
	client      *Client
	cancel      context.CancelFunc
	selectShard shardSelector
	wait        time.Duration
	call        storeCall[T]
	// deadline is when the call ends without a result. It moves with each response of a store.
	deadline callDeadline
	// pending holds the attempts in progress by store, and notLeaders the stores that reported in
	// this round that they do not lead. A round asks each store once. The first round has no
	// delays; in later rounds stores are asked one at a time with a delay, so that the number of
	// stores does not increase the load while they elect a leader.
	pending    map[string]pendingAttempt
	notLeaders map[string]bool
	laterRound bool
	results    chan attemptResult[T]
	// unreached holds the stores to which there was no connection, in calls for regional shards.
	unreached map[string]bool
	// mayHaveRun is set once a failed attempt may have taken effect.
	mayHaveRun bool
}

// call makes a call at the leader of a shard until it has a result, its deadline passes or the
// context ends. If a store does not answer soon, another store is asked concurrently.
func call[T any](ctx context.Context, client *Client, selectShard shardSelector, wait time.Duration, attempt storeCall[T]) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &callRun[T]{
		client: client, cancel: cancel, selectShard: selectShard, wait: wait, call: attempt, deadline: newCallDeadline(time.Now(), wait),
		pending: make(map[string]pendingAttempt), notLeaders: make(map[string]bool), unreached: make(map[string]bool), results: make(chan attemptResult[T], maxConcurrentAttempts),
	}
	return c.run(ctx)
}

func (c *callRun[T]) run(ctx context.Context) (T, error) {
	var nothing T
	nextAttempt := time.NewTimer(atOnce)
	defer nextAttempt.Stop()
	deadline := time.NewTimer(time.Until(c.deadline.at()))
	defer deadline.Stop()
	shuttingDown := c.client.shuttingDown
	for {
		select {
		case <-ctx.Done():
			return nothing, c.giveUp()
		case <-deadline.C:
			return nothing, c.giveUp()
		case <-shuttingDown:
			shuttingDown = nil
			c.deadline.beginShutdown(time.Now())
			deadline.Reset(time.Until(c.deadline.at()))
		case <-nextAttempt.C:
			if down, err := c.regionDown(); down {
				return nothing, err
			}
			if c.startAttempt(ctx) {
				nextAttempt.Reset(hedgeAfter + c.wait)
			} else {
				c.beginRound()
				nextAttempt.Reset(c.deadline.retryDelay(time.Now()))
			}
		case result := <-c.results:
			delete(c.pending, result.address)
			if result.err == nil {
				c.client.setLeader(result.shard, result.address)
				return result.value, nil
			}
			failure := fault.From(result.err)
			if failure.Kind == fault.LimitReached && (c.mayHaveRun || len(c.pending) > 0) {
				// Another attempt may have taken effect or may still do so, so the call must not
				// be reported as refused.
				return nothing, c.client.unansweredError(true)
			}
			if isFinal(failure.Kind) {
				return nothing, failure
			}
			c.mayHaveRun = c.mayHaveRun || (failure.Ran != fault.NotRun && c.maybeSent(result.sent))
			c.unreached[result.address] = !c.maybeSent(result.sent)
			c.client.recordFailure(result.shard, result.address, failure)
			if reachedStore(failure) {
				c.deadline.recordResponse(time.Now())
				deadline.Reset(time.Until(c.deadline.at()))
			}
			nextAttempt.Reset(max(atOnce, c.delayAfter(result.address, failure)))
		}
	}
}

// delayAfter returns the delay before the next attempt. There is none after a store that does not
// lead if it names a leader that was not asked in this round, or in the first round.
func (c *callRun[T]) delayAfter(address string, failure *fault.Fault) time.Duration {
	if failure.Kind != fault.NotLeader {
		return c.deadline.retryDelay(time.Now())
	}
	c.notLeaders[address] = true
	hasNewLeader := failure.Leader != "" && !c.excluded(failure.Leader)
	if hasNewLeader || !c.laterRound {
		return 0
	}
	return c.deadline.retryDelay(time.Now())
}

// excluded reports whether a store must not be asked now, because an attempt is in progress or it
// reported in this round that it does not lead. Other stores may name an unresponsive store as the
// leader for some time.
func (c *callRun[T]) excluded(address string) bool {
	_, pending := c.pending[address]
	return pending || c.notLeaders[address] || c.unreached[address]
}

// beginRound allows all stores to be asked again. While attempts are in progress, stores to which
// there was no connection stay excluded, so that regionDown can be decided.
func (c *callRun[T]) beginRound() {
	clear(c.notLeaders)
	c.laterRound = true
	if len(c.pending) == 0 {
		clear(c.unreached)
	}
}

// reachedStore reports whether a failure proves that a store was reached. An unreachable store
// results in Unavailable without a statement on whether the request ran. Some responses of stores
// look the same and do not extend the call.
func reachedStore(failure *fault.Fault) bool {
	return failure.Kind != fault.Unavailable || failure.Ran != fault.RanNotApplicable
}

// giveUp ends the call and returns the error for its caller.
func (c *callRun[T]) giveUp() error {
	c.recordUnresponsive(time.Now())
	return c.client.unansweredError(c.mayHaveRun || c.pendingMayRun())
}

// recordUnresponsive records a failure of each store that has not answered in time. The caller's
// context may end before the timeout of the attempt.
func (c *callRun[T]) recordUnresponsive(now time.Time) {
	for address, each := range c.pending {
		if now.Sub(each.startedAt) >= c.wait+unresponsiveAfter {
			c.client.recordFailure(each.shard, address, fault.New(fault.Unavailable, "the store did not answer in time", "ask another store"))
		}
	}
}

// startAttempt starts an attempt at one more store, and reports whether there was one to ask.
func (c *callRun[T]) startAttempt(ctx context.Context) bool {
	if len(c.pending) >= maxConcurrentAttempts {
		return false
	}
	shard, address, known := c.client.selectStore(c.selectShard, c.excluded)
	if !known {
		return false
	}
	c.pending[address] = pendingAttempt{shard: shard, startedAt: time.Now()}
	go func() {
		// sent is set once there is a connection to the store.
		var sent atomic.Bool
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout+c.wait)
		defer cancel()
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
		value, err := c.call(ctx, c.client.store(address))
		c.results <- attemptResult[T]{shard: shard, address: address, value: value, err: err, sent: sent.Load()}
	}()
	return true
}
