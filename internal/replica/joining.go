package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// joinPeriod is how long a machine that has joined asks all others, so that a leader that
// was not heard at first lets it join too.
const joinPeriod = 10 * time.Second

// keepJoining asks the peers to let this machine join while it belongs to no
// cluster, or while a group does not count its disk as a voter yet. A machine that only
// offers to take a place in groups of others asks one peer at a time, drawn by chance:
// all machines do, so that each leader is asked about as often as it would be by one that
// asks everybody.
func (h *Host) keepJoining() error {
	random := rand.New(rand.NewPCG(h.options.RandomSeed, h.log.DiskID()))
	for h.pause(h.options.electionTimeout()) {
		peers := h.joinPeers()
		switch {
		case h.needsToJoin():
		case !h.options.AdmitNew || !h.leftOut() || len(peers) == 0:
			continue
		default:
			chosen := random.IntN(len(peers))
			peers = peers[chosen : chosen+1]
		}
		for _, peer := range peers {
			h.askToJoin(peer)
		}
	}
	return nil
}

// joinPeers lists the machines that may let this one join.
func (h *Host) joinPeers() []*rockwindpb.ControlMachine {
	known := h.options.Peers
	if h.options.Discover != nil {
		known = slices.Concat(known, h.options.Discover())
	}
	known = slices.Concat(known, h.toldPeers())
	asked := map[string]bool{h.options.Address: true}
	var peers []*rockwindpb.ControlMachine
	for _, peer := range known {
		if peer.GetMachine() == h.options.Machine || asked[peer.GetAddress()] || !h.allowedBoth(peer.GetMachine()) {
			continue
		}
		asked[peer.GetAddress()] = true
		peers = append(peers, peer)
	}
	return peers
}

// tellPeers keeps the members that an answer to a call to join named: the leaders
// may be machines that the settings do not list.
func (h *Host) tellPeers(groups []*rockwindpb.FoundingGroup) {
	told := membersOf(groups)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.told = told
}

// toldChecksum is that of the groups that the machine at an address told and that were
// heeded here.
func (h *Host) toldChecksum(address string) uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.checksums[address]
}

// JoinResponseMembers lists the members of groups that the last answer to a call to join named. A machine that
// lacks a group offers to join it at each election timeout.
func (h *Host) JoinResponseMembers() []*rockwindpb.ControlMachine { return slices.Clone(h.toldPeers()) }

// toldPeers is Told; before the first answer a machine that runs no group goes by the members that
// its disk names, since all machines that its settings name may be gone.
func (h *Host) toldPeers() []*rockwindpb.ControlMachine {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.told) > 0 || len(h.owners) > 0 || h.cluster == nil {
		return h.told
	}
	return membersOf(h.cluster.groups)
}

// membersOf lists the machines of the memberships of groups.
func membersOf(groups []*rockwindpb.FoundingGroup) []*rockwindpb.ControlMachine {
	var members []*rockwindpb.ControlMachine
	for _, group := range groups {
		for _, member := range group.GetMembership().GetMembers() {
			members = append(members, &rockwindpb.ControlMachine{Machine: member.GetMachine(), Address: member.GetAddress()})
		}
	}
	return members
}

// needsToJoin tells whether this machine lacks a place that it should have.
func (h *Host) needsToJoin() bool {
	if h.clusterID() == "" || h.joinedWithin(joinPeriod) {
		return true
	}
	for _, o := range h.allOwners() {
		if status := o.Status(); !status.GetVoter() || (h.options.AdmitNew && !status.GetHearsLeader()) {
			return true
		}
	}
	return false
}

// joinedWithin tells whether this machine came to its cluster through another one lately.
func (h *Host) joinedWithin(period time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return !h.joined.IsZero() && time.Since(h.joined) < period
}

// leftOut tells whether there is a group that does not run here. This machine may
// be wanted there.
func (h *Host) leftOut() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.owners) < len(h.cluster.groups)
}

