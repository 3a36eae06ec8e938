package replica

import (
	"context"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// service answers the calls of other machines.
type service struct {
	host *Host
}

var _ rockwindpb.ReplicaService = (*service)(nil)

// Service returns the host's side of the protocol among control machines; the
// caller mounts it with rockwindpb.NewReplicaServiceServer.
func (h *Host) Service() rockwindpb.ReplicaService {
	return &service{host: h}
}

// Send implements rockwindpb.ReplicaService. It hands the messages on and does
// not wait for their effect, but for the replies to heartbeats, which are made at once.
func (s *service) Send(ctx context.Context, request *rockwindpb.SendRequest) (*rockwindpb.SendResponse, error) {
	from := route{machine: request.GetMachine(), address: request.GetAddress()}
	gathered := s.host.transport.gather(from, request)
	err := s.host.take(request.GetClusterId(), from, request.GetMessages())
	replies := s.host.transport.gathered(ctx, from, gathered)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.SendResponse{Replies: replies}, nil
}

// take hands messages of a machine to their groups; what does not fit is dropped, as on a lossy
// link.
func (h *Host) take(clusterID string, from route, messages []*rockwindpb.GroupMessage) error {
	for _, message := range messages {
		o, err := h.addressed(clusterID, from.machine, message.GetGroup())
		if err != nil {
			return err
		}
		if message.GetMessage().GetTo() != h.log.DiskID() {
			continue
		}
		h.transport.learn(message.GetMessage().GetFrom(), from)
		select {
		case o.inbox <- message.GetMessage():
		default:
		}
	}
	return nil
}

// Identity implements rockwindpb.ReplicaService. It lists all groups of the
// cluster, those that do not run here with the membership known at founding.
func (s *service) Identity(context.Context, *rockwindpb.IdentityRequest) (*rockwindpb.IdentityResponse, error) {
	h := s.host
	response := &rockwindpb.IdentityResponse{Machine: h.options.Machine, DiskId: h.log.DiskID()}
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
// handover and returns.
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
		if err := o.do(ctx, func() error { return o.handOver() }); err != nil {
			return nil, fault.ToTwirp(err)
		}
	}
	return &rockwindpb.TransferLeadershipResponse{}, nil
}
