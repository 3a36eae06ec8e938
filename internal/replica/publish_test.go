package replica_test

import (
	"context"
	"sync/atomic"
	"testing"

	"rockwind.example/rockwind/internal/replica"
)

// countingPublisher is a state machine that counts the commands whose effect it has published.
type countingPublisher struct {
	*registers
	applied, published, publishCount atomic.Int64
}

func (p *countingPublisher) Apply(index uint64, command []byte) any {
	p.applied.Add(1)
	return p.registers.Apply(index, command)
}

// Publish implements replica.Publisher.
func (p *countingPublisher) Publish() {
	p.publishCount.Add(1)
	p.published.Store(p.applied.Load())
}

// TestStateIsShownBeforeProposersAreAnswered checks that the effect of a command is published
// before its proposer gets the result, and that a restart publishes replayed commands in batches.
func TestStateIsShownBeforeProposersAreAnswered(t *testing.T) {
	const commands = 50
	var created *countingPublisher
	adjust := func(options *replica.Options) {
		options.StateMachines = func(group uint32) replica.StateMachine {
			created = &countingPublisher{registers: newRegisters(group).(*registers)}
			return created
		}
	}
	runClusterWithShards(t, 1, 0, adjust, func(f *testCluster) {
		m := f.machines[0]
		f.leader(0)
		for i := range commands {
			if _, err := m.group(0).Propose(context.Background(), encode(command{Key: "a", Value: 1})); err != nil {
				t.Fatal(err)
			}
			if published := created.published.Load(); published != int64(i+1) {
				t.Fatalf("%d commands are published after %d", published, i+1)
			}
		}
		f.kill(m)
		f.start(m)
		f.leader(0)
		f.eventually("all commands are published", func() bool { return created.published.Load() == commands })
		if publishCount := created.publishCount.Load(); publishCount > commands/2 {
			t.Fatalf("published %d times for %d replayed commands", publishCount, commands)
		}
	})
}
