package faults

import (
	"context"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/bench/caller"
	"rockwind.example/rockwind/internal/bench/fleet"
)

// jobEndTimeout bounds the wait for all jobs to end after the last fault.
const jobEndTimeout = 3 * time.Minute

// outputTimeout bounds reading the outputs of one ended job.
const outputTimeout = 20 * time.Second

// itemCounts counts the accepted items by outcome.
type itemCounts struct {
	Accepted      int `json:"items_accepted"`
	CompletedOnce int `json:"items_completed_once"`
	Lost          int `json:"items_lost"`
	Unreadable    int `json:"items_unreadable"`
	Duplicated    int `json:"items_duplicated"`
	Changed       int `json:"items_changed"`
	Wrong         int `json:"items_wrong"`
	Failed        int `json:"items_failed"`
	OfCancelled   int `json:"items_of_cancelled_jobs"`
}

// checker compares the final state of all jobs with the responses that clients
// received.
type checker struct {
	fleet  *fleet.Fleet
	caller *caller.Caller
	record *record
	items  itemCounts
}

func (c *checker) gateway(number int) string {
	return "http://" + pick(c.fleet.Gateways, number).Address
}

// checkJobs waits for all jobs to end and classifies their items. It reads the
// outputs through two gateways, which must return the same.
func (c *checker) checkJobs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, jobEndTimeout)
	defer cancel()
	for number, submitted := range c.record.allJobs() {
		if err := c.checkJob(ctx, number, submitted); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) checkJob(ctx context.Context, number int, submitted *job) error {
	c.items.Accepted += len(submitted.items)
	ended, err := c.awaitEnd(ctx, number, submitted)
	if err != nil {
		log.WithField("job", submitted.id).WithField("status", ended.Status).WithField("counts", ended.Counts).Error("job did not end before the timeout")
		c.items.Lost += len(submitted.items)
		return nil
	}
	if submitted.cancelled {
		c.items.OfCancelled += len(submitted.items)
		c.checkCancelled(submitted, ended)
		return nil
	}
	first, err := c.outputs(ctx, number, ended)
	if err != nil {
		c.countUnreadable(submitted, err)
		return nil
	}
	second, err := c.outputs(ctx, number+1, ended)
	if err != nil {
		c.countUnreadable(submitted, err)
		return nil
	}
	c.classifyItems(submitted, first, second)
	return nil
}

func (c *checker) countUnreadable(submitted *job, err error) {
	log.WithError(err).WithField("job", submitted.id).Error("cannot read the outputs of a job")
	c.items.Unreadable += len(submitted.items)
}

// awaitEnd polls a job until it has ended. On a timeout it returns the last status
// received, together with the error.
func (c *checker) awaitEnd(ctx context.Context, number int, submitted *job) (caller.Batch, error) {
	var batch caller.Batch
	for {
		answer, err := c.getBatch(ctx, number, submitted)
		if err == nil {
			batch = answer
		}
		if err == nil && batch.Ended() {
			return batch, nil
		}
		if ctx.Err() != nil {
			return batch, ctx.Err()
		}
		sleep(ctx, pollInterval)
	}
}

// getBatch reads the status of a job. It ignores the deadline of ctx: after one job
// has used up the time for all jobs, the others must still be read once.
func (c *checker) getBatch(ctx context.Context, number int, submitted *job) (caller.Batch, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	return c.caller.GetBatch(ctx, c.gateway(number), submitted.id)
}

// checkCancelled checks a job whose cancellation was confirmed: it must still be
// cancelled, with no item completed after the confirmation.
func (c *checker) checkCancelled(submitted *job, ended caller.Batch) {
	if ended.Status == statusCancelled && ended.Counts.Completed == submitted.completedAtCancel {
		return
	}
	c.record.count(func(totals *counts) { totals.ItemsAfterCancel++ })
}

// outputs reads the output and error files of an ended job, by custom ID.
func (c *checker) outputs(ctx context.Context, number int, ended caller.Batch) (map[string][]caller.ItemOutput, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outputTimeout)
	defer cancel()
	byID := map[string][]caller.ItemOutput{}
	for _, fileID := range []string{ended.OutputFileID, ended.ErrorFileID} {
		if fileID == "" {
			continue
		}
		content, err := retryUntilAnswered(ctx, func(ctx context.Context) ([]byte, error) {
			return c.caller.Content(ctx, c.gateway(number), fileID)
		})
		if err != nil {
			return nil, err
		}
		outputs, err := caller.ParseOutput(content)
		if err != nil {
			return nil, err
		}
		for _, output := range outputs {
			byID[output.CustomID] = append(byID[output.CustomID], output)
		}
	}
	return byID, nil
}

func (c *checker) classifyItems(submitted *job, first, second map[string][]caller.ItemOutput) {
	for _, expected := range submitted.items {
		outputs := first[expected.customID]
		again := second[expected.customID]
		switch {
		case len(outputs) == 0:
			c.items.Lost++
		case len(outputs) > 1:
			c.items.Duplicated++
		case len(again) != 1 || again[0] != outputs[0]:
			c.items.Changed++
		case outputs[0].Failed:
			c.items.Failed++
		case outputs[0].Text != expected.text:
			c.items.Wrong++
		default:
			c.items.CompletedOnce++
		}
	}
}
