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

// largestGroup is how many machines hold a replica of one group.
const largestGroup = 5

// candidate is a machine that is asked to take part in a founding.
type candidate struct {
	address  string
	client   rockwindpb.ReplicaService
	identity *rockwindpb.IdentityResponse
}

// Found makes the machines at the given addresses a cluster: group 0 is the
// root group, 1 to jobShards are the job shards, of which there may be none. An address is "ip:port", or
// begins with "https://". All machines must answer. It may be called again
// after a failure, and by several operators at once: the same machines and the
// same number of shards always make the same cluster. Machines of another
// cluster are refused with fault.Conflict. A machine of the cluster that has
// lost its disk since is left alone: it joins by itself.
func Found(ctx context.Context, client *http.Client, addresses []string, jobShards int) error {
	if len(addresses) == 0 || jobShards < 0 {
		return fault.New(fault.InvalidArgument, "a cluster needs a machine",
			"name the addresses of the control machines, and no fewer than zero shards")
	}
	candidates, err := identify(ctx, client, addresses)
	if err != nil {
		return err
	}
	request, err := foundingOf(candidates, jobShards)
	if err != nil {
		return err
	}
	for _, c := range candidates {
		if c.identity.GetClusterId() != "" || !isFounder(request, c.identity.GetDiskId()) {
			continue
		}
		if _, err := c.client.Found(ctx, request); err != nil {
			return fault.From(err)
		}
	}
	return nil
}

