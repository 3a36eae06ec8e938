package replica

import (
	"context"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// service handles calls from other machines.
type service struct {
	host *Host
}

var _ rockwindpb.ReplicaService = (*service)(nil)

// Service returns the RPC service for the other control machines. The caller
// mounts it with NewServer, or with rockwindpb.NewReplicaServiceServer if it needs hooks.
func (h *Host) Service() rockwindpb.ReplicaService {
	return &service{host: h}
}

// Send implements rockwindpb.ReplicaService. It queues the messages and waits, for
// at most replyWait, only for the replies to heartbeats.
func (s *service) Send(ctx context.Context, request *rockwindpb.SendRequest) (*rockwindpb.SendResponse, error) {
	from := route{machine: request.GetMachine(), address: request.GetAddress()}
	collector := s.host.transport.collectReplies(from, request)
	err := s.host.deliver(request.GetClusterId(), from, request.GetMessages())
	replies := s.host.transport.awaitReplies(ctx, from, collector)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.SendResponse{Replies: replies}, nil
}

// deliver queues messages from a machine for their groups. Messages that do not
// fit in the queue, or that are for another disk, are dropped. A message for a group that does not run here says
// that this machine was admitted to it.
func (h *Host) deliver(clusterID string, from route, messages []*rockwindpb.GroupMessage) error {
	for _, message := range messages {
		if err := h.checkCaller(clusterID, from.machine); err != nil {
			return err
		}
		if message.GetMessage().GetTo() != h.log.DiskID() {
			continue
		}
		o := h.owner(message.GetGroup())
		if o == nil {
			h.noteInvitation(from.address)
			continue
		}
		h.transport.learnRoute(message.GetMessage().GetFrom(), from)
		select {
		case o.inbox <- message.GetMessage():
		default:
		}
	}
	return nil
}

// Identity implements rockwindpb.ReplicaService. It lists all groups of the
// cluster. Groups that do not run here are listed with the membership in the
// cluster file.
func (s *service) Identity(context.Context, *rockwindpb.IdentityRequest) (*rockwindpb.IdentityResponse, error) {
	h := s.host
	// Read before the groups, which start in between otherwise.
	response := &rockwindpb.IdentityResponse{Machine: h.options.Machine, DiskId: h.log.DiskID(), Started: h.hasStarted()}
	known, groups := h.knownGroups()
	if known == nil {
		return response, nil
	}
	response.ClusterId = known.id
	for _, group := range groups {
		status := &rockwindpb.GroupStatus{Group: group.founding.GetGroup(), Membership: group.founding.GetMembership()}
		if group.owner != nil {
			status = group.owner.Status()
		}
		response.Groups = append(response.Groups, status)
	}
	return response, nil
}

// TransferLeadership implements rockwindpb.ReplicaService. It starts the
// transfers and returns without waiting for them.
func (s *service) TransferLeadership(ctx context.Context, request *rockwindpb.TransferLeadershipRequest) (*rockwindpb.TransferLeadershipResponse, error) {
	groups := request.GetGroups()
	if len(groups) == 0 {
		groups = s.host.Groups()
	}
	for _, id := range groups {
		o := s.host.owner(id)
		if o == nil || !o.leads() {
			continue
		}
		if err := o.do(ctx, func() error { return o.transferLeadership() }); err != nil {
			return nil, fault.ToTwirp(err)
		}
	}
	return &rockwindpb.TransferLeadershipResponse{}, nil
}