func (h *Host) askToJoin(peer *rockwindpb.ControlMachine) {
	ctx, cancel := context.WithTimeout(h.ctx, sendTimeout)
	defer cancel()
	response, err := h.clientOf(peer.GetAddress()).Join(ctx, &rockwindpb.JoinRequest{
		Machine:      h.options.Machine,
		DiskId:       h.log.DiskID(),
		Address:      h.options.Address,
		HaveChecksum: h.toldChecksum(peer.GetAddress()),
	})
	if err != nil {
		log.WithError(fault.From(err)).WithField("machine", peer.GetMachine()).Info("not joined")
		return
	}
	if len(response.GetGroups()) == 0 {
		return
	}
	h.tellPeers(response.GetGroups())
	first := h.clusterID() == ""
	if err := h.enter(&cluster{id: response.GetClusterId(), groups: response.GetGroups()}); err != nil {
		log.WithError(err).WithField("machine", peer.GetMachine()).Warn("not joined")
		return
	}
	h.noteEntered(peer.GetAddress(), response.GetChecksum(), first)
}

// noteEntered notes that the groups of a checksum, told by the machine at an address, were
// heeded here, and, where it was the first that let this one join, when.
func (h *Host) noteEntered(address string, checksum uint64, first bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.checksums[address] = checksum
	if first {
		h.joined = time.Now()
	}
}

// Join implements rockwindpb.ReplicaService. It begins the replacement in the
// groups that this machine leads, and tells the caller about all groups.
func (s *service) Join(ctx context.Context, request *rockwindpb.JoinRequest) (*rockwindpb.JoinResponse, error) {
	response, err := s.host.letJoin(ctx, request)
	return response, fault.ToTwirp(err)
}

func (h *Host) letJoin(ctx context.Context, request *rockwindpb.JoinRequest) (*rockwindpb.JoinResponse, error) {
	if !h.allowedBoth(request.GetMachine()) {
		return nil, notBegun("the link is cut")
	}
	if request.GetMachine() == "" || request.GetDiskId() == 0 {
		return nil, fault.New(fault.InvalidArgument, "the machine that joins has no name or no disk", "check its settings")
	}
	response, err := h.describeGroups()
	if err != nil {
		return nil, err
	}
	if !h.options.AdmitNew && !h.belongs(request.GetMachine(), response.GetGroups()) {
		return nil, fault.Newf(fault.Conflict, "give it the name of the machine that it replaces, or list it in the settings of all machines",
			"no machine of this cluster is named %s", request.GetMachine())
	}
	for _, o := range h.allOwners() {
		if !o.leads() {
			continue
		}
		var membership *rockwindpb.Membership
		err := o.do(ctx, func() error {
			failure := o.admit(request)
			membership = o.node.Status().Membership
			return failure
		})
		if fault.Is(err, fault.Conflict) {
			return nil, err
		}
		if err == nil {
			setMembership(response, o.id, membership)
		}
	}
	return shortened(response, request.GetHaveChecksum())
}

// shortened completes a response with its checksum, and leaves out groups that the caller
// holds: on a large site they are most of it.
func shortened(response *rockwindpb.JoinResponse, have uint64) (*rockwindpb.JoinResponse, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(response)
	if err != nil {
		return nil, errors.Wrap(err, "encode the groups")
	}
	response.Checksum = xxhash.Sum64(encoded)
	if response.Checksum == have {
		response.Groups = nil
	}
	return response, nil
}

func setMembership(response *rockwindpb.JoinResponse, group uint32, membership *rockwindpb.Membership) {
	for _, described := range response.GetGroups() {
		if described.GetGroup() == group {
			described.Membership = membership
		}
	}
}

// belongs tells whether a machine is a member of a group, or is listed in the
// settings: a large cluster has machines without a replica.
func (h *Host) belongs(machine string, groups []*rockwindpb.FoundingGroup) bool {
	member := slices.ContainsFunc(groups, func(group *rockwindpb.FoundingGroup) bool {
		return hasMachine(group.GetMembership(), machine)
	})
	return member || slices.ContainsFunc(h.options.Peers, func(peer *rockwindpb.ControlMachine) bool {
		return peer.GetMachine() == machine
	})
}

func (h *Host) describeGroups() (*rockwindpb.JoinResponse, error) {
	known, groups := h.knownGroups()
	if known == nil {
		return nil, notBegun("this control machine belongs to no cluster")
	}
	response := &rockwindpb.JoinResponse{ClusterId: known.id}
	for _, group := range groups {
		membership := group.founding.GetMembership()
		if group.owner != nil {
			if current := group.owner.Status().GetMembership(); len(current.GetMembers()) > 0 {
				membership = current
			}
		}
		response.Groups = append(response.Groups, &rockwindpb.FoundingGroup{Group: group.founding.GetGroup(), Membership: membership})
	}
	return response, nil
}

