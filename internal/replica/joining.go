package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featurelevel"
	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// joinRetryPeriod is how long a machine keeps asking all others after it has
// joined, to reach leaders that were unreachable at first.
const joinRetryPeriod = 10 * time.Second

// runJoinLoop asks all peers to let this machine join while needsToJoin holds. A
// machine that is merely available to replace members of other groups asks one
// peer at a time, in random order: since all machines do so, each leader gets about as many
// calls as if one machine asked every peer. Leaders remember who asked, and a machine that
// one of them has admitted asks it at its first message.
func (h *Host) runJoinLoop() error {
	turns := peerTurns{random: rand.New(rand.NewPCG(h.options.RandomSeed, h.log.DiskID()))}
	next := time.After(h.options.electionTimeout())
	for {
		select {
		case <-h.ctx.Done():
			return nil
		case address := <-h.invitations:
			h.requestJoin(&rockwindpb.ControlMachine{Address: address})
			if !h.sleep(h.options.electionTimeout() / invitationsPerTimeout) {
				return nil
			}
			continue
		case <-next:
		}
		peers := h.joinPeers()
		switch {
		case h.needsToJoin():
		case h.options.AdmitNew && h.lacksGroup():
			peers = turns.next(peers)
		default:
			peers = nil
		}
		h.requestJoins(peers)
		next = time.After(h.options.electionTimeout())
	}
}

// parallelJoinCalls bounds the calls to join at a time: a peer that does not answer must not delay the others.
const parallelJoinCalls = 4

func (h *Host) requestJoins(peers []*rockwindpb.ControlMachine) {
	var calls errgroup.Group
	calls.SetLimit(parallelJoinCalls)
	for _, peer := range peers {
		calls.Go(func() error {
			h.requestJoin(peer)
			return nil
		})
	}
	_ = calls.Wait()
}

// invitationsPerTimeout bounds the calls for invitations, in calls per election timeout.
const invitationsPerTimeout = 4

// noteInvitation records that the machine at an address sends messages for a group that does not run here.
func (h *Host) noteInvitation(address string) {
	select {
	case h.invitations <- address:
	default:
	}
}

// peerTurns selects one peer at a time, at random among those that have not had their turn.
type peerTurns struct {
	random *rand.Rand
	had    map[string]bool
}

// next returns the peer whose turn it is, or none if there are no peers.
func (t *peerTurns) next(peers []*rockwindpb.ControlMachine) []*rockwindpb.ControlMachine {
	waiting := slices.DeleteFunc(slices.Clone(peers), func(peer *rockwindpb.ControlMachine) bool { return t.had[peer.GetAddress()] })
	if len(waiting) == 0 {
		waiting, t.had = peers, nil
	}
	if len(waiting) == 0 {
		return nil
	}
	if t.had == nil {
		t.had = make(map[string]bool)
	}
	chosen := waiting[t.random.IntN(len(waiting))]
	t.had[chosen.GetAddress()] = true
	return []*rockwindpb.ControlMachine{chosen}
}

// joinPeers lists the machines that may let this one join.
func (h *Host) joinPeers() []*rockwindpb.ControlMachine {
	known := h.options.Peers
	if h.options.Discover != nil {
		known = slices.Concat(known, h.options.Discover())
	}
	known = slices.Concat(known, h.members(), h.fellowMembers())
	seen := map[string]bool{h.options.Address: true}
	var peers []*rockwindpb.ControlMachine
	for _, peer := range known {
		if peer.GetMachine() == h.options.Machine || seen[peer.GetAddress()] || !h.allowedBothWays(peer.GetMachine()) {
			continue
		}
		seen[peer.GetAddress()] = true
		peers = append(peers, peer)
	}
	return peers
}

// fellowMembers lists the members of the groups that run here, by the newest memberships in the log. After a restart they
// may be the only known machines.
func (h *Host) fellowMembers() []*rockwindpb.ControlMachine {
	var groups []*rockwindpb.FoundingGroup
	for _, o := range h.allOwners() {
		groups = append(groups, &rockwindpb.FoundingGroup{Membership: o.Status().GetMembership()})
	}
	return groupMachines(groups)
}

