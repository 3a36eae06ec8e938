package replica

import (
	"context"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
	"rockwind.example/rockwind/internal/wal"
)

// Host runs the replicas of this machine: many groups that share one log, one
// transport and one clock.
//
// A host with an empty disk runs no group and never votes. It takes part once
// Found has made it a founding member, or once machines that already belong to
// a cluster have let it join.
type Host struct {
	options   Options
	log       *wal.Log
	writer    *writer
	transport *transport
	receiver  *receiver
	inCluster chan struct{}

	// started is closed once Run has started the groups.
	started chan struct{}

	// Set by Run before it starts any goroutine.
	ctx     context.Context
	workers *errgroup.Group

	// joinSlot serializes calls to joinCluster.
	joinSlot chan struct{}

	mutex             sync.Mutex
	running           bool
	cluster           *cluster
	owners            map[uint32]*owner
	leadershipChanged chan struct{}
	// tickDelays are those of the ticks of all groups.
	tickDelays tickDelays
	// encodingSnapshot is set while a group encodes and saves a snapshot. Only one does at a time, so that
	// the encoded states of all groups are never in memory together.
	encodingSnapshot atomic.Bool
	// encodedBytes and sentBytes are the sizes of the snapshots that are being saved and sent.
	encodedBytes, sentBytes atomic.Int64
	// lastJoinMembers lists the members in the latest response to a join call.
	lastJoinMembers []*rockwindpb.ControlMachine
	// groupChecksums maps an address to the checksum of the groups in its latest
	// response to a join call.
	groupChecksums map[string]uint64
	// joinedAt is when another machine first let this one join its cluster. It is
	// zero if this machine founded the cluster or belonged to it at startup.
	joinedAt time.Time
	// spares are the machines that ask to join.
	spares spares
	// invitations holds the address of a machine whose messages are for a group that does not run here yet.
	invitations chan string
}

// NewHost opens the log in options.Folder. It fails with fault.Corrupt if the
// stored data is damaged. Run starts the groups.
func NewHost(options Options) (*Host, error) {
	options.setDefaults()
	if err := checkOptions(&options); err != nil {
		return nil, err
	}
	opened, err := wal.Open(wal.Options{
		Folder:        options.Folder,
		FileSystem:    options.FileSystem,
		SegmentBytes:  options.SegmentBytes,
		TrailingBytes: options.TrailingBytes,

		MinTrailingBytes: options.MinSnapshotBytes / 2,
	})
	if err != nil {
		return nil, err
	}
	h := &Host{
		options:           options,
		log:               opened,
		receiver:          newReceiver(),
		inCluster:         make(chan struct{}),
		joinSlot:          make(chan struct{}, 1),
		started:           make(chan struct{}),
		owners:            map[uint32]*owner{},
		leadershipChanged: make(chan struct{}),

		groupChecksums: make(map[string]uint64),
		invitations:    make(chan string, 1),
	}
	h.writer = newWriter(opened, h.requestSnapshots)
	h.transport = newTransport(h)
	if h.cluster, err = loadCluster(options.FileSystem, options.Folder, opened.DiskID()); err != nil {
		return nil, errors.CombineErrors(err, opened.Close())
	}
	if h.cluster != nil && opened.Fresh() {
		return nil, damagedFolder("the log is missing in " + filepath.Clean(options.Folder))
	}
	return h, nil
}

func checkOptions(options *Options) error {
	switch {
	case options.Machine == "" || options.Address == "":
		return errors.New("a replica host needs a machine name and an address")
	case options.Folder == "":
		return errors.New("a replica host needs a data folder")
	case options.StateMachines == nil:
		return errors.New("a replica host needs state machines")
	case options.leaseTicks() < 2:
		return errors.Newf("an election timeout of %d ticks is too short", options.ElectionTicks)
	}
	return nil
}

// Run runs the groups until the context ends and then returns nil. It returns an
// error if this replica cannot continue: a sync failed, stored data is damaged or
// the protocol was violated. The process must then exit and may be restarted.
// Run may be called once.
func (h *Host) Run(ctx context.Context) error {
	workers, ctx := errgroup.WithContext(ctx)
	h.ctx, h.workers = ctx, workers
	workers.Go(func() error {
		<-ctx.Done()
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.running = false
		return nil
	})
	h.mutex.Lock()
	h.running = true
	err := h.startGroups()
	h.mutex.Unlock()
	close(h.started)
	if err != nil {
		workers.Go(func() error { return err })
	}
	h.spawn(func() error { return h.writer.run(ctx) })
	h.spawn(h.runTicker)
	h.spawn(h.runJoinLoop)
	err = workers.Wait()
	return errors.CombineErrors(err, h.log.Close())
}

// hasStarted reports whether the groups of which this machine is a member run.
func (h *Host) hasStarted() bool {
	select {
	case <-h.started:
		return true
	default:
		return false
	}
}

// spawn runs a goroutine that must end with the context. If it returns an error, the
// host stops.
func (h *Host) spawn(run func() error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.spawnLocked(run)
}

func (h *Host) spawnLocked(run func() error) {
	if h.running {
		h.workers.Go(run)
	}
}

