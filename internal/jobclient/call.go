package jobclient

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
)

// attempt is a call as it is made at one store.
type attempt[T any] func(context.Context, rockwindpb.JobStoreService) (T, error)

// outcome is how the attempt at one store ended.
type outcome[T any] struct {
	shard   uint32
	address string
	value   T
	err     error
}

// caller performs one call. Only the goroutine of the call uses it.
type caller[T any] struct {
	client  *Client
	job     string
	wait    time.Duration
	attempt attempt[T]
	asked   map[string]bool
	ended   chan outcome[T]
	// doubt tells that an attempt that failed may have taken effect.
	doubt bool
}

// call performs a call at the leader of a job's shard until it is answered. A store
// that does not answer soon does not hold it up: another one is asked beside it.
func call[T any](ctx context.Context, client *Client, job string, wait time.Duration, made attempt[T]) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	c := &caller[T]{
		client: client, job: job, wait: wait, attempt: made,
		asked: make(map[string]bool), ended: make(chan outcome[T], maximumAsked),
	}
	return c.run(ctx)
}

func (c *caller[T]) run(ctx context.Context) (T, error) {
	var nothing T
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return nothing, c.client.unanswered(c.doubt || len(c.asked) > 0)
		case <-next.C:
			if c.ask(ctx) {
				next.Reset(hedgeAfter + c.wait)
			} else {
				next.Reset(pause)
			}
		case end := <-c.ended:
			delete(c.asked, end.address)
			if end.err == nil {
				c.client.remember(end.shard, end.address)
				return end.value, nil
			}
			failure := fault.From(end.err)
			if final(failure.Kind) {
				return nothing, failure
			}
			c.doubt = c.doubt || failure.Ran != fault.NotRun
			c.client.follow(end.shard, end.address, failure)
			next.Reset(pause)
		}
	}
}

// ask makes an attempt at one more store, and tells whether there was one to ask.
func (c *caller[T]) ask(ctx context.Context) bool {
	if len(c.asked) >= maximumAsked {
		return false
	}
	shard, address, known := c.client.pick(c.job, c.asked)
	if !known {
		return false
	}
	c.asked[address] = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout+c.wait)
		defer cancel()
		service := rockwindpb.NewJobStoreServiceProtobufClient("http://"+address, twirphttp.Client{Carrier: c.client.client})
		value, err := c.attempt(ctx, service)
		c.ended <- outcome[T]{shard: shard, address: address, value: value, err: err}
	}()
	return true
}
