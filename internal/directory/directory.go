// Package directory is the state machine that holds the servers and the
// machines of a site. It is part of the root group's state: what is committed
// here survives the process that acknowledged it. The package is pure: time
// comes in the commands.
//
// Invariants:
//   - the state of one incarnation of a server never goes back from draining or
//     gone, whatever reports arrive late; a later start under the same identifier is another
//     incarnation, and what comes late from an earlier one changes nothing;
//   - of several incarnations at one address, one is gone only where it left, or the address
//     was asked and another one answered; a report of a version that did not ask ends all
//     others there;
//   - every change raises the revision, and an entry carries the revision at
//     which it last changed, so that a watcher learns what is new from one number;
//   - the founding of the stores' cluster is decided once.
package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// goneRetention is how long the entry of a server that left is kept, so that a
// late report cannot revive it.
const goneRetention = 5 * time.Minute

// Directory is the replicated state. Its owner goroutine alone may call Apply
// and Load; the View that it hands out is immutable.
type Directory struct {
	revision     uint64
	dropped      uint64
	servers      servers
	machines     entries[*rockwindpb.Machine]
	storeCluster *rockwindpb.FoundRequest
	// view is nil where the state has changed since the last call of View.
	view *View
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{servers: newServers(), machines: newEntries((*rockwindpb.Machine).GetName)}
}

// View is the directory at one moment. Only the owner goroutine may call it.
func (d *Directory) View() *View {
	if d.view == nil {
		d.publish()
	}
	return d.view
}

// Apply executes a committed command.
func (d *Directory) Apply(command *rockwindpb.DirectoryCommand) {
	now := command.GetNowUnixMs()
	before := d.revision
	d.succeed(command.GetSuccession().GetEnded(), now)
	switch content := command.GetCommand().(type) {
	case *rockwindpb.DirectoryCommand_Report:
		d.report(content.Report, command.GetSuccession() == nil, now)
	case *rockwindpb.DirectoryCommand_Leave:
		d.leaveOf(content.Leave, now)
	case *rockwindpb.DirectoryCommand_Silence:
		d.silence(content.Silence.GetIds(), now)
	case *rockwindpb.DirectoryCommand_Announce:
		d.announce(content.Announce, now)
	case *rockwindpb.DirectoryCommand_FoundStores:
		d.foundStores(content.FoundStores)
	case *rockwindpb.DirectoryCommand_Forget:
		d.forget(content.Forget.GetName())
	case *rockwindpb.DirectoryCommand_Retire:
		d.retire(content.Retire.GetName(), now)
	}
	d.dropOld(now)
	if d.revision != before {
		d.view = nil
	}
}

// WouldChange tells whether a report would change the directory. A report that
// would not needs no entry in the log.
func (v *View) WouldChange(report *rockwindpb.Server) bool {
	return changes(v.servers.get(report.GetId()), report)
}

func changes(known, report *rockwindpb.Server) bool {
	if known == nil || startedAgain(known, report) {
		return true
	}
	if report.GetBornUnixMs() != 0 && report.GetBornUnixMs() < known.GetBornUnixMs() {
		return false
	}
	switch known.GetState() {
	case rockwindpb.ServerState_SERVER_STATE_GONE:
		return false
	case rockwindpb.ServerState_SERVER_STATE_DRAINING:
		return false
	}
	if report.GetSequence() < known.GetSequence() {
		return false
	}
	learnsStart := known.GetBornUnixMs() == 0 && report.GetBornUnixMs() != 0
	return learnsStart || known.GetState() != report.GetState() || known.GetAddress() != report.GetAddress() ||
		known.GetService() != report.GetService() || known.GetZone() != report.GetZone() ||
		known.GetVersion() != report.GetVersion() || known.GetSlots() != report.GetSlots()
}

// startedAgain tells whether a report is of a later start under the identifier of a known server,
// whose state and sequence tell nothing of it.
func startedAgain(known, report *rockwindpb.Server) bool {
	return known.GetBornUnixMs() != 0 && report.GetBornUnixMs() > known.GetBornUnixMs()
}

// report takes a report. Where the newest one counts, as in the logs of earlier versions, an
// unknown incarnation has ended all others at its address.
func (d *Directory) report(report *rockwindpb.Server, newest bool, now int64) {
	if !changes(d.servers.get(report.GetId()), report) {
		return
	}
	if newest {
		d.retireAddress(report, now)
	}
	d.putServer(proto.CloneOf(report), now)
}

// retireAddress marks the earlier incarnations at the address of a new one as
// gone: an address belongs to one server at a time.
func (d *Directory) retireAddress(report *rockwindpb.Server, now int64) {
	if d.servers.get(report.GetId()) != nil {
		return
	}
	// In the order of identifiers, since replicas must number the changes alike.
	for _, earlier := range d.servers.at(report.GetAddress()) {
		d.goneServer(earlier.GetId(), earlier.GetState() == rockwindpb.ServerState_SERVER_STATE_READY, now)
	}
}

