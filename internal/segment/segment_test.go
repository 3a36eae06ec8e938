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
	// repairTimeout covers sealing orphans, copying missing data, and finding and
	// repairing damage.
	repairTimeout = 10 * time.Minute
	// storeTimeout bounds one Store call.
	storeTimeout = 20 * time.Second
)

// machine is one machine of a cluster.
type machine struct {
	name   string
	disk   *disk
	node   *segment.Node
	stop   context.CancelFunc
	ended  chan struct{}
	frozen chan struct{}
}

// cluster is a set of machines with the bodies that they acknowledged.
type cluster struct {
	mutex    sync.Mutex
	random   *rand.Rand
	machines []*machine
	stored   []storedBody
	// impaired has the machines whose disk was lost or damaged since the last repair.
	impaired map[int]bool
	// damaged is set when a disk was damaged, which only scrubbing detects.
	damaged bool
}

type storedBody struct {
	reference *rockwindpb.BodyReference
	body      []byte
}

func newCluster(count int, seed uint64) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 1)), impaired: make(map[int]bool)}
	for index := range count {
		c.machines = append(c.machines, &machine{name: fmt.Sprintf("machine-%d", index), disk: newDisk()})
	}
	for index := range count {
		c.start(index)
	}
	return c
}

// link is the client of a machine's segment service. Calls fail while the machine
// is down and block while it is frozen.
type link struct {
	cluster *cluster
	target  int
}

