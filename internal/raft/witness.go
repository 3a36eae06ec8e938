package raft

import (
	"math"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// A witness is a voter that stores the index and term of entries, but no content, and never
// becomes a leader. The other voters are called full voters. Witnesses give a remaining full voter a
// majority after the others have lost their disks.
//
// So that this full voter can be elected, its log must not be shorter than that of a witness. The leader
// therefore keeps the in-sync set: the full voters that must have synced an entry before a witness
// receives it. At the start of a term it consists of all full voters.
//
//   - A full voter leaves the set if no message from it has arrived for an election timeout, or if it has not
//     synced within an election timeout what the leader had synced before.
//   - The set shrinks to a single member only on evidence that the disks of all other full voters are
//     lost. If they were only away, the single member could commit entries with the witnesses, lose its
//     disk, and leave witnesses with longer logs than all remaining full voters: no leader could
//     be elected again.
//   - A full voter returns to the set once a message from it has arrived and it has synced all entries that a witness may have received.
//
// Withholding entries from a member and leaving out content change neither votes nor commits, so nothing
// here is needed for safety on indexes and terms. See docs/design/regional-shards.md.

// isWitness reports whether the member with the given ID is a witness.
func isWitness(membership *rockwindpb.Membership, id uint64) bool {
	return findMember(membership, id).GetWitness()
}

// fullVoters returns the IDs of the voters that are not witnesses.
func fullVoters(membership *rockwindpb.Membership) []uint64 {
	var ids []uint64
	for _, member := range membership.GetMembers() {
		if !member.GetLearner() && !member.GetWitness() {
			ids = append(ids, member.GetId())
		}
	}
	return ids
}

// checkWitnesses verifies that a change alters the witness flag of no member, since a log without content
// must never be that of a leader, and that a full voter remains.
func checkWitnesses(from, to *rockwindpb.Membership) error {
	for _, member := range to.GetMembers() {
		if previous := findMember(from, member.GetId()); previous != nil && previous.GetWitness() != member.GetWitness() {
			return errors.Wrapf(ErrMembershipInvalid, "member %x must not change whether it is a witness", member.GetId())
		}
	}
	if len(fullVoters(to)) == 0 {
		return errors.Wrap(ErrMembershipInvalid, "the membership has no voter with content")
	}
	return nil
}

// withoutContent returns entries with commands replaced by empty ones of the same index and term. Entries
// with a membership stay as they are: witnesses count votes, too.
func withoutContent(entries []*rockwindpb.Entry) []*rockwindpb.Entry {
	result := make([]*rockwindpb.Entry, 0, len(entries))
	for _, entry := range entries {
		if entry.GetKind() != rockwindpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
			entry = &rockwindpb.Entry{Term: entry.GetTerm(), Index: entry.GetIndex(), Kind: rockwindpb.EntryKind_ENTRY_KIND_EMPTY}
		}
		result = append(result, entry)
	}
	return result
}

// snapshotWithoutState returns the metadata of a snapshot that consists of index, term and membership only.
func snapshotWithoutState(snapshot *rockwindpb.SnapshotMetadata) *rockwindpb.SnapshotMetadata {
	return &rockwindpb.SnapshotMetadata{
		Index: snapshot.GetIndex(), Term: snapshot.GetTerm(), Membership: proto.CloneOf(snapshot.GetMembership()),
	}
}

// sendLimit returns the last index that the leader may send to a member.
func (n *Node) sendLimit(p *progress) uint64 {
	if p.witness && !n.faults.witnessesGetAll {
		return min(n.log.lastIndex(), n.leaderState.witnessLimit)
	}
	return n.log.lastIndex()
}

// syncState is the relation of a full voter to the in-sync set.
type syncState int

const (
	outOfSync syncState = iota
	// joiningSync is the state of a full voter that keeps up, but has not yet synced all that a witness may
	// have received. The limit of the witnesses waits for it; otherwise a voter with a longer way than
	// the others might never catch up with it under load.
	joiningSync
	inSync
)

// trackWitnesses updates the witness flags of the tracked members, and admits full voters that were promoted
// to the in-sync set: checkMembershipChange has verified that they have synced up to the limit.
func (n *Node) trackWitnesses() {
	state := n.leaderState
	state.hasWitnesses = false
	for _, member := range n.members.current().GetMembers() {
		p := state.progress[member.GetId()]
		p.witness = member.GetWitness()
		state.hasWitnesses = state.hasWitnesses || member.GetWitness()
		isFull := !member.GetLearner() && !member.GetWitness()
		if isFull && !p.fullVoter {
			p.sync, p.lagging = inSync, false
		}
		p.fullVoter = isFull
	}
	n.advanceWitnessLimit()
}

