package segment_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/segment"
)

const (
	// repairTime is enough for orphans to be sealed, missing copies to be made
	// and damage to be found and mended.
	repairTime = 10 * time.Minute
	// storeTime bounds one store.
	storeTime = 20 * time.Second
)

// machine is one machine of the test's cluster.
type machine struct {
	name   string
	disk   *disk
	node   *segment.Node
	stop   context.CancelFunc
	ended  chan struct{}
	frozen chan struct{}
}

// world is a cluster with an oracle of what was acknowledged.
type world struct {
	mutex    sync.Mutex
	random   *rand.Rand
	machines []*machine
	stored   []storedBody
	// spoiled names the machines whose disk was lost or damaged since the last
	// repair.
	spoiled map[int]bool
	// damaged tells that a disk was damaged, which only scrubbing finds.
	damaged bool
}

type storedBody struct {
	reference *rockwindpb.BodyReference
	body      []byte
}

func newWorld(count int, seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), spoiled: make(map[int]bool)}
	for index := range count {
		w.machines = append(w.machines, &machine{name: fmt.Sprintf("machine-%d", index), disk: newDisk()})
	}
	for index := range count {
		w.start(index)
	}
	return w
}

// link is the way from one machine to another; it fails while the other is down
// and hangs while it is frozen.
type link struct {
	world  *world
	target int
}

func (l link) service(ctx context.Context) (rockwindpb.SegmentService, error) {
	l.world.mutex.Lock()
	target := l.world.machines[l.target]
	node, frozen := target.node, target.frozen
	l.world.mutex.Unlock()
	if node == nil {
		return nil, fault.New(fault.Unavailable, "the machine is down", "start it")
	}
	if frozen != nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return node.SegmentService(), nil
}

func (l link) Append(ctx context.Context, request *rockwindpb.AppendSegmentRequest) (*rockwindpb.AppendSegmentResponse, error) {
	service, err := l.service(ctx)
	if err != nil {
		return nil, err
	}
	return service.Append(ctx, request)
}

func (l link) Read(ctx context.Context, request *rockwindpb.ReadSegmentRequest) (*rockwindpb.ReadSegmentResponse, error) {
	service, err := l.service(ctx)
	if err != nil {
		return nil, err
	}
	return service.Read(ctx, request)
}

func (l link) List(ctx context.Context, request *rockwindpb.ListSegmentsRequest) (*rockwindpb.ListSegmentsResponse, error) {
	service, err := l.service(ctx)
	if err != nil {
		return nil, err
	}
	return service.List(ctx, request)
}

func (l link) Copies(ctx context.Context, request *rockwindpb.CopiesRequest) (*rockwindpb.CopiesResponse, error) {
	service, err := l.service(ctx)
	if err != nil {
		return nil, err
	}
	return service.Copies(ctx, request)
}

func (l link) Retain(ctx context.Context, request *rockwindpb.RetainSegmentsRequest) (*rockwindpb.RetainSegmentsResponse, error) {
	service, err := l.service(ctx)
	if err != nil {
		return nil, err
	}
	return service.Retain(ctx, request)
}

