package replica_test

import (
	"context"
	"sync/atomic"
	"testing"

	"rockwind.example/rockwind/internal/replica"
)

// publishing is a state machine that counts the commands that it has shown.
type publishing struct {
	*registers
	applied, shown, times atomic.Int64
}

func (p *publishing) Apply(index uint64, command []byte) any {
	p.applied.Add(1)
	return p.registers.Apply(index, command)
}

// Publish implements replica.Publisher.
func (p *publishing) Publish() {
	p.times.Add(1)
	p.shown.Store(p.applied.Load())
}

// TestStateIsShownBeforeProposersAreAnswered: who proposed a command finds it in what the
// state machine shows. A machine that starts again shows what it finds in its log at once, and
// not with each command.
func TestStateIsShownBeforeProposersAreAnswered(t *testing.T) {
	const commands = 50
	var created *publishing
	adjust := func(options *replica.Options) {
		options.StateMachines = func(group uint32) replica.StateMachine {
			created = &publishing{registers: newRegisters(group).(*registers)}
			return created
		}
	}
	inBubbleWith(t, 1, 0, adjust, func(f *fleet) {
		m := f.machines[0]
		f.leader(0)
		for i := range commands {
			if _, err := m.group(0).Propose(context.Background(), encode(command{Key: "a", Value: 1})); err != nil {
				t.Fatal(err)
			}
			if shown := created.shown.Load(); shown != int64(i+1) {
				t.Fatalf("%d commands are shown after %d", shown, i+1)
			}
		}
		f.kill(m)
		f.start(m)
		f.leader(0)
		f.eventually("all is shown", func() bool { return created.shown.Load() == commands })
		if times := created.times.Load(); times > commands/2 {
			t.Fatalf("shown %d times for %d commands of the log", times, commands)
		}
	})
}
