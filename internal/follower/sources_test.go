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

// behaviour is how a stand-in for a control machine treats calls.
type behaviour int

const (
	// replicates answers with news as soon as there is some.
	replicates behaviour = iota
	// stranger does not replicate the configuration and says so.
	stranger
	// refuses answers no connection.
	refuses
	// frozen never answers.
	frozen
)

// machine is a stand-in for a control machine.
type machine struct {
	rockwindpb.ConfigurationService
	behaviour behaviour
	accepted  *atomic.Pointer[configuration.Index]
	calls     int
}

// look is how often a stand-in looks for news.
const look = 10 * time.Millisecond

func (m *machine) Watch(ctx context.Context, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	m.calls++
	switch m.behaviour {
	case stranger:
		return nil, fault.ToTwirp(fault.New(fault.NotLeader, "not here", "ask another"))
	case refuses:
		return nil, context.DeadlineExceeded
	case frozen:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ended := time.Now().Add(time.Duration(request.GetWaitMs()) * time.Millisecond)
	for time.Now().Before(ended) {
		if newest := m.accepted.Load(); newest.Number() > request.GetHaveNumber() {
			return &rockwindpb.WatchConfigurationResponse{Change: newest.Full()}, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(look):
		}
	}
	return &rockwindpb.WatchConfigurationResponse{}, nil
}

func numbered(t interface{ Fatal(...any) }, number uint64) *configuration.Index {
	index, err := configuration.NewIndex(&rockwindpb.Configuration{Number: number})
	if err != nil {
		t.Fatal(err)
	}
	return index
}

// A change is in force soon after it was accepted, wherever it falls, when most
// control machines do not replicate the configuration and some do not answer: one
// replica that answers is enough.
func TestChangeIsInForceSoonAmongManyMachines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kinds := rapid.SliceOfN(rapid.SampledFrom([]behaviour{replicates, stranger, stranger, refuses, frozen}), 0, 13).Draw(rt, "machines")
		position := rapid.IntRange(0, len(kinds)).Draw(rt, "position")
		kinds = append(kinds[:position:position], append([]behaviour{replicates}, kinds[position:]...)...)
		after := time.Duration(rapid.IntRange(0, 400).Draw(rt, "after")) * 100 * time.Millisecond
		folder := t.TempDir()
		synctest.Test(t, func(t *testing.T) {
			var accepted atomic.Pointer[configuration.Index]
			accepted.Store(numbered(t, 1))
			machines, sources, awkward := stand(kinds, &accepted)
			following, err := follower.New(follower.Options{
				Sources: sources, Folder: folder, Log: &log.Logger{Handler: discard.Default}, Random: randomOf(position),
			})
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); _ = following.Run(ctx) }()
			time.Sleep(time.Minute + after)
			accepted.Store(numbered(t, 2))
			begun := time.Now()
			for following.Current().Number() < 2 {
				<-following.Changed()
			}
			// Each machine that does not answer may hold it up by one call.
			limit := follower.DefaultWait + time.Duration(awkward)*(follower.DefaultWait+follower.DefaultGrace)
			if took := time.Since(begun); took > limit {
				t.Fatalf("the change came in force after %s, limit %s", took, limit)
			}
			cancel()
			<-ended
			checkCalls(t, machines, time.Minute+after+limit)
		})
	})
}

// stand makes the stand-ins; awkward counts those that hold calls up.
func stand(kinds []behaviour, accepted *atomic.Pointer[configuration.Index]) (machines []*machine, sources []rockwindpb.ConfigurationService, awkward int) {
	for _, kind := range kinds {
		created := &machine{behaviour: kind, accepted: accepted}
		machines, sources = append(machines, created), append(sources, created)
		if kind == frozen {
			awkward++
		}
	}
	return machines, sources, awkward
}

// checkCalls checks that machines that do not answer are asked rarely.
func checkCalls(t *testing.T, machines []*machine, length time.Duration) {
	for _, each := range machines {
		most := 10 + int(length/follower.LongestAvoidance)*3
		if each.behaviour == stranger {
			most = 2
		}
		if each.behaviour != replicates && each.calls > most {
			t.Fatalf("a machine that does not answer (%d) was asked %d times in %s", each.behaviour, each.calls, length)
		}
	}
}

func randomOf(seed int) *rand.Rand { return rand.New(rand.NewPCG(uint64(seed), 1)) }

// slowMachine answers with news after a transfer that takes its time.
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
		return &rockwindpb.WatchConfigurationResponse{Change: m.accepted.Full()}, nil
	}
}

// Hints that repeat the same news do not break off a transfer that takes longer
// than the time between them.
func TestRepeatedHintsLetTransfersEnd(t *testing.T) {
	const transfer, between, limit = 3 * time.Second, time.Second, 10 * time.Second
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		source := slowMachine{accepted: numbered(t, 1), transfer: transfer}
		following, err := follower.New(follower.Options{
			Sources: []rockwindpb.ConfigurationService{source, source}, Folder: folder,
			Log: &log.Logger{Handler: discard.Default}, Random: randomOf(1),
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