// leaveOf takes a leave, unless it comes late from an earlier start.
func (d *Directory) leaveOf(leaving *rockwindpb.LeaveServerRequest, now int64) {
	known := d.servers.get(leaving.GetId())
	if leaving.GetBornUnixMs() != 0 && leaving.GetBornUnixMs() < known.GetBornUnixMs() {
		return
	}
	d.leave(leaving.GetId(), now)
}

func (d *Directory) leave(id string, now int64) { d.goneServer(id, false, now) }

// goneServer marks an incarnation as gone, one that was replaced while it was ready as such.
func (d *Directory) goneServer(id string, replaced bool, now int64) {
	known := d.servers.get(id)
	if known.GetState() == rockwindpb.ServerState_SERVER_STATE_GONE {
		return
	}
	gone := &rockwindpb.Server{Id: id}
	if known != nil {
		gone = proto.CloneOf(known)
	}
	gone.State = rockwindpb.ServerState_SERVER_STATE_GONE
	gone.Replaced = replaced
	d.putServer(gone, now)
}

func (d *Directory) silence(ids []string, now int64) {
	for _, id := range ids {
		known := d.servers.get(id)
		switch known.GetState() {
		case rockwindpb.ServerState_SERVER_STATE_READY:
			silent := proto.CloneOf(known)
			silent.State = rockwindpb.ServerState_SERVER_STATE_SILENT
			d.putServer(silent, now)
		case rockwindpb.ServerState_SERVER_STATE_DRAINING:
			d.leave(id, now)
		}
	}
}

func (d *Directory) putServer(server *rockwindpb.Server, now int64) {
	d.revision++
	server.Revision = d.revision
	server.ChangedUnixMs = now
	d.servers.put(server)
}

// KnowsMachine tells whether an announcement would change nothing.
func (v *View) KnowsMachine(announced *rockwindpb.Machine) bool {
	return sameMachine(v.machines.get(announced.GetName()), announced)
}

func sameMachine(known, announced *rockwindpb.Machine) bool {
	return known != nil && known.GetRole() == announced.GetRole() && known.GetZone() == announced.GetZone() &&
		known.GetAddress() == announced.GetAddress() && known.GetDiskId() == announced.GetDiskId()
}

func (d *Directory) announce(announced *rockwindpb.Machine, now int64) {
	if sameMachine(d.machines.get(announced.GetName()), announced) {
		return
	}
	added := proto.CloneOf(announced)
	added.Retiring = d.machines.get(announced.GetName()).GetRetiring()
	d.putMachine(added, now)
}

func (d *Directory) putMachine(machine *rockwindpb.Machine, now int64) {
	d.revision++
	machine.Revision = d.revision
	machine.ChangedUnixMs = now
	d.machines.put(machine)
}

// retire marks a machine for good.
func (d *Directory) retire(name string, now int64) {
	known := d.machines.get(name)
	if known == nil || known.GetRetiring() {
		return
	}
	retiring := proto.CloneOf(known)
	retiring.Retiring = true
	d.putMachine(retiring, now)
}

// foundStores decides the founding; a second decision has no effect.
func (d *Directory) foundStores(founding *rockwindpb.FoundRequest) {
	if d.storeCluster != nil {
		return
	}
	d.revision++
	d.storeCluster = founding
}

func (d *Directory) forget(name string) {
	if d.machines.get(name) == nil {
		return
	}
	d.machines.drop(name)
	d.revision++
	d.dropped = d.revision
}

// dropOld removes entries of servers that left long ago.
func (d *Directory) dropOld(now int64) {
	for _, server := range d.servers.goneBefore(now - goneRetention.Milliseconds() + 1) {
		d.servers.drop(server.GetId())
		d.revision++
		d.dropped = d.revision
	}
}

// Save returns the whole state, sorted.
func (d *Directory) Save() *rockwindpb.DirectorySnapshot {
	return &rockwindpb.DirectorySnapshot{
		Revision:     d.revision,
		Dropped:      d.dropped,
		Servers:      d.servers.list(),
		Machines:     d.machines.list(),
		StoreCluster: d.storeCluster,
	}
}

// Load replaces the whole state with one that Save returned.
func (d *Directory) Load(snapshot *rockwindpb.DirectorySnapshot) {
	d.revision = snapshot.GetRevision()
	d.dropped = snapshot.GetDropped()
	d.storeCluster = snapshot.GetStoreCluster()
	d.servers, d.machines = newServers(), newEntries((*rockwindpb.Machine).GetName)
	for _, server := range snapshot.GetServers() {
		d.servers.put(server)
	}
	for _, machine := range snapshot.GetMachines() {
		d.machines.put(machine)
	}
	d.view = nil
}

func (d *Directory) publish() {
	d.view = &View{
		revision:     d.revision,
		dropped:      d.dropped,
		whole:        d.dropped,
		servers:      d.servers.copy(),
		machines:     d.machines.copy(),
		storeCluster: d.storeCluster,
	}
}
