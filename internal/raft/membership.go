package raft

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// membershipAt is a membership with the index of its entry.
type membershipAt struct {
	index      uint64
	membership *rockwindpb.Membership
}

// memberships holds the memberships in the log, oldest first. The last one is in effect
// even if it is not committed.
type memberships struct {
	history []membershipAt
}

func newMemberships(index uint64, base *rockwindpb.Membership) *memberships {
	if base == nil {
		base = &rockwindpb.Membership{}
	}
	return &memberships{history: []membershipAt{{index: index, membership: base}}}
}

func (m *memberships) current() *rockwindpb.Membership {
	return m.history[len(m.history)-1].membership
}

func (m *memberships) currentIndex() uint64 {
	return m.history[len(m.history)-1].index
}

// at returns the membership in effect at an index.
func (m *memberships) at(index uint64) *rockwindpb.Membership {
	for i := len(m.history) - 1; i > 0; i-- {
		if m.history[i].index <= index {
			return m.history[i].membership
		}
	}
	return m.history[0].membership
}

// truncate removes the memberships from an index on.
func (m *memberships) truncate(from uint64) {
	for len(m.history) > 1 && m.currentIndex() >= from {
		m.history = m.history[:len(m.history)-1]
	}
}

// compact removes memberships that were superseded before an index.
func (m *memberships) compact(before uint64) {
	for len(m.history) > 1 && m.history[1].index < before {
		m.history = m.history[1:]
	}
}

// add appends the memberships that the entries contain.
func (m *memberships) add(entries []*rockwindpb.Entry) error {
	for _, entry := range entries {
		if entry.GetKind() != rockwindpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
			continue
		}
		membership := &rockwindpb.Membership{}
		if err := proto.Unmarshal(entry.GetData(), membership); err != nil {
			return errors.Wrapf(err, "decode membership entry %d", entry.GetIndex())
		}
		m.history = append(m.history, membershipAt{index: entry.GetIndex(), membership: membership})
	}
	return nil
}

// findMember returns the member with the given ID, or nil.
func findMember(membership *rockwindpb.Membership, id uint64) *rockwindpb.Member {
	for _, member := range membership.GetMembers() {
		if member.GetId() == id {
			return member
		}
	}
	return nil
}

// isVoter reports whether the member with the given ID is a voter.
func isVoter(membership *rockwindpb.Membership, id uint64) bool {
	member := findMember(membership, id)
	return member != nil && !member.GetLearner()
}

// voters returns the IDs of the voters in the order of the membership.
func voters(membership *rockwindpb.Membership) []uint64 {
	var ids []uint64
	for _, member := range membership.GetMembers() {
		if !member.GetLearner() {
			ids = append(ids, member.GetId())
		}
	}
	return ids
}

// quorumOf returns the size of a majority of count voters.
func quorumOf(count int) int {
	return count/2 + 1
}

// quorumValue returns the highest value that a majority of the voters has reached.
func quorumValue(membership *rockwindpb.Membership, value func(id uint64) uint64) uint64 {
	ids := voters(membership)
	if len(ids) == 0 {
		return 0
	}
	values := make([]uint64, 0, len(ids))
	for _, id := range ids {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[len(values)-quorumOf(len(values))]
}

// checkChange verifies that the quorums of both memberships overlap, and that a new voter
// was a learner before.
func checkChange(from, to *rockwindpb.Membership) error {
	if err := checkMembership(to); err != nil {
		return err
	}
	changes := 0
	for _, id := range voters(to) {
		if isVoter(from, id) {
			continue
		}
		changes++
		if findMember(from, id) == nil {
			return errors.Wrapf(ErrMembershipInvalid, "member %x must join as a learner first", id)
		}
	}
	for _, id := range voters(from) {
		if !isVoter(to, id) {
			changes++
		}
	}
	if changes > 1 {
		return errors.Wrapf(ErrMembershipInvalid, "%d voters would change, at most one is allowed", changes)
	}
	return nil
}

func checkMembership(membership *rockwindpb.Membership) error {
	seen := make(map[uint64]bool, len(membership.GetMembers()))
	for _, member := range membership.GetMembers() {
		if member.GetId() == 0 || seen[member.GetId()] {
			return errors.Wrapf(ErrMembershipInvalid, "member ID %x is zero or duplicate", member.GetId())
		}
		seen[member.GetId()] = true
	}
	if len(voters(membership)) == 0 {
		return errors.Wrap(ErrMembershipInvalid, "the membership has no voters")
	}
	return nil
}
