// Package directory is the replicated state machine of a site's servers and machines. It is
// part of the state of the root group. Commands carry the time, so that applying them is
// deterministic.
//
// Invariants:
//   - An incarnation never returns from draining or gone, however late its reports arrive. A
//     later start under the same identifier is a new incarnation, and delayed messages of the
//     earlier one have no effect.
//   - Of several incarnations at one address, one becomes gone only if it left, or if the
//     address was probed and another incarnation answered. A report from a version that does
//     not probe marks all others at its address as gone.
//   - Every change increments the revision, and each entry carries the revision of its last
//     change, so that a watcher needs a single number to request what is new.
//   - The store cluster is founded at most once.
package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// goneRetention is how long the entry of a gone server is kept, so that late reports cannot
// revive it.
const goneRetention = 5 * time.Minute

// Directory is the replicated state. Only its owner goroutine may call its methods; the
// View that it returns is immutable.
type Directory struct {
	revision     uint64
	lastRemoval  uint64
	servers      servers
	machines     entries[*rockwindpb.Machine]
	storeCluster *rockwindpb.FoundRequest
	// view is nil if the state has changed since the last call of View.
	view *View
}

func New() *Directory {
	return &Directory{servers: newServers(), machines: newEntries((*rockwindpb.Machine).GetName)}
}

// View returns a snapshot of the directory. Only the owner goroutine may call it.
func (d *Directory) View() *View {
	if d.view == nil {
		d.rebuildView()
	}
	return d.view
}

// Apply executes a committed command.
func (d *Directory) Apply(command *rockwindpb.DirectoryCommand) {
	now := command.GetNowUnixMs()
	before := d.revision
	d.markEnded(command.GetSuccession().GetEnded(), now)
	switch content := command.GetCommand().(type) {
	case *rockwindpb.DirectoryCommand_Report:
		d.report(content.Report, command.GetSuccession() == nil, now)
	case *rockwindpb.DirectoryCommand_Leave:
		d.applyLeave(content.Leave, now)
	case *rockwindpb.DirectoryCommand_Silence:
		d.markSilent(content.Silence.GetIds(), now)
	case *rockwindpb.DirectoryCommand_Announce:
		d.announce(content.Announce, now)
	case *rockwindpb.DirectoryCommand_FoundStores:
		d.foundStoreCluster(content.FoundStores)
	case *rockwindpb.DirectoryCommand_Forget:
		d.forget(content.Forget.GetName())
	case *rockwindpb.DirectoryCommand_Retire:
		d.retire(content.Retire.GetName(), now)
	}
	d.dropExpired(now)
	if d.revision != before {
		d.view = nil
	}
}

// WouldChange reports whether a report would change the directory. A report that would not
// needs no log entry.
func (v *View) WouldChange(report *rockwindpb.Server) bool {
	return wouldChange(v.servers.get(report.GetId()), report)
}

