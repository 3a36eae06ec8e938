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

// applyInterval is the pause between two applies of one operator.
const applyInterval = 400 * time.Millisecond

// operator applies configurations in competition with other operators, which use the
// same configuration numbers.
type operator struct {
	name    string
	fleet   *fleet.Fleet
	service rockwindpb.ConfigurationService
	record  *record
	history *applyHistory
	client  int
	// number is the newest configuration number known to the operator.
	number uint64
}

// apply tries to apply the next configuration. It retries calls with an unknown
// outcome until the configuration is accepted or refused.
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
		sleep(ctx, retryInterval)
	}
	return nil
}

// applyOnce sends the configuration once and reports whether the outcome is known.
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
		return true, o.refreshNumber(ctx)
	case fault.Is(err, fault.InvalidArgument):
		return true, err
	default:
		o.history.add(o.client, input, applyUnknown, called)
		return false, nil
	}
}

// refreshNumber reads the number in force after a conflict.
func (o *operator) refreshNumber(ctx context.Context) error {
	current, err := retryUntilAnswered(ctx, func(ctx context.Context) (*rockwindpb.GetConfigurationResponse, error) {
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
		sleep(stop, applyInterval)
	}
	return nil
}

// applySeries applies count configurations without pauses.
func (o *operator) applySeries(ctx context.Context, count int) error {
	for range count {
		if err := o.apply(ctx); err != nil {
			return err
		}
	}
	return nil
}

// applyInput is the input of one apply in the linearizability check.
type applyInput struct {
	number  uint64
	content string
}

// applyOutput is the outcome of an apply.
type applyOutput int

const (
	applyAccepted applyOutput = iota
	applyRefused
	applyUnknown
)

// applyHistory collects all applies for the linearizability check.
type applyHistory struct {
	mutex      sync.Mutex
	started    time.Time
	operations []porcupine.Operation
}

func newApplyHistory() *applyHistory { return &applyHistory{started: time.Now()} }

// unknownReturnTime is the return time of a call whose response was lost: it may take
// effect at any later time.
const unknownReturnTime = int64(1) << 62

func (h *applyHistory) add(client int, input applyInput, output applyOutput, called time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	returned := time.Since(h.started).Nanoseconds()
	if output == applyUnknown {
		returned = unknownReturnTime
		// The operator goes on while the lost call is still pending. Porcupine
		// allows one pending call per client, so the lost call gets its own ID.
		client = len(h.operations) + firstUnknownClient
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: input, Output: output,
		Call: called.Sub(h.started).Nanoseconds(), Return: returned,
	})
}

// firstUnknownClient is the first client ID for calls with an unknown outcome. It is
// above the ID of any operator.
const firstUnknownClient = 1000

// acceptedChain is an immutable linked list of accepted configurations, newest first.
// States of the model share its tail.
type acceptedChain struct {
	input    applyInput
	previous *acceptedChain
}

func (a *acceptedChain) contains(input applyInput) bool {
	for ; a != nil; a = a.previous {
		if a.input == input {
			return true
		}
	}
	return false
}

// check tests whether the history is linearizable: applies must behave like a
// compare-and-set on the number, and retries of an accepted configuration must be
// accepted. first is the number in force before the history began.
func (h *applyHistory) check(first uint64) porcupine.CheckResult {
	model := porcupine.Model{
		Init: func() any { return &acceptedChain{input: applyInput{number: first}} },
		Step: stepApply,
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return porcupine.CheckOperationsTimeout(model, h.operations, checkTimeout)
}

// checkTimeout bounds the linearizability check.
const checkTimeout = 60 * time.Second

func stepApply(state, input, output any) (bool, any) {
	chain := state.(*acceptedChain)
	wanted := input.(applyInput)
	isNext := wanted.number == chain.input.number+1
	alreadyAccepted := chain.contains(wanted)
	switch output.(applyOutput) {
	case applyAccepted:
		if isNext {
			return true, &acceptedChain{input: wanted, previous: chain}
		}
		return alreadyAccepted, chain
	case applyRefused:
		return !isNext && !alreadyAccepted, chain
	default:
		if isNext {
			return true, &acceptedChain{input: wanted, previous: chain}
		}
		return true, chain
	}
}
