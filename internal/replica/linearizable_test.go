package replica_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
)

const (
	clients      = 6
	faultSeconds = 40
	checkTimeout = 20 * time.Second
)

// operation is a client's request. It changes nothing if read is set.
type operation struct {
	command command
	read    bool
}

// outcome is the response to an operation. It is unknown if the response was lost.
type outcome struct {
	value   int
	unknown bool
}

// registerModel is the sequential specification of the registers.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		var keys []string
		for _, recorded := range history {
			key := recorded.Input.(operation).command.Key
			if byKey[key] == nil {
				keys = append(keys, key)
			}
			byKey[key] = append(byKey[key], recorded)
		}
		var parts [][]porcupine.Operation
		for _, key := range keys {
			parts = append(parts, byKey[key])
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		asked, answered := input.(operation), output.(outcome)
		next := state.(int)
		switch {
		case asked.read:
		case asked.command.Set:
			next = asked.command.Value
		default:
			next += asked.command.Value
		}
		return answered.unknown || answered.value == next, next
	},
}

// recorder records a history. Its clock counts calls and returns, which orders them more strictly
// than virtual time.
type recorder struct {
	clock   atomic.Int64
	mutex   sync.Mutex
	history []porcupine.Operation
	refused int
}

func (r *recorder) record(recorded porcupine.Operation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history = append(r.history, recorded)
}

// call performs an operation at a machine and records it. A rejected operation is not recorded,
// since it must have had no effect.
func (r *recorder) call(client int, m *machine, asked operation) {
	group := m.group(1)
	if group == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	recorded := porcupine.Operation{ClientId: client, Input: asked, Call: r.clock.Add(1)}
	value, err := perform(ctx, m, group, asked)
	recorded.Return = r.clock.Add(1)
	recorded.Output = outcome{value: value}
	switch {
	case err == nil:
	case !asked.read && fault.Is(err, fault.OutcomeUnknown):
		recorded.Output = outcome{unknown: true}
		recorded.Return = math.MaxInt64
	default:
		r.mutex.Lock()
		r.refused++
		r.mutex.Unlock()
		return
	}
	r.record(recorded)
}

func perform(ctx context.Context, m *machine, group replica.Group, asked operation) (int, error) {
	if asked.read {
		state, value := m.state(1), 0
		err := group.Read(ctx, func() { value = state.get(asked.command.Key) })
		return value, err
	}
	result, err := group.Propose(ctx, encode(asked.command))
	if err != nil {
		return 0, err
	}
	return result.(int), nil
}

func (r *recorder) runClient(f *testCluster, client int, seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, uint64(client)))
	preferred := f.machines[0]
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(200)) * time.Millisecond):
		}
		if leader := f.leaderNow(1); leader != nil && random.IntN(4) > 0 {
			preferred = leader
		} else if random.IntN(2) == 0 {
			preferred = f.machines[random.IntN(len(f.machines))]
		}
		asked := operation{
			command: command{Key: fmt.Sprint("key-", random.IntN(3)), Set: random.IntN(4) == 0, Value: 1 + random.IntN(1000)},
			read:    random.IntN(2) == 0,
		}
		r.call(client, preferred, asked)
	}
}

// injectFault injects a random fault. It erases a disk only if all earlier losses have been
// repaired, since the system tolerates no more.
func (f *testCluster) injectFault(random *rand.Rand) {
	m := f.machines[random.IntN(len(f.machines))]
	other := f.machines[random.IntN(len(f.machines))]
	switch random.IntN(9) {
	case 0:
		f.kill(m)
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		f.start(m)
	case 1:
		f.crash(m)
		f.start(m)
	case 2:
		if f.fullyRepaired() {
			f.loseDisk(m)
			f.start(m)
		}
	case 3:
		f.links.Cut(m.name, other.name)
	case 4:
		for _, peer := range f.machines {
			f.links.CutBoth(m.name, peer.name)
		}
	case 5:
		delay := time.Duration(random.IntN(50)) * time.Millisecond
		m.disk.DelaySync(func() { time.Sleep(delay) })
	case 6:
		if group := m.group(1); group != nil {
			_ = group.ReadLocal(context.Background(), func() { time.Sleep(3 * time.Second) })
		}
	case 7:
		if host := m.running(); host != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, _ = host.Service().TransferLeadership(ctx, nil)
			cancel()
		}
	default:
		f.links.Heal()
		m.disk.DelaySync(nil)
	}
}

// healAndWait removes the injected faults and waits until the cluster is fully repaired.
func (f *testCluster) healAndWait() {
	f.t.Helper()
	f.links.Heal()
	for _, m := range f.machines {
		m.disk.DelaySync(nil)
	}
	f.eventually("the cluster is repaired after the faults", f.fullyRepaired)
}

// TestHistoriesAreLinearizable checks that histories recorded under crashes, partitions, freezes,
// slow disks and lost disks are linearizable for each key, and that rejected operations have no
// effect.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		size := 3 + 2*int(seed%2)
		t.Run(fmt.Sprintf("seed %d, %d machines", seed, size), func(t *testing.T) {
			history := &recorder{}
			adjust := func(o *replica.Options) { o.SnapshotEntries = 40; o.SegmentBytes = 8192 }
			runCluster(t, size, adjust, func(f *testCluster) { history.run(f, seed) })
			verdict := porcupine.CheckOperationsTimeout(registerModel, history.history, checkTimeout)
			t.Logf("%d operations, %d refused", len(history.history), history.refused)
			if verdict != porcupine.Ok {
				t.Fatalf("the history is not linearizable: %s", verdict)
			}
		})
	}
}

func (r *recorder) run(f *testCluster, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	stop := make(chan struct{})
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() { r.runClient(f, client, seed, stop) })
	}
	for end := time.Now().Add(faultSeconds * time.Second); time.Now().Before(end); {
		f.injectFault(random)
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	f.healAndWait()
	close(stop)
	group.Wait()
	for key := range 3 {
		r.call(clients, f.leader(1), operation{command: command{Key: fmt.Sprint("key-", key)}, read: true})
	}
}