// recordJoinMembers stores the members in a response to a join call. The leaders
// may be machines that the settings do not list.
func (h *Host) recordJoinMembers(groups []*rockwindpb.FoundingGroup) {
	lastJoinMembers := groupMachines(groups)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lastJoinMembers = lastJoinMembers
}

// groupChecksum returns the checksum of the groups that the machine at an address
// sent and that were processed here.
func (h *Host) groupChecksum(address string) uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.groupChecksums[address]
}

// JoinResponseMembers lists the group members in the latest response to a join
// call. A machine that does not run all groups makes such a call once per election
// timeout. Before the first response, a machine that runs no group returns the
// members in its cluster file.
func (h *Host) JoinResponseMembers() []*rockwindpb.ControlMachine { return slices.Clone(h.members()) }

// members implements JoinResponseMembers. It falls back to the cluster file since
// all machines in the settings may be gone.
func (h *Host) members() []*rockwindpb.ControlMachine {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.lastJoinMembers) > 0 || len(h.owners) > 0 || h.cluster == nil {
		return h.lastJoinMembers
	}
	return groupMachines(h.cluster.groups)
}

// groupMachines lists the machines in the memberships of groups.
func groupMachines(groups []*rockwindpb.FoundingGroup) []*rockwindpb.ControlMachine {
	var members []*rockwindpb.ControlMachine
	for _, group := range groups {
		for _, member := range group.GetMembership().GetMembers() {
			members = append(members, &rockwindpb.ControlMachine{Machine: member.GetMachine(), Address: member.GetAddress()})
		}
	}
	return members
}

// needsToJoin reports whether this machine must ask all peers: it belongs to no
// cluster, has joined recently, is not a voter of a group that it runs or, if
// AdmitNew is set, receives nothing from the leader of such a group.
func (h *Host) needsToJoin() bool {
	if h.clusterID() == "" || h.joinedWithin(joinRetryPeriod) {
		return true
	}
	for _, o := range h.allOwners() {
		if status := o.Status(); !status.GetVoter() || (h.options.AdmitNew && !status.GetHearsLeader()) {
			return true
		}
	}
	return false
}

// joinedWithin reports whether this machine joined its cluster through another
// machine within the given period.
func (h *Host) joinedWithin(period time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return !h.joinedAt.IsZero() && time.Since(h.joinedAt) < period
}

// lacksGroup reports whether the cluster has a group that does not run here and
// that this machine may join. This machine may be needed there.
func (h *Host) lacksGroup() bool {
	_, groups := h.knownGroups()
	return slices.ContainsFunc(groups, func(group knownGroup) bool {
		region := group.founding.GetRegion()
		return group.owner == nil && (h.mayHold(h.options.Machine, region) || h.mayWitness(h.options.Machine, region, group.founding.GetMembership()))
	})
}

func (h *Host) requestJoin(peer *rockwindpb.ControlMachine) {
	ctx, cancel := context.WithTimeout(h.ctx, sendTimeout)
	defer cancel()
	response, err := h.clientFor(peer.GetAddress()).Join(ctx, &rockwindpb.JoinRequest{
		Machine:      h.options.Machine,
		DiskId:       h.log.DiskID(),
		Address:      h.options.Address,
		HaveChecksum: h.groupChecksum(peer.GetAddress()),
		FeatureLevel: featurelevel.Current,
	})
	if err != nil {
		log.WithError(fault.From(err)).WithField("machine", peer.GetMachine()).Info("not joined")
		return
	}
	if len(response.GetGroups()) == 0 {
		return
	}
	h.recordJoinMembers(response.GetGroups())
	first := h.clusterID() == ""
	if err := h.joinCluster(&cluster{id: response.GetClusterId(), groups: response.GetGroups()}); err != nil {
		log.WithError(err).WithField("machine", peer.GetMachine()).Warn("not joined")
		return
	}
	h.recordJoin(peer.GetAddress(), response.GetChecksum(), first)
}

