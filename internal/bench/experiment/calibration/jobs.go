package calibration

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/caller"
	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/load"
)

// jobRunner submits the batch jobs of a trace and counts completed items.
type jobRunner struct {
	running *fleet.Fleet
	caller  caller.Caller
	started time.Time

	mutex sync.Mutex
	ids   []string
	// maxDelay is the longest time from a job's arrival in the trace to its
	// acceptance.
	maxDelay time.Duration
}

// uploadLead is how long before its arrival a job's input is uploaded, so that the
// upload does not delay the submission.
const uploadLead = 3 * time.Second

// submitAll submits the jobs at their arrival times, in sequence.
func (r *jobRunner) submitAll(ctx context.Context, records []load.Record) error {
	for number, record := range records {
		if record.Kind != load.KindJob {
			continue
		}
		if err := r.sleepUntil(ctx, record.At()-uploadLead); err != nil {
			return err
		}
		if err := r.submit(ctx, record, number); err != nil {
			return err
		}
	}
	return nil
}

func (r *jobRunner) submit(ctx context.Context, record load.Record, number int) error {
	input, err := jobInput(record, number)
	if err != nil {
		return err
	}
	gateway := r.gateway(number)
	file, err := r.caller.Upload(ctx, gateway, "calibration.jsonl", input)
	if err != nil {
		return errors.Wrap(err, "upload the input of a job")
	}
	if err := r.sleepUntil(ctx, record.At()); err != nil {
		return err
	}
	batch, err := r.caller.Submit(ctx, gateway, file.ID, fmt.Sprintf("calibration-%d", number))
	if err != nil {
		return errors.Wrap(err, "submit a job")
	}
	r.mutex.Lock()
	r.ids = append(r.ids, batch.ID)
	r.maxDelay = max(r.maxDelay, time.Since(r.started)-record.At())
	r.mutex.Unlock()
	return nil
}

func jobInput(record load.Record, number int) ([]byte, error) {
	items := make([]caller.Item, record.Items)
	for item := range items {
		items[item] = caller.ChatItem(item, record.Model, content(record, number, item), record.MaxTokens)
	}
	return caller.BatchInput(items)
}

func (r *jobRunner) gateway(number int) string {
	return "http://" + r.running.Gateways[number%len(r.running.Gateways)].Address
}

// completedBetween counts the items that completed between two times of the run.
func (r *jobRunner) completedBetween(ctx context.Context, from, until time.Duration) (int, error) {
	before, err := r.completedAt(ctx, from)
	if err != nil {
		return 0, err
	}
	after, err := r.completedAt(ctx, until)
	return after - before, err
}

func (r *jobRunner) completedAt(ctx context.Context, at time.Duration) (int, error) {
	if err := r.sleepUntil(ctx, at); err != nil {
		return 0, err
	}
	r.mutex.Lock()
	ids := append([]string(nil), r.ids...)
	r.mutex.Unlock()
	completed := 0
	for _, id := range ids {
		batch, err := r.caller.GetBatch(ctx, r.gateway(0), id)
		if err != nil {
			return 0, errors.Wrap(err, "read a job")
		}
		completed += batch.Counts.Completed
	}
	return completed, nil
}

// sleepUntil waits until the given time since the start of the run.
func (r *jobRunner) sleepUntil(ctx context.Context, at time.Duration) error {
	timer := time.NewTimer(time.Until(r.started.Add(at)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
