package faults

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// operatorGap is the time between two configurations of one operator.
const operatorGap = 400 * time.Millisecond

// operator applies configurations and races others with the same numbers.
type operator struct {
	name    string
	fleet   *fleet.Fleet
	service rockwindpb.ConfigurationService
	record  *record
	history *applyHistory
	client  int
	// number is the last number that the operator knows to be in force.
	number uint64
}

// apply tries to apply the next configuration once. A lost answer is resent
// until it is known, as an operator does.
func (o *operator) apply(ctx context.Context) error {
	wanted := o.fleet.Configuration()
	wanted.Number = o.number + 1
	marker := fmt.Sprintf("%s-%d", o.name, wanted.Number)
	wanted.Tenants = append(wanted.Tenants, &rockwindpb.Tenant{
		Name: marker, Group: fleet.GroupPuzzles, ApiKeySha256: []string{fleet.KeyHash(marker)},
	})
	for ctx.Err() == nil {
		done, err := o.applyOnce(ctx, wanted, marker)
		if done || err != nil {
			return err
		}
		wait(ctx, retryGap)
	}
	return nil
}

// applyOnce sends the configuration once and tells whether its fate is known.
func (o *operator) applyOnce(ctx context.Context, wanted *rockwindpb.Configuration, marker string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	input := applyInput{number: wanted.GetNumber(), content: marker}
	called := time.Now()
	response, err := o.service.Apply(ctx, &rockwindpb.ApplyConfigurationRequest{Configuration: wanted, Operator: o.name})
	switch {
	case err == nil:
		o.history.add(o.client, input, applyAccepted, called)
		o.number = response.GetAcceptance().GetNumber()
		o.record.count(func(c *counts) { c.ConfigurationsAccepted++ })
		return true, nil
	case fault.Is(err, fault.Conflict), fault.Is(err, fault.Stale):
		o.history.add(o.client, input, applyRefused, called)
		o.record.count(func(c *counts) { c.ConfigurationConflicts++ })
		return true, o.catchUp(ctx)
	case fault.Is(err, fault.InvalidArgument):
		return true, err
	default:
		o.history.add(o.client, input, applyUnknown, called)
		return false, nil
	}
}

// catchUp reads the number in force after a lost race.
func (o *operator) catchUp(ctx context.Context) error {
	current, err := untilAnswered(ctx, func(ctx context.Context) (*rockwindpb.GetConfigurationResponse, error) {
		return o.service.Get(ctx, &rockwindpb.GetConfigurationRequest{})
	})
	if err != nil {
		return errors.Wrap(err, "read the configuration in force")
	}
	o.number = max(o.number, current.GetConfiguration().GetNumber())
	return nil
}

// run applies configurations until stop is done.
func (o *operator) run(ctx, stop context.Context) error {
	for stop.Err() == nil {
		if err := o.apply(ctx); err != nil {
			return err
		}
		wait(stop, operatorGap)
	}
	return nil
}

// hurry applies count configurations in a row.
func (o *operator) hurry(ctx context.Context, count int) error {
	for range count {
		if err := o.apply(ctx); err != nil {
			return err
		}
	}
	return nil
}

// applyInput is one apply as the linearizability check sees it.
type applyInput struct {
	number  uint64
	content string
}

// applyOutput is the answer to an apply.
type applyOutput int

const (
	applyAccepted applyOutput = iota
	applyRefused
	applyUnknown
)

// applyHistory collects all applies for porcupine.
type applyHistory struct {
	mutex      sync.Mutex
	started    time.Time
	operations []porcupine.Operation
}

func newApplyHistory() *applyHistory { return &applyHistory{started: time.Now()} }

// endOfTime is the return time of a call whose answer was lost: it may take
// effect at any later moment.
const endOfTime = int64(1) << 62

func (h *applyHistory) add(client int, input applyInput, output applyOutput, called time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	returned := time.Since(h.started).Nanoseconds()
	if output == applyUnknown {
		returned = endOfTime
		// A client is free again after a lost answer; porcupine wants clients
		// with one call at a time, so the lost call gets one of its own.
		client = len(h.operations) + firstLostClient
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: input, Output: output,
		Call: called.Sub(h.started).Nanoseconds(), Return: returned,
	})
}

// firstLostClient is above the number of any operator.
const firstLostClient = 1000

// accepted is the chain of accepted configurations, newest first. It is never
// changed, so that states can share it.
type accepted struct {
	input    applyInput
	previous *accepted
}

func (a *accepted) holds(input applyInput) bool {
	for ; a != nil; a = a.previous {
		if a.input == input {
			return true
		}
	}
	return false
}

// check judges the history: applies must behave like one compare-and-set on the
// number, with the same acceptance for a resend. first is the number in force
// before the history began.
func (h *applyHistory) check(first uint64) porcupine.CheckResult {
	model := porcupine.Model{
		Init: func() any { return &accepted{input: applyInput{number: first}} },
		Step: stepApply,
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return porcupine.CheckOperationsTimeout(model, h.operations, checkTimeout)
}

// checkTimeout bounds the linearizability check.
const checkTimeout = 60 * time.Second

func stepApply(state, input, output any) (bool, any) {
	chain := state.(*accepted)
	wanted := input.(applyInput)
	takes := wanted.number == chain.input.number+1
	known := chain.holds(wanted)
	switch output.(applyOutput) {
	case applyAccepted:
		if takes {
			return true, &accepted{input: wanted, previous: chain}
		}
		return known, chain
	case applyRefused:
		return !takes && !known, chain
	default:
		if takes {
			return true, &accepted{input: wanted, previous: chain}
		}
		return true, chain
	}
}
