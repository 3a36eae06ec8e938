package follower_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/follower"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// behavior is how a fakeMachine treats calls.
type behavior int

const (
	// replica answers with the change as soon as there is one.
	replica behavior = iota
	// nonReplica reports that it does not replicate the configuration.
	nonReplica
	// refusesConnections fails all calls.
	refusesConnections
	// frozen never answers.
	frozen
)

// fakeMachine is a fake control machine.
type fakeMachine struct {
	rockwindpb.ConfigurationService
	behavior behavior
	accepted *atomic.Pointer[configuration.Index]
	calls    int
}

// pollInterval is how often a fakeMachine checks for a change.
const pollInterval = 10 * time.Millisecond

func (m *fakeMachine) Watch(ctx context.Context, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	m.calls++
	switch m.behavior {
	case nonReplica:
		return nil, fault.ToTwirp(fault.New(fault.NotLeader, "not here", "ask another"))
	case refusesConnections:
		return nil, context.DeadlineExceeded
	case frozen:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ended := time.Now().Add(time.Duration(request.GetWaitMs()) * time.Millisecond)
	for time.Now().Before(ended) {
		if newest := m.accepted.Load(); newest.Number() > request.GetHaveNumber() {
			return &rockwindpb.WatchConfigurationResponse{Change: newest.FullChange()}, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return &rockwindpb.WatchConfigurationResponse{}, nil
}

func newIndex(t interface{ Fatal(...any) }, number uint64) *configuration.Index {
	index, err := configuration.NewIndex(&rockwindpb.Configuration{Number: number})
	if err != nil {
		t.Fatal(err)
	}
	return index
}

// TestChangeIsInForceSoonAmongManyMachines verifies that one replica that answers is enough to get
// a change soon, although most machines do not replicate the configuration and some do not answer.
func TestChangeIsInForceSoonAmongManyMachines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kinds := rapid.SliceOfN(rapid.SampledFrom([]behavior{replica, nonReplica, nonReplica, refusesConnections, frozen}), 0, 13).Draw(rt, "machines")
		position := rapid.IntRange(0, len(kinds)).Draw(rt, "position")
		kinds = append(kinds[:position:position], append([]behavior{replica}, kinds[position:]...)...)
		after := time.Duration(rapid.IntRange(0, 400).Draw(rt, "after")) * 100 * time.Millisecond
		folder := t.TempDir()
		synctest.Test(t, func(t *testing.T) {
			var accepted atomic.Pointer[configuration.Index]
			accepted.Store(newIndex(t, 1))
			machines, sources, frozenCount := newMachines(kinds, &accepted)
			following, err := follower.New(follower.Options{
				Sources: sources, Folder: folder, Log: &log.Logger{Handler: discard.Default}, Random: newRandom(position),
			})
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); _ = following.Run(ctx) }()
			time.Sleep(time.Minute + after)
			accepted.Store(newIndex(t, 2))
			begun := time.Now()
			for following.Current().Number() < 2 {
				<-following.Changed()
			}
			// Each frozen machine may delay the change by one call.
			limit := follower.DefaultWait + time.Duration(frozenCount)*(follower.DefaultWait+follower.DefaultGrace)
			if took := time.Since(begun); took > limit {
				t.Fatalf("the change was applied after %s, limit %s", took, limit)
			}
			cancel()
			<-ended
			checkCalls(t, machines, time.Minute+after+limit)
		})
	})
}

// newMachines returns machines with the given behaviors, also as sources. frozenCount counts those
// that delay calls.
func newMachines(kinds []behavior, accepted *atomic.Pointer[configuration.Index]) (machines []*fakeMachine, sources []rockwindpb.ConfigurationService, frozenCount int) {
	for _, kind := range kinds {
		created := &fakeMachine{behavior: kind, accepted: accepted}
		machines, sources = append(machines, created), append(sources, created)
		if kind == frozen {
			frozenCount++
		}
	}
	return machines, sources, frozenCount
}

// checkCalls checks that machines that do not answer are asked rarely.
func checkCalls(t *testing.T, machines []*fakeMachine, length time.Duration) {
	for _, each := range machines {
		maxCalls := 10 + int(length/follower.MaxAvoidDuration)*3
		if each.behavior == nonReplica {
			maxCalls = 2
		}
		if each.behavior != replica && each.calls > maxCalls {
			t.Fatalf("a machine that does not answer (%d) was asked %d times in %s", each.behavior, each.calls, length)
		}
	}
}

func newRandom(seed int) *rand.Rand { return rand.New(rand.NewPCG(uint64(seed), 1)) }

// slowMachine answers with a change after a slow transfer.
type slowMachine struct {
	rockwindpb.ConfigurationService
	accepted *configuration.Index
	transfer time.Duration
}

func (m slowMachine) Watch(ctx context.Context, _ *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(m.transfer):
		return &rockwindpb.WatchConfigurationResponse{Change: m.accepted.FullChange()}, nil
	}
}

// TestRepeatedHintsDoNotAbortATransfer guards against repeated hints that restart a transfer which
// takes longer than the time between them.
func TestRepeatedHintsDoNotAbortATransfer(t *testing.T) {
	const transfer, between, limit = 3 * time.Second, time.Second, 10 * time.Second
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		source := slowMachine{accepted: newIndex(t, 1), transfer: transfer}
		following, err := follower.New(follower.Options{
			Sources: []rockwindpb.ConfigurationService{source, source}, Folder: folder,
			Log: &log.Logger{Handler: discard.Default}, Random: newRandom(1),
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = following.Run(ctx) }()
		for begun := time.Now(); following.Current().Number() == 0; time.Sleep(between) {
			if time.Since(begun) > limit {
				t.Fatalf("no configuration after %s", limit)
			}
			following.Hint(1)
		}
		cancel()
		<-ended
	})
}