func (l link) service(ctx context.Context) (rockwindpb.SegmentService, error) {
	l.cluster.mutex.Lock()
	target := l.cluster.machines[l.target]
	node, frozen := target.node, target.frozen
	l.cluster.mutex.Unlock()
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

func (c *cluster) start(index int) {
	starting := c.machines[index]
	if starting.node != nil {
		return
	}
	options := segment.Options{
		Machine: starting.name, DiskID: starting.name, Files: starting.disk,
		SegmentBytes: 4096, ScrubInterval: time.Minute, Random: c.random.Uint64,
	}
	for other := range c.machines {
		if other != index {
			options.Peers = append(options.Peers, segment.Peer{Machine: c.machines[other].name, Service: link{c, other}})
		}
	}
	node, err := segment.Open(options)
	if err != nil {
		panic(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	c.mutex.Lock()
	starting.node, starting.stop, starting.ended, starting.frozen = node, stop, ended, nil
	c.mutex.Unlock()
	go func() {
		defer close(ended)
		_ = node.Run(ctx)
	}()
}

// kill crashes a machine and its disk.
func (c *cluster) kill(index int) {
	killed := c.machines[index]
	if killed.node == nil {
		return
	}
	crashed := killed.disk.crash(c.random)
	c.mutex.Lock()
	killed.node, killed.disk = nil, crashed
	c.mutex.Unlock()
	killed.stop()
	<-killed.ended
}

// store stores random bodies at a machine and records the acknowledged ones. A
// machine is killed during the call unless killed is negative.
func (c *cluster) store(index int, killed int) {
	node := c.machines[index].node
	if node == nil {
		return
	}
	bodies := make([][]byte, 1+c.random.IntN(4))
	for position := range bodies {
		bodies[position] = make([]byte, c.random.IntN(600))
		for at := range bodies[position] {
			bodies[position][at] = byte(c.random.Uint32())
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	done := make(chan []*rockwindpb.BodyReference, 1)
	go func() {
		references, _ := node.Store(ctx, bodies)
		done <- references
	}()
	if killed >= 0 {
		c.kill(killed)
	}
	for position, reference := range <-done {
		c.stored = append(c.stored, storedBody{reference: reference, body: bodies[position]})
	}
}

// startAll starts the machines that are down, unfreezes the frozen ones and frees
// the full disks.
func (c *cluster) startAll() {
	for index, known := range c.machines {
		known.disk.setFull(false)
		c.mutex.Lock()
		known.frozen = nil
		c.mutex.Unlock()
		c.start(index)
	}
}

// repair waits until a machine reports that all copies are repaired. Damage must be
// given time to be found by a scrub first.
func (c *cluster) repair() error {
	c.startAll()
	if c.damaged {
		time.Sleep(repairTimeout)
		c.damaged = false
	}
	asked := c.machines[c.random.IntN(len(c.machines))].node
	for range repairTimeout / time.Second {
		if asked.Copies(context.Background()).GetRepaired() {
			clear(c.impaired)
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("not repaired in %s: %v", repairTimeout, asked.Copies(context.Background()))
}

// check reads every acknowledged body from every machine.
func (c *cluster) check() error {
	c.startAll()
	for _, reader := range c.machines {
		for _, wanted := range c.stored {
			read, err := reader.node.Read(context.Background(), []*rockwindpb.BodyReference{wanted.reference})
			if err != nil {
				return fmt.Errorf("%s cannot read segment %x at %d: %w", reader.name, wanted.reference.GetSegment(), wanted.reference.GetOffset(), err)
			}
			if !bytes.Equal(read[0], wanted.body) {
				return fmt.Errorf("%s reads different bytes", reader.name)
			}
		}
	}
	return nil
}

// action is one step of a run. It is drawn before the run, so that rapid can shrink
// a failing run.
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
	actionLossRound
	actionDamageRound
	actionMinorityDownRound
	actionKinds
)

// perform runs one action. At most survivable disks are lost or damaged between two
// repairs.
func (c *cluster) perform(step action, survivable int) error {
	index := step.Machine % len(c.machines)
	mayImpair := c.impaired[index] || len(c.impaired) < survivable
	switch step.Kind {
	case actionStore:
		c.store(index, -1)
	case actionStoreAndKill:
		c.store(index, c.random.IntN(len(c.machines)))
	case actionKill:
		c.kill(index)
	case actionStart:
		c.start(index)
	case actionLoseDisk:
		if mayImpair {
			c.loseDisk(index)
		}
	case actionDamage:
		if mayImpair {
			c.damageDisk(index)
		}
	case actionFreeze:
		c.mutex.Lock()
		c.machines[index].frozen = make(chan struct{})
		c.mutex.Unlock()
	case actionFillDisk:
		c.machines[index].disk.setFull(true)
	case actionWait:
		time.Sleep(7 * time.Second)
	case actionRepair:
		return errors.Join(c.repair(), c.check())
	case actionLossRound:
		return c.lossRound(index, survivable, c.loseDisk)
	case actionDamageRound:
		return c.lossRound(index, survivable, c.damageDisk)
	case actionMinorityDownRound:
		return c.minorityDownRound(index, survivable)
	}
	return nil
}

// lossRound impairs the maximum number of disks and waits for their repair; the
// next round then fails if the repair was incomplete.
func (c *cluster) lossRound(first, survivable int, impair func(int)) error {
	c.store(first, -1)
	if err := c.repair(); err != nil {
		return err
	}
	for offset := range survivable {
		impair((first + offset) % len(c.machines))
	}
	return errors.Join(c.check(), c.repair())
}

// minorityDownRound stores bodies while a minority of the machines is down, and then
// loses disks of machines that acknowledged them.
func (c *cluster) minorityDownRound(first, survivable int) error {
	if err := c.repair(); err != nil {
		return err
	}
	count := len(c.machines)
	for offset := range survivable {
		c.kill((first + 1 + offset) % count)
	}
	c.store(first, -1)
	c.loseDisk(first)
	for offset := range survivable - 1 {
		c.loseDisk((first + 1 + survivable + offset) % count)
	}
	return errors.Join(c.check(), c.repair())
}

func (c *cluster) loseDisk(index int) {
	c.kill(index)
	c.machines[index].disk = newDisk()
	c.impaired[index] = true
	c.start(index)
}

// damagedBytes is the number of bytes that damageDisk changes.
const damagedBytes = 5

func (c *cluster) damageDisk(index int) {
	for range damagedBytes {
		c.machines[index].disk.damage(c.random)
	}
	c.impaired[index] = true
	c.damaged = true
}

func (c *cluster) end() {
	for index := range c.machines {
		c.kill(index)
	}
}

// TestAcknowledgedBodiesStayReadable checks that every acknowledged body stays
// readable from every machine through crashes, torn writes, lost, damaged and full
// disks, and frozen machines.
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
				if err := runCluster(t, size.machines, size.survivable, seed, steps); err != nil {
					rt.Fatal(err)
				}
			})
		})
	}
}

func runCluster(t *testing.T, machines, survivable int, seed uint64, steps []action) (failure error) {
	synctest.Test(t, func(*testing.T) {
		c := newCluster(machines, seed)
		defer c.end()
		for _, step := range steps {
			if failure = c.perform(step, survivable); failure != nil {
				return
			}
		}
		failure = c.check()
	})
	return failure
}

// TestRepairOutlivesASilentMachine checks that repair replaces all lost copies after
// a machine was frozen while the others ran repair rounds.
func TestRepairOutlivesASilentMachine(t *testing.T) {
	const machines, survivable, silent = 5, 2, 4
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(machines, 1)
		defer c.end()
		if err := c.perform(action{Kind: actionFreeze, Machine: silent}, survivable); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		c.startAll()
		for first := range machines {
			c.store(first, -1)
			if err := c.lossRound(first, survivable, c.loseDisk); err != nil {
				t.Fatalf("round %d: %v", first, err)
			}
			for _, stored := range c.stored {
				if holders := c.holders(t, stored.reference); holders < survivable+1 {
					t.Fatalf("round %d: only %d copies after a repair", first, holders)
				}
			}
		}
	})
}