func (w *world) start(index int) {
	starting := w.machines[index]
	if starting.node != nil {
		return
	}
	options := segment.Options{
		Machine: starting.name, DiskID: starting.name, Files: starting.disk,
		SegmentBytes: 4096, ScrubInterval: time.Minute, Random: w.random.Uint64,
	}
	for other := range w.machines {
		if other != index {
			options.Peers = append(options.Peers, segment.Peer{Machine: w.machines[other].name, Service: link{w, other}})
		}
	}
	node, err := segment.Open(options)
	if err != nil {
		panic(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	w.mutex.Lock()
	starting.node, starting.stop, starting.ended, starting.frozen = node, stop, ended, nil
	w.mutex.Unlock()
	go func() {
		defer close(ended)
		_ = node.Run(ctx)
	}()
}

// kill ends a machine in the middle of whatever it does.
func (w *world) kill(index int) {
	killed := w.machines[index]
	if killed.node == nil {
		return
	}
	crashed := killed.disk.crash(w.random)
	w.mutex.Lock()
	killed.node, killed.disk = nil, crashed
	w.mutex.Unlock()
	killed.stop()
	<-killed.ended
}

// store stores bodies at a machine and keeps those that are acknowledged. The
// call may be cut short by a kill of any machine.
func (w *world) store(index int, killed int) {
	node := w.machines[index].node
	if node == nil {
		return
	}
	bodies := make([][]byte, 1+w.random.IntN(4))
	for position := range bodies {
		bodies[position] = make([]byte, w.random.IntN(600))
		for at := range bodies[position] {
			bodies[position][at] = byte(w.random.Uint32())
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTime)
	defer cancel()
	done := make(chan []*rockwindpb.BodyReference, 1)
	go func() {
		references, _ := node.Store(ctx, bodies)
		done <- references
	}()
	if killed >= 0 {
		w.kill(killed)
	}
	for position, reference := range <-done {
		w.stored = append(w.stored, storedBody{reference: reference, body: bodies[position]})
	}
}

// startAll starts what is down and thaws what is frozen.
func (w *world) startAll() {
	for index, known := range w.machines {
		known.disk.setFull(false)
		w.mutex.Lock()
		known.frozen = nil
		w.mutex.Unlock()
		w.start(index)
	}
}

// repair waits until a machine says that all copies are made again. As much may
// then be lost at once; damage, though, shows only after the next scrub.
func (w *world) repair() error {
	w.startAll()
	if w.damaged {
		time.Sleep(repairTime)
		w.damaged = false
	}
	asked := w.machines[w.random.IntN(len(w.machines))].node
	for range repairTime / time.Second {
		if asked.Copies(context.Background()).GetRepaired() {
			clear(w.spoiled)
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("not repaired in %s: %v", repairTime, asked.Copies(context.Background()))
}

// check reads everything acknowledged from every machine.
func (w *world) check() error {
	w.startAll()
	for _, reader := range w.machines {
		for _, wanted := range w.stored {
			read, err := reader.node.Read(context.Background(), []*rockwindpb.BodyReference{wanted.reference})
			if err != nil {
				return fmt.Errorf("%s cannot read segment %x at %d: %w", reader.name, wanted.reference.GetSegment(), wanted.reference.GetOffset(), err)
			}
			if !bytes.Equal(read[0], wanted.body) {
				return fmt.Errorf("%s reads other bytes", reader.name)
			}
		}
	}
	return nil
}

// action is one step of a run; what it does follows from numbers drawn before
// the run, so that a failing run shrinks.
type action struct {
	Kind    int
	Machine int
}

const (
	actionStore = iota
	actionStoreAndKill
	actionKill
	actionStart
	actionLoseDisk
	actionDamage
	actionFreeze
	actionFillDisk
	actionWait
	actionRepair
	actionLoseRound
	actionDamageRound
	actionNarrowRound
	actionKinds
)

// perform runs one action. Disks are lost or damaged only as far as the copies
// of an acknowledged body must survive.
func (w *world) perform(step action, survivable int) error {
	index := step.Machine % len(w.machines)
	maySpoil := w.spoiled[index] || len(w.spoiled) < survivable
	switch step.Kind {
	case actionStore:
		w.store(index, -1)
	case actionStoreAndKill:
		w.store(index, w.random.IntN(len(w.machines)))
	case actionKill:
		w.kill(index)
	case actionStart:
		w.start(index)
	case actionLoseDisk:
		if maySpoil {
			w.loseDisk(index)
		}
	case actionDamage:
		if maySpoil {
			w.damageDisk(index)
		}
	case actionFreeze:
		w.mutex.Lock()
		w.machines[index].frozen = make(chan struct{})
		w.mutex.Unlock()
	case actionFillDisk:
		w.machines[index].disk.setFull(true)
	case actionWait:
		time.Sleep(7 * time.Second)
	case actionRepair:
		return errors.Join(w.repair(), w.check())
	case actionLoseRound:
		return w.round(index, survivable, w.loseDisk)
	case actionDamageRound:
		return w.round(index, survivable, w.damageDisk)
	case actionNarrowRound:
		return w.narrowRound(index, survivable)
	}
	return nil
}

// round spoils as many disks as must be survived, from one machine on, and lets
// them be repaired, so that a next round shows whether the repair was whole.
func (w *world) round(first, survivable int, spoil func(int)) error {
	w.store(first, -1)
	if err := w.repair(); err != nil {
		return err
	}
	for offset := range survivable {
		spoil((first + offset) % len(w.machines))
	}
	return errors.Join(w.check(), w.repair())
}

// narrowRound stores while as many machines are down as can be, and then loses
// disks of those that took the bodies.
func (w *world) narrowRound(first, survivable int) error {
	if err := w.repair(); err != nil {
		return err
	}
	count := len(w.machines)
	for offset := range survivable {
		w.kill((first + 1 + offset) % count)
	}
	w.store(first, -1)
	w.loseDisk(first)
	for offset := range survivable - 1 {
		w.loseDisk((first + 1 + survivable + offset) % count)
	}
	return errors.Join(w.check(), w.repair())
}

func (w *world) loseDisk(index int) {
	w.kill(index)
	w.machines[index].disk = newDisk()
	w.spoiled[index] = true
	w.start(index)
}

// damagedBytes is how many bytes one action changes.
const damagedBytes = 5

func (w *world) damageDisk(index int) {
	for range damagedBytes {
		w.machines[index].disk.damage(w.random)
	}
	w.spoiled[index] = true
	w.damaged = true
}

func (w *world) end() {
	for index := range w.machines {
		w.kill(index)
	}
}

// TestAcknowledgedBodiesStayReadable drives clusters through kills, torn writes,
// lost and damaged disks, frozen machines and full disks, and checks that every
// acknowledged body is readable from every machine.
func TestAcknowledgedBodiesStayReadable(t *testing.T) {
	for _, size := range []struct{ machines, survivable int }{{3, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d machines", size.machines), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				seed := rapid.Uint64().Draw(rt, "seed")
				steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) action {
					return action{
						Kind:    rapid.IntRange(0, actionKinds-1).Draw(rt, "kind"),
						Machine: rapid.IntRange(0, size.machines-1).Draw(rt, "machine"),
					}
				}), 1, 40).Draw(rt, "steps")
				if err := runWorld(t, size.machines, size.survivable, seed, steps); err != nil {
					rt.Fatal(err)
				}
			})
		})
	}
}

func runWorld(t *testing.T, machines, survivable int, seed uint64, steps []action) (failure error) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(machines, seed)
		defer w.end()
		for _, step := range steps {
			if failure = w.perform(step, survivable); failure != nil {
				return
			}
		}
		failure = w.check()
	})
	return failure
}

// TestRepairOutlivesASilentMachine lets one machine stand still, in silence,
// while the others repair. Once it goes on, a repair must make all copies again
// that the loss of two disks took, so that two more may be lost.
func TestRepairOutlivesASilentMachine(t *testing.T) {
	const machines, survivable, silent = 5, 2, 4
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(machines, 1)
		defer w.end()
		if err := w.perform(action{Kind: actionFreeze, Machine: silent}, survivable); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		w.startAll()
		for first := range machines {
			w.store(first, -1)
			if err := w.round(first, survivable, w.loseDisk); err != nil {
				t.Fatalf("round %d: %v", first, err)
			}
			for _, stored := range w.stored {
				if holders := w.holders(t, stored.reference); holders < survivable+1 {
					t.Fatalf("round %d: %d copies are left after a repair", first, holders)
				}
			}
		}
	})
}