func wouldChange(known, report *rockwindpb.Server) bool {
	if known == nil || restarted(known, report) {
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
	learnsStartTime := known.GetBornUnixMs() == 0 && report.GetBornUnixMs() != 0
	return learnsStartTime || known.GetState() != report.GetState() || known.GetAddress() != report.GetAddress() ||
		known.GetService() != report.GetService() || known.GetZone() != report.GetZone() ||
		known.GetVersion() != report.GetVersion() || known.GetSlots() != report.GetSlots()
}

// restarted reports whether a report comes from a later start under the identifier of a
// known server. Its state and sequence number are then unrelated to the known ones.
func restarted(known, report *rockwindpb.Server) bool {
	return known.GetBornUnixMs() != 0 && report.GetBornUnixMs() > known.GetBornUnixMs()
}

// report applies a report. endOthers marks the other incarnations at the address of an
// unknown one as gone, as log entries of earlier versions require.
func (d *Directory) report(report *rockwindpb.Server, endOthers bool, now int64) {
	known := d.servers.get(report.GetId())
	if !wouldChange(known, report) {
		return
	}
	if endOthers {
		d.replaceAtAddress(report, now)
	}
	reported := proto.CloneOf(report)
	reported.EarlierVersions = earlierVersions(known, report, now)
	d.putServer(reported, now)
}

// maxEarlierVersions bounds the earlier versions of an entry; the oldest are dropped first.
const maxEarlierVersions = 8

// earlierVersions returns the versions at which the server of a known entry served before a report, the oldest first.
func earlierVersions(known, report *rockwindpb.Server, now int64) []*rockwindpb.EarlierVersion {
	var kept []*rockwindpb.EarlierVersion
	for _, earlier := range known.GetEarlierVersions() {
		if now-earlier.GetUntilUnixMs() < goneRetention.Milliseconds() {
			kept = append(kept, earlier)
		}
	}
	if known != nil && (known.GetVersion() != report.GetVersion() || known.GetService() != report.GetService()) {
		until := now
		if known.GetState() == rockwindpb.ServerState_SERVER_STATE_GONE {
			until = known.GetChangedUnixMs()
		}
		kept = append(kept, &rockwindpb.EarlierVersion{Service: known.GetService(), Version: known.GetVersion(), UntilUnixMs: until})
	}
	return kept[max(0, len(kept)-maxEarlierVersions):]
}

// replaceAtAddress marks the other incarnations at the address of an unknown one as gone.
func (d *Directory) replaceAtAddress(report *rockwindpb.Server, now int64) {
	if d.servers.get(report.GetId()) != nil {
		return
	}
	// The order by identifier is the same on all replicas, and so are the revisions.
	for _, earlier := range d.servers.at(report.GetAddress()) {
		d.markGone(earlier.GetId(), earlier.GetState() == rockwindpb.ServerState_SERVER_STATE_READY, now)
	}
}

// applyLeave applies a leave unless it belongs to an earlier start.
func (d *Directory) applyLeave(leaving *rockwindpb.LeaveServerRequest, now int64) {
	known := d.servers.get(leaving.GetId())
	if leaving.GetBornUnixMs() != 0 && leaving.GetBornUnixMs() < known.GetBornUnixMs() {
		return
	}
	d.leave(leaving.GetId(), now)
}

func (d *Directory) leave(id string, now int64) { d.markGone(id, false, now) }

// markGone marks an incarnation as gone; replaced is set if it was ready and lost its address.
func (d *Directory) markGone(id string, replaced bool, now int64) {
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

func (d *Directory) markSilent(ids []string, now int64) {
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

// KnowsMachine reports whether an announcement would change nothing.
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

// retire marks a machine as retiring. The mark is permanent.
func (d *Directory) retire(name string, now int64) {
	known := d.machines.get(name)
	if known == nil || known.GetRetiring() {
		return
	}
	retiring := proto.CloneOf(known)
	retiring.Retiring = true
	d.putMachine(retiring, now)
}

// foundStoreCluster records the founding of the store cluster; later ones are ignored.
func (d *Directory) foundStoreCluster(founding *rockwindpb.FoundRequest) {
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
	d.lastRemoval = d.revision
}

// dropExpired removes the entries of servers that have been gone for goneRetention.
func (d *Directory) dropExpired(now int64) {
	for _, server := range d.servers.goneBefore(now - goneRetention.Milliseconds() + 1) {
		d.servers.drop(server.GetId())
		d.revision++
		d.lastRemoval = d.revision
	}
}

// Save returns the complete state in a deterministic order.
func (d *Directory) Save() *rockwindpb.DirectorySnapshot {
	return &rockwindpb.DirectorySnapshot{
		Revision:     d.revision,
		Dropped:      d.lastRemoval,
		Servers:      d.servers.list(),
		Machines:     d.machines.list(),
		StoreCluster: d.storeCluster,
	}
}

// Load replaces the state with one returned by Save.
func (d *Directory) Load(snapshot *rockwindpb.DirectorySnapshot) {
	d.revision = snapshot.GetRevision()
	d.lastRemoval = snapshot.GetDropped()
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

func (d *Directory) rebuildView() {
	d.view = &View{
		revision:      d.revision,
		lastRemoval:   d.lastRemoval,
		completeSince: d.lastRemoval,
		servers:       d.servers.copy(),
		machines:      d.machines.copy(),
		storeCluster:  d.storeCluster,
	}
}
