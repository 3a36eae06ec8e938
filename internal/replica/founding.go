package replica

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
)

// largestGroup is the maximum number of replicas of a group.
const largestGroup = 5

// candidate is a machine that may become a founding member.
type candidate struct {
	address  string
	client   rockwindpb.ReplicaService
	identity *rockwindpb.IdentityResponse
}

// Found makes the machines at the given addresses a cluster. Group 0 is the root
// group; groups 1 to jobShards, which may be zero, are the job shards. An address
// is "ip:port", or a URL that begins with "https://". All machines must respond.
// Found may be repeated after a failure and may run concurrently: the same
// machines and the same number of shards always yield the same cluster. It fails
// with fault.Conflict if a machine belongs to another cluster. Found skips a
// machine of the cluster that has lost its disk, which rejoins by itself.
func Found(ctx context.Context, client *http.Client, addresses []string, jobShards int) error {
	if len(addresses) == 0 || jobShards < 0 {
		return fault.New(fault.InvalidArgument, "a cluster needs at least one machine",
			"give the addresses of the control machines and a number of shards that is not negative")
	}
	candidates, err := identifyMachines(ctx, client, addresses)
	if err != nil {
		return err
	}
	request, err := foundingRequest(candidates, jobShards)
	if err != nil {
		return err
	}
	for _, c := range candidates {
		if c.identity.GetClusterId() != "" || !namesDisk(request, c.identity.GetDiskId()) {
			continue
		}
		if _, err := c.client.Found(ctx, request); err != nil {
			return fault.From(err)
		}
	}
	return nil
}

func identifyMachines(ctx context.Context, client *http.Client, addresses []string) ([]*candidate, error) {
	var candidates []*candidate
	machines := map[string]string{}
	for _, address := range addresses {
		base := address
		if !strings.Contains(address, "://") {
			base = scheme + address
		}
		c := &candidate{address: address[strings.LastIndex(address, "/")+1:]}
		c.client = rockwindpb.NewReplicaServiceProtobufClient(base, twirphttp.Client{HTTPClient: client})
		identity, err := c.client.Identity(ctx, &rockwindpb.IdentityRequest{})
		if err != nil {
			return nil, errors.Wrapf(fault.From(err), "identify the machine at %s", address)
		}
		if other, duplicate := machines[identity.GetMachine()]; duplicate {
			return nil, fault.Newf(fault.InvalidArgument, "give each control machine a name of its own",
				"%s and %s are both named %s", other, address, identity.GetMachine())
		}
		machines[identity.GetMachine()] = address
		c.identity = identity
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Compare(a.identity.GetMachine(), b.identity.GetMachine())
	})
	return candidates, nil
}

// foundingRequest returns the request that founds the cluster or that completes
// an interrupted founding.
func foundingRequest(candidates []*candidate, jobShards int) (*rockwindpb.FoundRequest, error) {
	var founded *candidate
	for _, c := range candidates {
		if c.identity.GetClusterId() == "" {
			continue
		}
		if founded != nil && founded.identity.GetClusterId() != c.identity.GetClusterId() {
			return nil, clusterConflict(c.identity.GetMachine(), c.identity.GetClusterId())
		}
		founded = c
	}
	if founded == nil {
		return newFounding(candidates, jobShards), nil
	}
	return resumedFounding(founded, candidates, jobShards)
}

func newFounding(candidates []*candidate, jobShards int) *rockwindpb.FoundRequest {
	digest := sha256.New()
	var members []*rockwindpb.Member
	for _, c := range candidates {
		member := &rockwindpb.Member{Id: c.identity.GetDiskId(), Machine: c.identity.GetMachine(), Address: c.address}
		members = append(members, member)
		_, _ = fmt.Fprintf(digest, "%q %x\n", member.GetMachine(), member.GetId())
	}
	_, _ = fmt.Fprintf(digest, "%d\n", jobShards)
	request := &rockwindpb.FoundRequest{ClusterId: hex.EncodeToString(digest.Sum(nil)[:8])}
	for group := range uint32(jobShards) + 1 {
		request.Groups = append(request.Groups, &rockwindpb.FoundingGroup{
			Group:      group,
			Membership: &rockwindpb.Membership{Members: groupMembers(members, int(group))},
		})
	}
	return request
}

// groupMembers selects the machines of a group in rotation: each group starts
// after the last machine of the previous one. No machine then holds more than the
// average number of replicas, rounded up.
func groupMembers(members []*rockwindpb.Member, group int) []*rockwindpb.Member {
	count := min(len(members), largestGroup)
	chosen := make([]*rockwindpb.Member, 0, count)
	for offset := range count {
		chosen = append(chosen, members[(group*count+offset)%len(members)])
	}
	return chosen
}

