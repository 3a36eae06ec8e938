package control

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// role is the role that the daemon reports.
const role = "control"

// adminService implements rockwindpb.AdminService.
type adminService struct {
	daemon *daemon
	ring   *logring.Ring
}

// Logs implements rockwindpb.AdminService.
func (s adminService) Logs(_ context.Context, request *rockwindpb.LogsRequest) (*rockwindpb.LogsResponse, error) {
	if s.ring == nil {
		return &rockwindpb.LogsResponse{}, nil
	}
	return &rockwindpb.LogsResponse{Lines: s.ring.Lines(int(request.GetLimit()))}, nil
}

// Drain implements rockwindpb.AdminService. It transfers the leadership of all
// groups; the machine remains a follower until it is stopped.
func (s adminService) Drain(ctx context.Context, request *rockwindpb.DrainRequest) (*rockwindpb.DrainResponse, error) {
	if deadline := request.GetDeadlineMs(); deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(deadline)*time.Millisecond)
		defer cancel()
	}
	s.daemon.draining.Store(true)
	if err := s.daemon.host.Drain(ctx); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.DrainResponse{}, nil
}

// State implements rockwindpb.AdminService.
func (s adminService) State(ctx context.Context, _ *rockwindpb.DaemonStateRequest) (*rockwindpb.DaemonStateResponse, error) {
	response := &rockwindpb.DaemonStateResponse{
		Name:               s.daemon.settings.GetMachine(),
		Role:               role,
		Draining:           s.daemon.draining.Load(),
		RequestsInProgress: uint32(s.daemon.inProgress.Load()),
	}
	if index, known := s.daemon.index(ctx); known {
		response.ConfigurationNumber = index.Number()
		response.ConfigurationChecksum = index.Checksum()
	}
	return response, nil
}