// tickInSync updates the in-sync set.
func (n *Node) tickInSync() {
	if !n.leaderState.hasWitnesses {
		return
	}
	synced := n.leaderState.progress[n.id].match
	for _, id := range fullVoters(n.members.current()) {
		p := n.leaderState.progress[id]
		switch {
		case p.match >= synced:
			p.lagging, p.prompt = false, true
		case !p.lagging:
			p.lagging, p.lagIndex, p.lagTick = true, synced, n.ticks
		case p.match >= p.lagIndex:
			p.lagging, p.prompt = false, n.keepsUp(p)
		}
	}
	n.updateInSync()
}

// updateInSync lets full voters return to and leave the in-sync set.
func (n *Node) updateInSync() {
	state := n.leaderState
	var lost, silent []uint64
	staying, othersLost := 0, true
	for _, id := range fullVoters(n.members.current()) {
		p := state.progress[id]
		hasLostDisk := n.diskLost(id)
		othersLost = othersLost && (id == n.id || hasLostDisk)
		switch {
		case id == n.id:
			p.sync = inSync
		case !n.keepsUp(p):
			p.prompt = false
			switch {
			case p.sync != inSync:
				p.sync = outOfSync
			case hasLostDisk:
				lost = append(lost, id)
			default:
				silent = append(silent, id)
			}
			continue
		case p.sync != inSync && p.match >= state.witnessLimit:
			p.sync = inSync
		case p.sync == outOfSync && p.prompt:
			p.sync = joiningSync
		}
		if p.sync == inSync {
			staying++
		}
	}
	smallest := 2
	if othersLost || n.faults.shrinkWithoutEvidence {
		smallest = 1
	}
	// Those with a lost disk leave first, so that the last one that must stay has a disk.
	remaining := staying + len(lost) + len(silent)
	for _, id := range append(lost, silent...) {
		if remaining <= smallest {
			break
		}
		state.progress[id].sync = outOfSync
		remaining--
	}
	n.advanceWitnessLimit()
}

// keepsUp reports whether a full voter is active and syncs entries within an election timeout.
func (n *Node) keepsUp(p *progress) bool {
	return n.active(p) && (!p.lagging || n.ticks-p.lagTick < uint64(n.config.ElectionTicks))
}

// diskLost reports whether there is evidence that the disk of a silent full voter is lost: the caller
// reported it, or another replica was admitted on its machine after it.
func (n *Node) diskLost(id uint64) bool {
	p := n.leaderState.progress[id]
	if n.active(p) {
		return false
	}
	if p.diskLost {
		return true
	}
	seen, machine := false, ""
	for _, member := range n.members.current().GetMembers() {
		switch {
		case member.GetId() == id:
			seen, machine = true, member.GetMachine()
		case seen && machine != "" && member.GetMachine() == machine:
			return true
		}
	}
	return false
}

// ReportDiskLost records evidence that the disk of a full voter is lost. It is ignored while the
// voter is active, and dropped with the next message from it and at the end of the term. In groups without
// witnesses it has no effect.
func (n *Node) ReportDiskLost(id uint64) {
	if n.halted != nil || n.role != Leader {
		return
	}
	if p := n.leaderState.progress[id]; p != nil && id != n.id && !n.active(p) {
		p.diskLost = true
		n.updateInSync()
	}
}

// checkInSyncAfter verifies that a change does not shrink the in-sync set to a single member either, unless
// the disks of all other remaining full voters are lost.
func (n *Node) checkInSyncAfter(to *rockwindpb.Membership) error {
	if !n.leaderState.hasWitnesses || n.faults.shrinkWithoutEvidence {
		return nil
	}
	staying, away := 0, 0
	for _, id := range fullVoters(to) {
		switch p := n.leaderState.progress[id]; {
		case p != nil && (p.sync == inSync || !p.fullVoter):
			staying++ // A learner that is promoted is checked by checkMembershipChange.
		case !n.diskLost(id):
			away++
		}
	}
	if staying == 0 || staying == 1 && away > 0 {
		return errors.Wrapf(ErrMembershipInvalid, "only %d voter would be in sync while %d are away", staying, away)
	}
	return nil
}

// advanceWitnessLimit advances the index up to which witnesses receive entries: that which the whole
// in-sync set has synced.
func (n *Node) advanceWitnessLimit() {
	state := n.leaderState
	if !state.hasWitnesses {
		return
	}
	lowest := uint64(math.MaxUint64)
	for _, id := range fullVoters(n.members.current()) {
		if p := state.progress[id]; p.sync != outOfSync {
			lowest = min(lowest, p.match)
		}
	}
	if lowest != math.MaxUint64 {
		state.witnessLimit = max(state.witnessLimit, lowest)
	}
}

// promotionIndex returns the index that a learner must have synced to be promoted. A full voter belongs to
// the in-sync set from then on, so it needs all that witnesses may have received. The acknowledged index of a
// witness in another region is nearly always below the commit index, since entries reach it last; that it has
// caught up at all is checked by the caller.
func (n *Node) promotionIndex(p *progress) uint64 {
	if p.witness {
		return 0
	}
	return max(n.log.committed, n.leaderState.witnessLimit)
}
