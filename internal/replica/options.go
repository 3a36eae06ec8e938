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
	// Machine is this machine's name, unique among the control machines.
	Machine string
	// Address is where the other machines reach Service, "ip:port".
	Address string
	// Folder is the data folder. It belongs to the host alone.
	Folder string
	// FileSystem is the disk; nil means that of the operating system.
	FileSystem wal.FileSystem
	// Client carries the calls to other machines; nil means a client with
	// keep-alive connections. TLS is the business of the caller, who sets Secure
	// beside it.
	Client *http.Client
	// Secure makes the host call the other machines by https.
	Secure bool
	// Tick is the unit of the protocol's time; zero means DefaultTick.
	Tick time.Duration
	// ElectionTicks is the shortest time without a leader, in ticks, after which
	// a replica asks for votes; zero means DefaultElectionTicks. It is at least 6.
	ElectionTicks int
	// HeartbeatTicks is the interval of a leader's heartbeats, in ticks; zero means 1.
	// It must leave room for several within a lease.
	HeartbeatTicks int
	// Peers lists the control machines; this one may be among them. Their
	// addresses go before the ones that the memberships record.
	Peers []*rockwindpb.ControlMachine
	// Discover lists further machines that may let this one join; nil means none.
	// Their names may be unknown. It is called from time to time.
	Discover func() []*rockwindpb.ControlMachine
	// AdmitNew lets machines with new names take the places of members that are
	// silent for long, or that have to leave.
	AdmitNew bool
	// Places is how many voters a group should have: where AdmitNew is set, machines
	// with new names join groups that have fewer. Zero keeps the number of the
	// founding.
	Places int
	// Vacate tells which machines have to leave their groups as soon as another one
	// can take their place; nil means none.
	Vacate func(machine string) bool
	// StateMachines returns the empty state machine of a group. The host calls
	// it once for each group that it runs. Group 0 is the root group, 1 and up
	// are the job shards.
	StateMachines func(group uint32) StateMachine
	// HandingOver is called before this machine hands over the leadership of a group on plan,
	// on a goroutine of its own, while the group still takes commands. The hand-over begins when
	// it returns, or when its context ends, which is after 250 ms at most. Nil means that
	// nothing is to be done.
	HandingOver func(ctx context.Context, group uint32)
	// SnapshotEntries and SnapshotBytes limit the log behind the newest snapshot
	// of a group, in entries and in bytes of commands; zero means the defaults.
	SnapshotEntries uint64
	SnapshotBytes   int64
	// TrailingBytes bounds what is kept in memory of the log before the newest
	// snapshot of a group, in bytes of commands; zero means no bound.
	TrailingBytes int64
	// SegmentBytes is the size of a log segment; zero means the default of the log.
	SegmentBytes int64
	// Allow tells whether traffic may pass from one machine to another. It is for
	// experiments with cut links, and is asked on both sides; nil allows
	// everything. Links.Allow is one that can be changed while the host runs.
	Allow func(from, to string) bool
	// Suspended tells how long the machine has been suspended so far; nil means
	// suspension.Total.
	Suspended func() time.Duration
	// Random seeds election timeouts; zero means a seed from the system.
	Random uint64
}

// leaseMarginTicks is the part of an election timeout that a lease leaves
// unused. A follower's first tick may come at once, one more may be buffered in
// its ticker, and ticks are at least three quarters of Options.Tick apart; so
// ten of its ticks last at least six of the leader's, and the rest is for
// clocks that run at different speeds.
const leaseMarginTicks = 4

func (o *Options) setDefaults() {
	if o.FileSystem == nil {
		o.FileSystem = wal.OSFileSystem{}
	}
	if o.Client == nil {
		o.Client = &http.Client{Transport: newTransport()}
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
	if o.Random == 0 {
		o.Random = rand.Uint64()
	}
}

// electionTimeout is the shortest time without a leader before an election.
func (o *Options) electionTimeout() time.Duration {
	return time.Duration(o.ElectionTicks) * o.Tick
}

// leaseTicks is how long a lease lasts.
func (o *Options) leaseTicks() int {
	return o.ElectionTicks - leaseMarginTicks
}
