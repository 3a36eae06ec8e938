package faults

import (
	"context"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/bench/caller"
	"rockwind.example/rockwind/internal/bench/fleet"
)

// endTimeout bounds the wait for all jobs to end after the last fault.
const endTimeout = 3 * time.Minute

// readTimeout bounds the wait for the results of one job that has ended.
const readTimeout = 20 * time.Second

// itemCounts is the verdict over all items.
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

// checker compares what is in the system with what the clients were told.
type checker struct {
	fleet  *fleet.Fleet
	caller *caller.Caller
	record *record
	items  itemCounts
}

func (c *checker) gateway(number int) string {
	return "http://" + pick(c.fleet.Gateways, number).Address
}

// checkJobs waits for all jobs to end and judges every item twice, through
// different gateways.
func (c *checker) checkJobs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	for number, made := range c.record.allJobs() {
		if err := c.checkJob(ctx, number, made); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) checkJob(ctx context.Context, number int, made *job) error {
	c.items.Accepted += len(made.items)
	ended, err := c.awaitEnd(ctx, number, made)
	if err != nil {
		log.WithField("job", made.id).WithField("status", ended.Status).WithField("counts", ended.Counts).Error("a job did not end")
		c.items.Lost += len(made.items)
		return nil
	}
	if made.cancelled {
		c.items.OfCancelled += len(made.items)
		c.checkCancelled(made, ended)
		return nil
	}
	first, err := c.outputs(ctx, number, ended)
	if err != nil {
		c.unreadable(made, err)
		return nil
	}
	second, err := c.outputs(ctx, number+1, ended)
	if err != nil {
		c.unreadable(made, err)
		return nil
	}
	c.judge(made, first, second)
	return nil
}

func (c *checker) unreadable(made *job, err error) {
	log.WithError(err).WithField("job", made.id).Error("results cannot be read")
	c.items.Unreadable += len(made.items)
}

// awaitEnd waits for the end of a job; where it fails it returns what was seen last.
func (c *checker) awaitEnd(ctx context.Context, number int, made *job) (caller.Batch, error) {
	var batch caller.Batch
	for {
		answer, err := c.look(ctx, number, made)
		if err == nil {
			batch = answer
		}
		if err == nil && batch.Ended() {
			return batch, nil
		}
		if ctx.Err() != nil {
			return batch, ctx.Err()
		}
		wait(ctx, pollGap)
	}
}

// look asks for a job. It does so also when the time for all jobs is over: one that
// did not end must not hide the others.
func (c *checker) look(ctx context.Context, number int, made *job) (caller.Batch, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	return c.caller.GetBatch(ctx, c.gateway(number), made.id)
}

// checkCancelled judges a job whose cancel was answered with a cancelled job:
// it must have stayed cancelled, and nothing was recorded after the answer.
func (c *checker) checkCancelled(made *job, ended caller.Batch) {
	if ended.Status == statusCancelled && ended.Counts.Completed == made.completedAtCancel {
		return
	}
	c.record.count(func(totals *counts) { totals.ItemsAfterCancel++ })
}

// outputs reads all outputs of an ended job.
func (c *checker) outputs(ctx context.Context, number int, ended caller.Batch) (map[string][]caller.ItemOutput, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	byID := map[string][]caller.ItemOutput{}
	for _, fileID := range []string{ended.OutputFileID, ended.ErrorFileID} {
		if fileID == "" {
			continue
		}
		content, err := untilAnswered(ctx, func(ctx context.Context) ([]byte, error) {
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

func (c *checker) judge(made *job, first, second map[string][]caller.ItemOutput) {
	for _, wanted := range made.items {
		outputs := first[wanted.customID]
		again := second[wanted.customID]
		switch {
		case len(outputs) == 0:
			c.items.Lost++
		case len(outputs) > 1:
			c.items.Duplicated++
		case len(again) != 1 || again[0] != outputs[0]:
			c.items.Changed++
		case outputs[0].Failed:
			c.items.Failed++
		case outputs[0].Text != wanted.text:
			c.items.Wrong++
		default:
			c.items.CompletedOnce++
		}
	}
}
