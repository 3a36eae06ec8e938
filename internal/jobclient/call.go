package jobclient

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// store is one store as a call meets it.
type store struct {
	rockwindpb.JobStoreService
	limits rockwindpb.TokenLimitService
	rates  rockwindpb.RequestRateService
}

// attempt is a call as it is made at one store.
type attempt[T any] func(context.Context, store) (T, error)

// target is the shard that a call is for, given how many there are.
type target func(shards int) uint32

// shardOf is the shard that keeps a job.
func shardOf(job string) target {
	return func(shards int) uint32 { return jobstore.ShardOf(job, shards) }
}

// outcome is how the attempt at one store ended.
type outcome[T any] struct {
	shard   uint32
	address string
	value   T
	err     error
}

// question is an attempt that is under way.
type question struct {
	shard uint32
	at    time.Time
}

// caller performs one call. Only the goroutine of the call uses it.
type caller[T any] struct {
	client  *Client
	target  target
	wait    time.Duration
	attempt attempt[T]
	// patience is how long the call goes on, which changes with each word of a store.
	patience patience
	// asked holds the stores whose answers are awaited, with when they were asked, and met
	// those that have said in this round that they do not lead. A round asks each store once.
	// The first one goes on without a pause; in later ones, which repeats tells, stores are
	// asked one after the other: a site with many stores must not ask those the more often
	// that are to elect a leader.
	asked   map[string]question
	met     map[string]bool
	repeats bool
	ended   chan outcome[T]
	// doubt tells that an attempt that failed may have taken effect.
	doubt bool
}

// call performs a call at the leader of a shard until it is answered, or its patience or the
// caller's is over. A store that does not answer soon does not hold it up: another one is asked
// beside it.
func call[T any](ctx context.Context, client *Client, at target, wait time.Duration, made attempt[T]) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &caller[T]{
		client: client, target: at, wait: wait, attempt: made, patience: newPatience(time.Now(), wait),
		asked: make(map[string]question), met: make(map[string]bool), ended: make(chan outcome[T], maximumAsked),
	}
	return c.run(ctx)
}

func (c *caller[T]) run(ctx context.Context) (T, error) {
	var nothing T
	next := time.NewTimer(0)
	defer next.Stop()
	limit := time.NewTimer(time.Until(c.patience.until()))
	defer limit.Stop()
	leaving := c.client.leaving
	for {
		select {
		case <-ctx.Done():
			return nothing, c.leave()
		case <-limit.C:
			return nothing, c.leave()
		case <-leaving:
			leaving = nil
			c.patience.leave(time.Now())
			limit.Reset(time.Until(c.patience.until()))
		case <-next.C:
			if c.ask(ctx) {
				next.Reset(hedgeAfter + c.wait)
			} else {
				clear(c.met)
				c.repeats = true
				next.Reset(c.patience.pause(time.Now()))
			}
		case end := <-c.ended:
			delete(c.asked, end.address)
			if end.err == nil {
				c.client.remember(end.shard, end.address)
				return end.value, nil
			}
			failure := fault.From(end.err)
			if failure.Kind == fault.LimitReached && (c.doubt || len(c.asked) > 0) {
				// Another attempt may have taken effect, or may still: that nothing of it
				// ever will cannot be said.
				return nothing, c.client.unanswered(true)
			}
			if final(failure.Kind) {
				return nothing, failure
			}
			c.doubt = c.doubt || failure.Ran != fault.NotRun
			c.client.follow(end.shard, end.address, failure)
			if spoken(failure) {
				c.patience.spoke(time.Now())
				limit.Reset(time.Until(c.patience.until()))
			}
			next.Reset(c.pauseAfter(end.address, failure))
		}
	}
}

// pauseAfter is the time before the next attempt: none where a store does not lead and names
// another one that was not asked in this round, or where others are left in the first round.
func (c *caller[T]) pauseAfter(address string, failure *fault.Fault) time.Duration {
	if failure.Kind != fault.NotLeader {
		return c.patience.pause(time.Now())
	}
	c.met[address] = true
	hinted := failure.Leader != "" && !c.passOver(failure.Leader)
	if hinted || !c.repeats {
		return 0
	}
	return c.patience.pause(time.Now())
}

// passOver tells whether a store is not to be asked now: it is asked already, or was met in
// this round. Silent stores are asked for long, and others name them as the leader meanwhile.
func (c *caller[T]) passOver(address string) bool {
	_, found := c.asked[address]
	return found || c.met[address]
}

// spoken tells whether a failure shows that a store was reached: one that was not says neither
// another kind nor that nothing has run. Some words of stores are taken for silence by this,
// and do not prolong a call.
func spoken(failure *fault.Fault) bool {
	return failure.Kind != fault.Unavailable || failure.Ran != fault.RanNotApplicable
}

// leave gives the call up, and returns what its caller is told.
func (c *caller[T]) leave() error {
	c.leaveSilent(time.Now())
	return c.client.unanswered(c.doubt || len(c.asked) > 0)
}

// leaveSilent forgets the stores that a call has waited for in vain: the caller may have
// had less patience than an attempt has time.
func (c *caller[T]) leaveSilent(now time.Time) {
	for address, each := range c.asked {
		if now.Sub(each.at) >= c.wait+silentAfter {
			c.client.follow(each.shard, address, fault.New(fault.Unavailable, "the store did not answer in time", "ask another store"))
		}
	}
}

// ask makes an attempt at one more store, and tells whether there was one to ask.
func (c *caller[T]) ask(ctx context.Context) bool {
	if len(c.asked) >= maximumAsked {
		return false
	}
	shard, address, known := c.client.pick(c.target, c.passOver)
	if !known {
		return false
	}
	c.asked[address] = question{shard: shard, at: time.Now()}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout+c.wait)
		defer cancel()
		value, err := c.attempt(ctx, c.client.store(address))
		c.ended <- outcome[T]{shard: shard, address: address, value: value, err: err}
	}()
	return true
}