// resumedFounding returns the founding that a machine has already accepted.
func resumedFounding(founded *candidate, candidates []*candidate, jobShards int) (*rockwindpb.FoundRequest, error) {
	groups := founded.identity.GetGroups()
	if len(groups) != jobShards+1 {
		return nil, fault.Newf(fault.Conflict, "repeat the call with the same number of shards",
			"cluster %s was founded with %d job shards", founded.identity.GetClusterId(), len(groups)-1)
	}
	request := &rockwindpb.FoundRequest{ClusterId: founded.identity.GetClusterId()}
	for _, group := range groups {
		request.Groups = append(request.Groups, &rockwindpb.FoundingGroup{
			Group: group.GetGroup(), Membership: group.GetMembership(),
		})
	}
	for _, c := range candidates {
		if c.identity.GetClusterId() == "" && !namesMachine(request, c.identity.GetMachine()) {
			return nil, clusterConflict(founded.identity.GetMachine(), founded.identity.GetClusterId())
		}
	}
	return request, nil
}

func clusterConflict(machine, cluster string) error {
	return fault.Newf(fault.Conflict,
		"found a cluster only of machines with new data folders; move the data folder of that machine away if its cluster is given up",
		"machine %s belongs to cluster %s already", machine, cluster)
}

func namesDisk(request *rockwindpb.FoundRequest, disk uint64) bool {
	for _, group := range request.GetGroups() {
		if memberByID(group.GetMembership(), disk) != nil {
			return true
		}
	}
	return false
}

func namesMachine(request *rockwindpb.FoundRequest, machine string) bool {
	for _, group := range request.GetGroups() {
		if hasMachine(group.GetMembership(), machine) {
			return true
		}
	}
	return false
}

// Found implements rockwindpb.ReplicaService. It waits until the host has
// started, since a daemon may listen before its groups can be founded.
func (s *service) Found(ctx context.Context, request *rockwindpb.FoundRequest) (*rockwindpb.FoundResponse, error) {
	if err := s.host.AcceptFounding(ctx, request); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.FoundResponse{}, nil
}

// AcceptFounding makes this machine a founding member of the cluster that the
// request describes. It is idempotent. It fails with fault.Conflict if the request
// does not name this disk or if this machine belongs to another cluster.
func (h *Host) AcceptFounding(ctx context.Context, request *rockwindpb.FoundRequest) error {
	select {
	case <-h.started:
	case <-ctx.Done():
		return unavailable("this control machine is starting")
	}
	return h.applyFounding(request)
}

func (h *Host) applyFounding(request *rockwindpb.FoundRequest) error {
	if request.GetClusterId() == "" || len(request.GetGroups()) == 0 {
		return fault.New(fault.InvalidArgument, "the founding names no cluster or no group", "use 'rockwind found'")
	}
	if !namesDisk(request, h.log.DiskID()) {
		return fault.Newf(fault.Conflict, "repeat the founding, which reads the identities again",
			"the founding does not name the disk of machine %s", h.options.Machine)
	}
	return h.joinCluster(&cluster{id: request.GetClusterId(), groups: request.GetGroups()})
}

// joinCluster makes this machine part of a cluster and starts its groups. Calls
// are serialized. The cluster file is synced without holding the host's mutex,
// which every incoming message needs.
func (h *Host) joinCluster(target *cluster) error {
	h.joinSlot <- struct{}{}
	defer func() { <-h.joinSlot }()
	already, err := h.alreadyInCluster(target)
	if err != nil {
		return err
	}
	if already {
		if target = h.withNewGroups(target); target == nil {
			return nil
		}
	}
	if err := saveCluster(h.options.FileSystem, h.options.Folder, h.log.DiskID(), target); err != nil {
		return errors.Wrap(err, "write cluster file")
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.cluster = target
	if !h.running {
		return unavailable("this control machine is stopping; it takes part when it is started again")
	}
	return h.startGroups()
}

// withNewGroups returns the cluster of this machine, extended by the described groups
// that it did not know or has since become a member of, or nil if there are none.
// Running groups keep the membership that they were started with.
func (h *Host) withNewGroups(described *cluster) *cluster {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := map[uint32]*rockwindpb.FoundingGroup{}
	for _, group := range h.cluster.groups {
		known[group.GetGroup()] = group
	}
	changed := false
	result := &cluster{id: h.cluster.id}
	for _, group := range described.groups {
		kept := known[group.GetGroup()]
		if kept == nil || (h.owners[group.GetGroup()] == nil && memberByID(group.GetMembership(), h.log.DiskID()) != nil) {
			kept = withRegion(group, kept.GetRegion())
			changed = true
		}
		result.groups = append(result.groups, kept)
	}
	if !changed {
		return nil
	}
	return result
}

// withRegion returns a group with the region that is known here, if its description has none:
// machines of earlier versions omit it.
func withRegion(group *rockwindpb.FoundingGroup, known string) *rockwindpb.FoundingGroup {
	if group.GetRegion() != "" || known == "" {
		return group
	}
	return &rockwindpb.FoundingGroup{Group: group.GetGroup(), Membership: group.GetMembership(), Region: known}
}

// alreadyInCluster reports whether this machine belongs to a cluster. It fails if
// that is not the target.
func (h *Host) alreadyInCluster(target *cluster) (bool, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case !h.running:
		return false, unavailable("this control machine is starting or stopping")
	case h.cluster == nil:
		return false, nil
	case h.cluster.id != target.id:
		return false, clusterConflict(h.options.Machine, h.cluster.id)
	}
	return true, nil
}