// admit adds a disk as a learner beside the member of the same machine name.
// It is refused while the old disk is heard: two processes would carry one
// name. The learner replaces an earlier learner of that name, which never
// counted.
func (o *owner) admit(request *rockwindpb.JoinRequest) error {
	status := o.node.Status()
	if status.Role != raft.Leader {
		return o.notLeader()
	}
	if memberByID(status.Membership, request.GetDiskId()) != nil {
		return nil
	}
	if !hasMachine(status.Membership, request.GetMachine()) {
		return o.admitNew(status, request)
	}
	changed := &rockwindpb.Membership{}
	for _, member := range status.Membership.GetMembers() {
		if member.GetMachine() == request.GetMachine() {
			if progressOf(status, member.GetId()).Active {
				return stillAlive(member)
			}
			if member.GetLearner() {
				continue
			}
		}
		changed.Members = append(changed.Members, member)
	}
	changed.Members = append(changed.Members, &rockwindpb.Member{
		Id:      request.GetDiskId(),
		Machine: request.GetMachine(),
		Address: request.GetAddress(),
		Learner: true,
	})
	return o.changeMembers(changed)
}

func stillAlive(member *rockwindpb.Member) error {
	return fault.Newf(fault.Conflict,
		"stop one of the two processes, or wait for an election timeout when the old one has just ended",
		"machine %s is alive with disk %016x", member.GetMachine(), member.GetId())
}

func progressOf(status raft.Status, id uint64) raft.ProgressStatus {
	for _, progress := range status.Progress {
		if progress.ID == id {
			return progress
		}
	}
	return raft.ProgressStatus{}
}

// changeMembers proposes a membership. A change that has to wait for another
// is tried again: the joining machine asks until it is a voter, and the leader
// looks at each tick.
func (o *owner) changeMembers(changed *rockwindpb.Membership) error {
	err := o.node.ProposeMembership(changed)
	if errors.Is(err, raft.ErrMembershipPending) || errors.Is(err, raft.ErrTransferring) {
		return notBegun("another change of the membership is under way")
	}
	if errors.Is(err, raft.ErrNotLeader) {
		return o.notLeader()
	}
	return err
}

// replaceMembers takes the next step of a replacement at the leader: it
// promotes a learner that holds everything that was committed when it was
// added, and after that removes the older member of the same machine. So an
// acknowledged write never has fewer copies than before.
func (o *owner) replaceMembers() {
	status := o.node.Status()
	if status.Role != raft.Leader || status.MembershipIndex > status.Commit {
		return
	}
	for _, member := range status.Membership.GetMembers() {
		if member.GetLearner() {
			if o.promote(status, member) {
				return
			}
		}
	}
	for position, member := range status.Membership.GetMembers() {
		if member.GetId() == status.ID && replaced(status.Membership, position) {
			// The next leader removes this member.
			_ = o.handOver()
			return
		}
		if !member.GetLearner() && replaced(status.Membership, position) {
			o.remove(status.Membership, member)
			return
		}
	}
}

func (o *owner) promote(status raft.Status, learner *rockwindpb.Member) bool {
	target, known := o.targets[learner.GetId()]
	if !known {
		o.targets[learner.GetId()] = status.Commit
		return false
	}
	progress := progressOf(status, learner.GetId())
	if !progress.Active || progress.Match < target {
		return false
	}
	changed := proto.CloneOf(status.Membership)
	memberByID(changed, learner.GetId()).Learner = false
	return o.changeMembers(changed) == nil
}

// replaced tells whether a later voter carries the same machine name, or was
// admitted in place of the member.
func replaced(membership *rockwindpb.Membership, position int) bool {
	members := membership.GetMembers()
	return slices.ContainsFunc(members[position+1:], func(later *rockwindpb.Member) bool {
		return !later.GetLearner() &&
			(later.GetMachine() == members[position].GetMachine() || later.GetReplaces() == members[position].GetId())
	})
}

func (o *owner) remove(membership *rockwindpb.Membership, old *rockwindpb.Member) {
	changed := &rockwindpb.Membership{}
	for _, member := range membership.GetMembers() {
		if member.GetId() != old.GetId() {
			changed.Members = append(changed.Members, member)
		}
	}
	if err := o.changeMembers(changed); err != nil {
		log.WithError(err).WithField("group", o.id).Info("replaced member not removed yet")
	}
}
