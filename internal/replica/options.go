package replica

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/suspension"
	"rockwind.example/rockwind/internal/wal"
)

// Defaults of Options.
const (
	DefaultTick            = 100 * time.Millisecond
	DefaultElectionTicks   = 10
	DefaultSnapshotEntries = 20_000
	DefaultSnapshotBytes   = 16 << 20
)

// Options configure a Host.
type Options struct {
	// Machine is the name of this machine, unique among the control machines.
	Machine string
	// Address is where other machines reach Service, as "ip:port".
	Address string
	// Folder is the data folder. Only the host uses it.
	Folder string
	// FileSystem stores the log; nil means the file system of the operating system.
	FileSystem wal.FileSystem
	// Client sends calls to other machines; nil means a client with keep-alive
	// connections. A caller that wants TLS configures it here and sets Secure.
	Client *http.Client
	// Secure makes the host call other machines over https.
	Secure bool
	// Tick is the time unit of the Raft node; zero means DefaultTick.
	Tick time.Duration
	// ElectionTicks is the shortest time without a leader, in ticks, after which
	// a replica starts an election; zero means DefaultElectionTicks. The minimum
	// is 6.
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval of a leader, in ticks; zero means 1.
	// A lease must span several heartbeats.
	HeartbeatTicks int
	// Peers lists the control machines, optionally including this one. Their
	// addresses take precedence over those in the memberships.
	Peers []*rockwindpb.ControlMachine
	// Discover lists further machines that may let this one join; nil means none.
	// Their names may be empty. It is called periodically.
	Discover func() []*rockwindpb.ControlMachine
	// AdmitNew lets machines with new names replace members that have been
	// inactive for repair.InactivityTimeout or that must leave.
	AdmitNew bool
	// TargetVoters is how many voters a group should have. If AdmitNew is set,
	// machines with new names may join groups that have fewer members. Zero keeps
	// the number that the group was founded with.
	TargetVoters int
	// MustLeave reports whether a machine must leave its groups as soon as
	// another one can replace it; nil means that none must.
	MustLeave func(machine string) bool
	// InRegion reports whether a machine is in a region. Only machines in the region
	// of a group may join it, if the group was founded with one. It must not report
	// true for a machine whose region is unknown. nil means that no machine is in any
	// region.
	InRegion func(machine, region string) bool
	// RegionOf returns the region of a machine, empty if it is not known. The leader of a group of which one
	// region holds a majority of the voters then transfers leadership to a voter in that region, if it is in
	// another one: see package leaderregion. nil means that leadership stays where it is. It is called by
	// leaders at each tick.
	RegionOf func(machine string) string
	// MinimumLevel returns the feature level that a machine needs to join a group because of what the group's
	// state contains; nil means that none is needed. The group's owner goroutine calls it.
	MinimumLevel func(group uint32) uint32
	// StateMachines returns the empty state machine of a group. The host calls it
	// once for each group that it runs. Group 0 is the root group; groups from 1
	// are the job shards.
	StateMachines func(group uint32) StateMachine
	// BeforeLeadershipTransfer is called before a planned transfer of a group's
	// leadership. It runs on a goroutine of its own, and the group still accepts
	// commands. The transfer starts when it returns or when its context ends,
	// after at most 250 ms. It may be nil.
	BeforeLeadershipTransfer func(ctx context.Context, group uint32)
	// SnapshotEntries and SnapshotBytes limit the log after the newest snapshot
	// of a group, in entries and in bytes of commands; zero means the defaults.
	SnapshotEntries uint64
	SnapshotBytes   int64
	// MinSnapshotBytes, if it is not zero, lowers the limit of the log after the newest snapshot to half of
	// the size of that snapshot, but not below MinSnapshotBytes. Small states are then snapshotted more
	// often. Half as much is kept before the snapshot, within TrailingBytes.
	MinSnapshotBytes int64
	// TrailingBytes limits the log entries before the newest snapshot of a group
	// that stay in memory, in bytes of commands; zero means no limit.
	TrailingBytes int64
	// SegmentBytes is the size of a log segment; zero means the default of package wal.
	SegmentBytes int64
	// Allow reports whether traffic may pass from one machine to another, for
	// network partition tests. Both sides call it; nil allows everything.
	// Links.Allow is an implementation that can change while the host runs.
	Allow func(from, to string) bool
	// Suspended returns the total time that the machine has been suspended; nil
	// means suspension.Total.
	Suspended func() time.Duration
	// RandomSeed seeds election timeouts; zero means a random seed.
	RandomSeed uint64
}

// leaseMarginTicks is how much shorter a lease is than an election timeout. A
// follower may process its first tick at once and have another one buffered,
// and ticks are at least three quarters of Options.Tick apart. Ten ticks of a
// follower therefore last at least six of the leader's; the remaining margin
// covers clocks that run at different speeds.
const leaseMarginTicks = 4

func (o *Options) setDefaults() {
	if o.FileSystem == nil {
		o.FileSystem = wal.OSFileSystem{}
	}
	if o.Client == nil {
		o.Client = &http.Client{Transport: newHTTPTransport()}
	}
	if o.Tick == 0 {
		o.Tick = DefaultTick
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = DefaultElectionTicks
	}
	if o.HeartbeatTicks == 0 {
		o.HeartbeatTicks = 1
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	if o.Allow == nil {
		o.Allow = func(string, string) bool { return true }
	}
	if o.Suspended == nil {
		o.Suspended = suspension.Total
	}
	if o.RandomSeed == 0 {
		o.RandomSeed = rand.Uint64()
	}
}

// electionTimeout is the shortest time without a leader before an election.
func (o *Options) electionTimeout() time.Duration {
	return time.Duration(o.ElectionTicks) * o.Tick
}

// leaseTicks is the duration of a lease, in ticks.
func (o *Options) leaseTicks() int {
	return o.ElectionTicks - leaseMarginTicks
}
