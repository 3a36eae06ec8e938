package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/caller"
	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/fault"
)

// Parameters of the batch load.
const (
	jobInterval    = 2 * time.Second
	minItems       = 20
	maxItems       = 120
	itemTokens     = 24
	cancelOneIn    = 6
	resendOneIn    = 2
	maxCancelDelay = 3 * time.Second
	callTimeout    = 20 * time.Second
	retryTimeout   = 90 * time.Second
	retryInterval  = 100 * time.Millisecond
)

// batchClient submits batch jobs, resubmits some of them and cancels others.
type batchClient struct {
	fleet  *fleet.Fleet
	caller *caller.Caller
	record *record
	random *rand.Rand
}

func (b *batchClient) gateway() string {
	return "http://" + pick(b.fleet.Gateways, b.random.IntN(len(b.fleet.Gateways))).Address
}

// submit submits one job, retrying until it is accepted, and then resubmits or
// cancels it with a fixed probability.
func (b *batchClient) submit(ctx context.Context, number int) error {
	submitted, input, err := newJob(fleet.ModelName, number, minItems+b.random.IntN(maxItems-minItems), itemTokens)
	if err != nil {
		return err
	}
	fileID, err := b.upload(ctx, number, input)
	if err != nil {
		return err
	}
	batch, err := b.submitUntilAccepted(ctx, fileID, submitted.clientKey)
	if err != nil {
		return err
	}
	submitted.id = batch.ID
	b.record.addJob(submitted)
	if b.random.IntN(resendOneIn) == 0 {
		if err := b.resend(ctx, submitted, fileID); err != nil {
			return err
		}
	}
	if b.random.IntN(cancelOneIn) == 0 {
		sleep(ctx, time.Duration(b.random.Int64N(int64(maxCancelDelay))))
		return b.cancel(ctx, submitted)
	}
	return nil
}

func (b *batchClient) upload(ctx context.Context, number int, input []byte) (string, error) {
	file, err := retryUntilAnswered(ctx, func(ctx context.Context) (caller.File, error) {
		return b.caller.Upload(ctx, b.gateway(), fmt.Sprintf("job-%d.jsonl", number), input)
	})
	return file.ID, errors.Wrapf(err, "upload input of job %d", number)
}

func (b *batchClient) submitUntilAccepted(ctx context.Context, fileID, key string) (caller.Batch, error) {
	batch, err := retryUntilAnswered(ctx, func(ctx context.Context) (caller.Batch, error) {
		return b.caller.Submit(ctx, b.gateway(), fileID, key)
	})
	return batch, errors.Wrapf(err, "submit %s", key)
}

// resend submits an accepted job again with the same client key, like a client that
// lost the response. It counts responses that name another job.
func (b *batchClient) resend(ctx context.Context, submitted *job, fileID string) error {
	again, err := b.submitUntilAccepted(ctx, fileID, submitted.clientKey)
	if err != nil {
		return err
	}
	b.record.count(func(c *counts) {
		c.JobResends++
		if again.ID != submitted.id {
			c.JobResendsOtherAnswer++
		}
	})
	return nil
}

const statusCancelled = "cancelled"

func (b *batchClient) cancel(ctx context.Context, submitted *job) error {
	batch, err := retryUntilAnswered(ctx, func(ctx context.Context) (caller.Batch, error) {
		return b.caller.CancelBatch(ctx, b.gateway(), submitted.id)
	})
	if err != nil {
		return errors.Wrapf(err, "cancel %s", submitted.id)
	}
	if batch.Status != statusCancelled {
		return nil
	}
	b.record.count(func(c *counts) { c.JobsCancelled++ })
	b.record.mutex.Lock()
	submitted.cancelled = true
	submitted.completedAtCancel = batch.Counts.Completed
	b.record.mutex.Unlock()
	return nil
}

// retryUntilAnswered retries an idempotent call until it succeeds, fails with a
// permanent error, or retryTimeout expires.
func retryUntilAnswered[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	for {
		attempt, cancelAttempt := context.WithTimeout(ctx, callTimeout)
		value, err := call(attempt)
		cancelAttempt()
		if err == nil || isPermanent(err) {
			return value, err
		}
		if ctx.Err() != nil {
			return value, errors.Wrap(err, "no answer before the timeout; last error")
		}
		sleep(ctx, retryInterval)
	}
}

// isPermanent reports whether retrying the call cannot succeed.
func isPermanent(err error) bool {
	var refusal *caller.Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	switch fault.Kind(refusal.Kind) {
	case fault.InvalidArgument, fault.Unauthenticated, fault.NotFound, fault.Conflict:
		return true
	default:
		return false
	}
}