func identify(ctx context.Context, client *http.Client, addresses []string) ([]*candidate, error) {
	var candidates []*candidate
	machines := map[string]string{}
	for _, address := range addresses {
		base := address
		if !strings.Contains(address, "://") {
			base = scheme + address
		}
		c := &candidate{address: address[strings.LastIndex(address, "/")+1:]}
		c.client = rockwindpb.NewReplicaServiceProtobufClient(base, twirphttp.Client{Carrier: client})
		identity, err := c.client.Identity(ctx, &rockwindpb.IdentityRequest{})
		if err != nil {
			return nil, errors.Wrapf(fault.From(err), "ask the machine at %s", address)
		}
		if other, twice := machines[identity.GetMachine()]; twice {
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

// foundingOf returns the request that founds the cluster, or that completes a
// founding which was broken off.
func foundingOf(candidates []*candidate, jobShards int) (*rockwindpb.FoundRequest, error) {
	var begun *candidate
	for _, c := range candidates {
		if c.identity.GetClusterId() == "" {
			continue
		}
		if begun != nil && begun.identity.GetClusterId() != c.identity.GetClusterId() {
			return nil, otherCluster(c.identity.GetMachine(), c.identity.GetClusterId())
		}
		begun = c
	}
	if begun == nil {
		return newFounding(candidates, jobShards), nil
	}
	return resumedFounding(begun, candidates, jobShards)
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

// groupMembers chooses the machines of a group: those that follow the ones of the
// group before it, round and round, so that each machine holds its even part of
// the replicas, rounded up.
func groupMembers(members []*rockwindpb.Member, group int) []*rockwindpb.Member {
	count := min(len(members), largestGroup)
	chosen := make([]*rockwindpb.Member, 0, count)
	for offset := range count {
		chosen = append(chosen, members[(group*count+offset)%len(members)])
	}
	return chosen
}

// resumedFounding returns the founding that a machine has taken part in.
func resumedFounding(begun *candidate, candidates []*candidate, jobShards int) (*rockwindpb.FoundRequest, error) {
	groups := begun.identity.GetGroups()
	if len(groups) != jobShards+1 {
		return nil, fault.Newf(fault.Conflict, "repeat the call with the same number of shards",
			"cluster %s was founded with %d job shards", begun.identity.GetClusterId(), len(groups)-1)
	}
	request := &rockwindpb.FoundRequest{ClusterId: begun.identity.GetClusterId()}
	for _, group := range groups {
		request.Groups = append(request.Groups, &rockwindpb.FoundingGroup{
			Group: group.GetGroup(), Membership: group.GetMembership(),
		})
	}
	for _, c := range candidates {
		if c.identity.GetClusterId() == "" && !isMachine(request, c.identity.GetMachine()) {
			return nil, otherCluster(begun.identity.GetMachine(), begun.identity.GetClusterId())
		}
	}
	return request, nil
}

func otherCluster(machine, cluster string) error {
	return fault.Newf(fault.Conflict,
		"found a cluster only of machines with new data folders; move the data folder of that machine away if its cluster is given up",
		"machine %s belongs to cluster %s already", machine, cluster)
}

func isFounder(request *rockwindpb.FoundRequest, disk uint64) bool {
	for _, group := range request.GetGroups() {
		if memberByID(group.GetMembership(), disk) != nil {
			return true
		}
	}
	return false
}

func isMachine(request *rockwindpb.FoundRequest, machine string) bool {
	for _, group := range request.GetGroups() {
		if hasMachine(group.GetMembership(), machine) {
			return true
		}
	}
	return false
}

// Found implements rockwindpb.ReplicaService. It waits for a host that is
// starting: a daemon may listen a little before its groups can be founded.
func (s *service) Found(ctx context.Context, request *rockwindpb.FoundRequest) (*rockwindpb.FoundResponse, error) {
	if err := s.host.AcceptFounding(ctx, request); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.FoundResponse{}, nil
}

// AcceptFounding makes this machine a founding member of a cluster whose founding was
// decided elsewhere. It may be repeated. It fails with fault.Conflict where the
// founding does not name this disk, or this machine belongs to another cluster.
func (h *Host) AcceptFounding(ctx context.Context, request *rockwindpb.FoundRequest) error {
	select {
	case <-h.started:
	case <-ctx.Done():
		return notBegun("this control machine is starting")
	}
	return h.beFounded(request)
}

func (h *Host) beFounded(request *rockwindpb.FoundRequest) error {
	if request.GetClusterId() == "" || len(request.GetGroups()) == 0 {
		return fault.New(fault.InvalidArgument, "the founding names no cluster or no group", "use 'rockwind found'")
	}
	if !isFounder(request, h.log.DiskID()) {
		return fault.Newf(fault.Conflict, "repeat the founding, which reads the identities again",
			"the founding does not name the disk of machine %s", h.options.Machine)
	}
	return h.enter(&cluster{id: request.GetClusterId(), groups: request.GetGroups()})
}

// enter makes this machine part of a cluster and starts its groups. Calls take
// turns; the cluster file is synced outside the host's mutex, which every message
// needs.
func (h *Host) enter(entered *cluster) error {
	h.entering <- struct{}{}
	defer func() { <-h.entering }()
	done, err := h.entered(entered)
	if err != nil {
		return err
	}
	if done {
		if entered = h.extended(entered); entered == nil {
			return nil
		}
	}
	if err := saveCluster(h.options.FileSystem, h.options.Folder, h.log.DiskID(), entered); err != nil {
		return errors.Wrap(err, "write cluster file")
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.cluster = entered
	if !h.running {
		return notBegun("this control machine is stopping; it takes part when it is started again")
	}
	return h.startGroups()
}

// extended returns the cluster of this machine with the groups that it has become
// a member of since, or nil where there are none. Groups that run keep the
// membership that they were started with.
func (h *Host) extended(described *cluster) *cluster {
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
			kept = group
			changed = true
		}
		result.groups = append(result.groups, kept)
	}
	if !changed {
		return nil
	}
	return result
}

// entered tells whether this machine is part of a cluster already. It fails where
// that is another one.
func (h *Host) entered(wanted *cluster) (bool, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case !h.running:
		return false, notBegun("this control machine is starting or stopping")
	case h.cluster == nil:
		return false, nil
	case h.cluster.id != wanted.id:
		return false, otherCluster(h.options.Machine, h.cluster.id)
	}
	return true, nil
}
