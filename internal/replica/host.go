package replica

import (
	"context"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
	"rockwind.example/rockwind/internal/wal"
)

// Host runs the replicas of this machine: many groups over one log, one
// transport and one clock.
//
// A host on a new disk runs no group and never votes. It takes part once Found
// has made it a founding member, or once its peers, which already belong to a
// cluster, have let it join in place of the machine of the same name.
type Host struct {
	options   Options
	log       *wal.Log
	writer    *writer
	transport *transport
	receiver  *receiver
	found     chan struct{}

	// started is closed once Run has started the groups.
	started chan struct{}

	// Fields that Run sets before any goroutine starts.
	ctx     context.Context
	workers *errgroup.Group

	// entering holds a value while the host becomes part of a cluster.
	entering chan struct{}

	mutex   sync.Mutex
	running bool
	cluster *cluster
	owners  map[uint32]*owner
	changed chan struct{}
	// told lists the members that the last answer to a call to join named.
	told []*rockwindpb.ControlMachine
	// checksums are those of the groups that each address told last.
	checksums map[string]uint64
	// joined is when this machine came to its cluster through another one; zero where it
	// founded it, or belonged to it at its start.
	joined time.Time
}

// NewHost opens the log in options.Folder. It fails with fault.Corrupt when
// stored bytes have changed. Groups start with Run.
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
	})
	if err != nil {
		return nil, err
	}
	h := &Host{
		options:  options,
		log:      opened,
		receiver: newReceiver(),
		found:    make(chan struct{}),
		entering: make(chan struct{}, 1),
		started:  make(chan struct{}),
		owners:   map[uint32]*owner{},
		changed:  make(chan struct{}),

		checksums: make(map[string]uint64),
	}
	h.writer = newWriter(opened, h.pin)
	h.transport = newTransportFor(h)
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

// Run runs the groups until the context ends, and then returns nil. It returns
// an error when this replica cannot go on: a sync has failed, stored bytes have
// changed or the protocol was violated. The process must then end; it may be
// started again. Run may be called once.
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
	h.spawn(h.keepTime)
	h.spawn(h.keepJoining)
	err = workers.Wait()
	return errors.CombineErrors(err, h.log.Close())
}

// spawn runs a goroutine that ends with the host. Its error ends the host.
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

// startGroups starts the groups that this machine is a member of and that do
// not run yet.
func (h *Host) startGroups() error {
	if h.cluster == nil {
		return nil
	}
	for _, group := range h.cluster.groups {
		if h.owners[group.GetGroup()] != nil || !hasMachine(group.GetMembership(), h.options.Machine) {
			continue
		}
		started, err := newOwner(h.ctx, h, group.GetGroup(), founding(group.GetMembership(), h.log.DiskID()))
		if err != nil {
			return err
		}
		h.owners[group.GetGroup()] = started
		h.spawnLocked(started.run)
	}
	select {
	case <-h.found:
	default:
		close(h.found)
	}
	return nil
}

// InCluster returns a channel that is closed once the host belongs to a cluster
// and its groups run.
func (h *Host) InCluster() <-chan struct{} {
	return h.found
}

// Group returns a group that this machine runs.
func (h *Host) Group(id uint32) (Group, bool) {
	found := h.owner(id)
	if found == nil {
		return nil, false
	}
	return found, true
}

// Groups returns the numbers of the groups that this machine runs, sorted.
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

// DiskID is the identity of this machine's disk.
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

// knownGroup is a group of the cluster; owner is nil where it does not run here.
type knownGroup struct {
	founding *rockwindpb.FoundingGroup
	owner    *owner
}

// knownGroups returns the cluster, nil outside of one, and its groups. Callers ask
// the owners without the host's mutex: an owner may wait for the transport, which
// in turn starts goroutines of the host.
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

// addressed returns the group that a call from another machine is for.
func (h *Host) addressed(clusterID, machine string, group uint32) (*owner, error) {
	if !h.options.Allow(machine, h.options.Machine) {
		return nil, notBegun("the link is cut")
	}
	if clusterID == "" || clusterID != h.clusterID() {
		return nil, fault.New(fault.Conflict, "the call is for another cluster",
			"check the list of control machines of both sides")
	}
	if found := h.owner(group); found != nil {
		return found, nil
	}
	return nil, notBegun("the group does not run here")
}

// keepTime ticks all groups at the same moments, so that their heartbeats go
// together.
func (h *Host) keepTime() error {
	ticker := time.NewTicker(h.options.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, o := range h.allOwners() {
			select {
			case o.ticks <- struct{}{}:
			default:
			}
		}
	}
}

// pause waits, and tells whether the host still runs.
func (h *Host) pause(duration time.Duration) bool {
	select {
	case <-h.ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

func (h *Host) pin(groups []uint32) {
	for _, id := range groups {
		if o := h.owner(id); o != nil {
			o.pinned.Store(true)
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

// signalChange wakes those who wait for a change of leadership.
func (h *Host) signalChange() {
	// The owner may be starting under the mutex.
	go func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		close(h.changed)
		h.changed = make(chan struct{})
	}()
}

func (h *Host) nextChange() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed
}

// routeTo tells where a member is: at the address in the settings when its
// machine is listed there, else at the one in the membership.
func (h *Host) routeTo(member *rockwindpb.Member) route {
	for _, peer := range h.options.Peers {
		if peer.GetMachine() == member.GetMachine() {
			return route{machine: member.GetMachine(), address: peer.GetAddress()}
		}
	}
	return route{machine: member.GetMachine(), address: member.GetAddress()}
}

func (h *Host) clientOf(address string) rockwindpb.ReplicaService {
	base := scheme + address
	if h.options.Secure {
		base = secureScheme + address
	}
	return rockwindpb.NewReplicaServiceProtobufClient(base, twirphttp.Client{Carrier: h.options.Client})
}

// allowedBoth tells whether a call and its answer may pass.
func (h *Host) allowedBoth(machine string) bool {
	return h.options.Allow(h.options.Machine, machine) && h.options.Allow(machine, h.options.Machine)
}