// recordJoin stores the checksum of the groups that the machine at an address sent
// and, for the first response, the time.
func (h *Host) recordJoin(address string, checksum uint64, first bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.groupChecksums[address] = checksum
	if first {
		h.joinedAt = time.Now()
	}
}

// Join implements rockwindpb.ReplicaService. It starts the replacement in the
// groups that this machine leads and returns all groups of the cluster.
func (s *service) Join(ctx context.Context, request *rockwindpb.JoinRequest) (*rockwindpb.JoinResponse, error) {
	response, err := s.host.handleJoin(ctx, request)
	return response, fault.ToTwirp(err)
}

func (h *Host) handleJoin(ctx context.Context, request *rockwindpb.JoinRequest) (*rockwindpb.JoinResponse, error) {
	if !h.allowedBothWays(request.GetMachine()) {
		return nil, unavailable("the link is cut")
	}
	if request.GetMachine() == "" || request.GetDiskId() == 0 {
		return nil, fault.New(fault.InvalidArgument, "the joining machine has no name or no disk identity", "check its settings")
	}
	response, err := h.describeGroups()
	if err != nil {
		return nil, err
	}
	if !h.options.AdmitNew && !h.isKnownMachine(request.GetMachine(), response.GetGroups()) {
		return nil, fault.Newf(fault.Conflict, "give it the name of the machine that it replaces, or list it in the settings of all machines",
			"no machine of this cluster is named %s", request.GetMachine())
	}
	h.spares.record(request, time.Now())
	// A group that refuses the machine must not hide those that admit it.
	var refused error
	admitted := false
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
			refused = err
		}
		if err == nil {
			setMembership(response, o.id, membership)
			admitted = admitted || memberByID(membership, request.GetDiskId()) != nil
		}
	}
	if refused != nil && !admitted {
		return nil, refused
	}
	return omitKnownGroups(response, request.GetHaveChecksum())
}

// omitKnownGroups adds the checksum to a response, and omits the groups if the
// caller already has them: in a large cluster they are most of the response.
func omitKnownGroups(response *rockwindpb.JoinResponse, knownChecksum uint64) (*rockwindpb.JoinResponse, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(response)
	if err != nil {
		return nil, errors.Wrap(err, "encode the groups")
	}
	response.Checksum = xxhash.Sum64(encoded)
	if response.Checksum == knownChecksum {
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

// isKnownMachine reports whether a machine is a member of a group or listed in the
// settings. A large cluster has machines without a replica.
func (h *Host) isKnownMachine(machine string, groups []*rockwindpb.FoundingGroup) bool {
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
		return nil, unavailable("this control machine belongs to no cluster")
	}
	response := &rockwindpb.JoinResponse{ClusterId: known.id}
	for _, group := range groups {
		membership := group.founding.GetMembership()
		if group.owner != nil {
			if current := group.owner.Status().GetMembership(); len(current.GetMembers()) > 0 {
				membership = current
			}
		}
		response.Groups = append(response.Groups, &rockwindpb.FoundingGroup{Group: group.founding.GetGroup(), Membership: membership, Region: group.founding.GetRegion()})
	}
	return response, nil
}

func progressOf(status raft.Status, id uint64) raft.ProgressStatus {
	for _, progress := range status.Progress {
		if progress.ID == id {
			return progress
		}
	}
	return raft.ProgressStatus{}
}

// proposeMembership proposes a membership. A change that must wait for another one
// is retried: the joining machine asks until it is a voter, and the leader checks
// at each tick.
func (o *owner) proposeMembership(changed *rockwindpb.Membership) error {
	err := o.node.ProposeMembership(changed)
	if errors.Is(err, raft.ErrMembershipPending) || errors.Is(err, raft.ErrTransferring) {
		return unavailable("another change of the membership is under way")
	}
	if errors.Is(err, raft.ErrNotLeader) {
		return o.notLeader()
	}
	return err
}
