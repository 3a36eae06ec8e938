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

// Shape of the batch load.
const (
	jobGap          = 2 * time.Second
	leastItems      = 20
	mostItems       = 120
	itemTokens      = 24
	cancelOneIn     = 6
	resendOneIn     = 2
	longestToCancel = 3 * time.Second
	callTimeout     = 20 * time.Second
	acceptTimeout   = 90 * time.Second
	retryGap        = 100 * time.Millisecond
)

// batchClient submits jobs, sends them again, and cancels some.
type batchClient struct {
	fleet  *fleet.Fleet
	caller *caller.Caller
	record *record
	random *rand.Rand
}

func (b *batchClient) gateway() string {
	return "http://" + pick(b.fleet.Gateways, b.random.IntN(len(b.fleet.Gateways))).Address
}

// submit submits one job until it is accepted, then perhaps sends it again or
// cancels it.
func (b *batchClient) submit(ctx context.Context, number int) error {
	made, input, err := newJob(fleet.ModelName, number, leastItems+b.random.IntN(mostItems-leastItems), itemTokens)
	if err != nil {
		return err
	}
	fileID, err := b.upload(ctx, number, input)
	if err != nil {
		return err
	}
	batch, err := b.accept(ctx, fileID, made.clientKey)
	if err != nil {
		return err
	}
	made.id = batch.ID
	b.record.addJob(made)
	if b.random.IntN(resendOneIn) == 0 {
		if err := b.resend(ctx, made, fileID); err != nil {
			return err
		}
	}
	if b.random.IntN(cancelOneIn) == 0 {
		wait(ctx, time.Duration(b.random.Int64N(int64(longestToCancel))))
		return b.cancel(ctx, made)
	}
	return nil
}

func (b *batchClient) upload(ctx context.Context, number int, input []byte) (string, error) {
	file, err := untilAnswered(ctx, func(ctx context.Context) (caller.File, error) {
		return b.caller.Upload(ctx, b.gateway(), fmt.Sprintf("job-%d.jsonl", number), input)
	})
	return file.ID, errors.Wrapf(err, "upload input of job %d", number)
}

func (b *batchClient) accept(ctx context.Context, fileID, key string) (caller.Batch, error) {
	batch, err := untilAnswered(ctx, func(ctx context.Context) (caller.Batch, error) {
		return b.caller.Submit(ctx, b.gateway(), fileID, key)
	})
	return batch, errors.Wrapf(err, "submit %s", key)
}

// resend submits the same job again, as a client does that lost the answer.
func (b *batchClient) resend(ctx context.Context, made *job, fileID string) error {
	again, err := b.accept(ctx, fileID, made.clientKey)
	if err != nil {
		return err
	}
	b.record.count(func(c *counts) {
		c.JobResends++
		if again.ID != made.id {
			c.JobResendsOtherAnswer++
		}
	})
	return nil
}

// statusCancelled is the status of a cancelled batch.
const statusCancelled = "cancelled"

func (b *batchClient) cancel(ctx context.Context, made *job) error {
	batch, err := untilAnswered(ctx, func(ctx context.Context) (caller.Batch, error) {
		return b.caller.CancelBatch(ctx, b.gateway(), made.id)
	})
	if err != nil {
		return errors.Wrapf(err, "cancel %s", made.id)
	}
	if batch.Status != statusCancelled {
		return nil
	}
	b.record.count(func(c *counts) { c.JobsCancelled++ })
	b.record.mutex.Lock()
	made.cancelled = true
	made.completedAtCancel = batch.Counts.Completed
	b.record.mutex.Unlock()
	return nil
}

// untilAnswered repeats a call, which must be safe to repeat, until it is
// answered without a passing failure.
func untilAnswered[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	for {
		attempt, cancelAttempt := context.WithTimeout(ctx, callTimeout)
		value, err := call(attempt)
		cancelAttempt()
		if err == nil || permanent(err) {
			return value, err
		}
		if ctx.Err() != nil {
			return value, errors.Wrap(err, "no answer in time; the last failure")
		}
		wait(ctx, retryGap)
	}
}

// permanent tells whether the same call will fail again.
func permanent(err error) bool {
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