// startGroups starts the groups that have this machine as a member and that do
// not run yet. The caller holds the mutex.
func (h *Host) startGroups() error {
	if h.cluster == nil {
		return nil
	}
	for _, group := range h.cluster.groups {
		if h.owners[group.GetGroup()] != nil || !hasMachine(group.GetMembership(), h.options.Machine) {
			continue
		}
		started, err := newOwner(h.ctx, h, group)
		if err != nil {
			return err
		}
		h.owners[group.GetGroup()] = started
		h.spawnLocked(started.run)
	}
	select {
	case <-h.inCluster:
	default:
		close(h.inCluster)
	}
	return nil
}

// InCluster returns a channel that is closed once the host belongs to a cluster
// and its groups run.
func (h *Host) InCluster() <-chan struct{} {
	return h.inCluster
}

// Group returns a group that this machine runs with its state. It does not return groups of which this
// machine holds a witness.
func (h *Host) Group(id uint32) (Group, bool) {
	found := h.owner(id)
	if found == nil || found.witness {
		return nil, false
	}
	return found, true
}

// Groups returns the sorted ids of the groups that this machine runs.
func (h *Host) Groups() []uint32 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	ids := make([]uint32, 0, len(h.owners))
	for id := range h.owners {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// DiskID returns the identity of this machine's disk.
func (h *Host) DiskID() uint64 {
	return h.log.DiskID()
}

func (h *Host) owner(id uint32) *owner {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.owners[id]
}

func (h *Host) allOwners() []*owner {
	var owners []*owner
	for _, id := range h.Groups() {
		owners = append(owners, h.owner(id))
	}
	return owners
}

// knownGroup is a group of the cluster; owner is nil if it does not run here.
type knownGroup struct {
	founding *rockwindpb.FoundingGroup
	owner    *owner
}

// knownGroups returns the cluster, or nil if there is none, and its groups.
// Callers must query the owners without holding the host's mutex: an owner may
// wait for the transport, which in turn starts goroutines of the host.
func (h *Host) knownGroups() (*cluster, []knownGroup) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.cluster == nil {
		return nil, nil
	}
	var groups []knownGroup
	for _, founding := range h.cluster.groups {
		groups = append(groups, knownGroup{founding: founding, owner: h.owners[founding.GetGroup()]})
	}
	return h.cluster, groups
}

func (h *Host) clusterID() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.cluster == nil {
		return ""
	}
	return h.cluster.id
}

// targetOwner returns the owner of the group that a call from another machine is for.
func (h *Host) targetOwner(clusterID, machine string, group uint32) (*owner, error) {
	if err := h.checkCaller(clusterID, machine); err != nil {
		return nil, err
	}
	if found := h.owner(group); found != nil {
		return found, nil
	}
	return nil, unavailable("the group does not run here")
}

// checkCaller refuses calls over a cut link and of another cluster.
func (h *Host) checkCaller(clusterID, machine string) error {
	if !h.options.Allow(machine, h.options.Machine) {
		return unavailable("the link is cut")
	}
	if clusterID == "" || clusterID != h.clusterID() {
		return fault.New(fault.Conflict, "the call is for another cluster",
			"check the list of control machines of both sides")
	}
	return nil
}

// runTicker ticks all groups at the same time, so that their heartbeats can share
// calls.
func (h *Host) runTicker() error {
	ticker := time.NewTicker(h.options.Tick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-h.ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		h.tickDelays.add(now, now.Sub(last)-h.options.Tick, h.options.ElectionTicks, h.options.electionTimeout()/2)
		last = now
		for _, o := range h.allOwners() {
			select {
			case o.ticks <- struct{}{}:
			default:
			}
		}
	}
}

// sleep waits and reports whether the host still runs.
func (h *Host) sleep(duration time.Duration) bool {
	select {
	case <-h.ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

func (h *Host) requestSnapshots(groups []uint32) {
	for _, id := range groups {
		if o := h.owner(id); o != nil {
			o.snapshotRequested.Store(true)
		}
	}
}

func (h *Host) reportUnreachable(group uint32, member uint64) {
	o := h.owner(group)
	if o == nil {
		return
	}
	select {
	case o.unreachable <- member:
	default:
	}
}

// signalLeadershipChange wakes the goroutines that wait on nextLeadershipChange.
func (h *Host) signalLeadershipChange() {
	// The caller may hold the mutex while it starts an owner.
	go func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		close(h.leadershipChanged)
		h.leadershipChanged = make(chan struct{})
	}()
}

func (h *Host) nextLeadershipChange() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.leadershipChanged
}

// routeTo returns the route to a member.
func (h *Host) routeTo(member *rockwindpb.Member) route {
	return h.preferredRoute(route{machine: member.GetMachine(), address: member.GetAddress()})
}

// preferredRoute returns a route with the address of the machine in Options.Peers, which takes precedence over others.
func (h *Host) preferredRoute(known route) route {
	for _, peer := range h.options.Peers {
		if peer.GetMachine() == known.machine {
			known.address = peer.GetAddress()
		}
	}
	return known
}

func (h *Host) clientFor(address string) rockwindpb.ReplicaService {
	return rockwindpb.NewReplicaServiceProtobufClient(h.baseURL(address), twirphttp.Client{HTTPClient: h.options.Client})
}

func (h *Host) baseURL(address string) string {
	if h.options.Secure {
		return secureScheme + address
	}
	return scheme + address
}

// allowedBothWays reports whether a call to a machine and its response may pass.
func (h *Host) allowedBothWays(machine string) bool {
	return h.options.Allow(h.options.Machine, machine) && h.options.Allow(machine, h.options.Machine)
}
