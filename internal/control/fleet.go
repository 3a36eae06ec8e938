package control

import (
	"context"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/control/exchange"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// shareInterval is the interval at which aggregates are sent to other machines.
	shareInterval = 2 * time.Second
	// shareTimeout bounds a call to another machine's fleet service.
	shareTimeout = time.Second
	// taskQueueSize is the number of calls that may wait for the owner goroutine.
	taskQueueSize = 1024
)

// fleetService implements rockwindpb.FleetService. One goroutine owns the state and
// runs the functions that calls queue in tasks.
type fleetService struct {
	daemon *daemon
	state  *exchange.FleetState
	tasks  chan func(now time.Time)
	// reconfigured signals the owner goroutine to load the configuration.
	reconfigured chan struct{}
}

func newFleetService(d *daemon) *fleetService {
	epoch := uint64(time.Now().UnixNano())
	return &fleetService{
		daemon:       d,
		state:        exchange.NewFleetState(d.settings.GetMachine(), epoch),
		tasks:        make(chan func(time.Time), taskQueueSize),
		reconfigured: make(chan struct{}, 1),
	}
}

// configurationChanged makes the owner goroutine load the configuration.
func (s *fleetService) configurationChanged() {
	select {
	case s.reconfigured <- struct{}{}:
	default:
	}
}

// run owns the state until ctx is done.
func (s *fleetService) run(ctx context.Context) error {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case task := <-s.tasks:
			task(time.Now())
		case <-s.reconfigured:
			if index, known := s.daemon.index(ctx); known {
				s.state.Configure(index)
			}
		case <-ticker.C:
			now := time.Now()
			s.state.Refresh(now)
			go s.shareAggregates(ctx, s.state.Aggregates(now))
		}
	}
}

// shareAggregates sends the aggregates of this machine to the others.
func (s *fleetService) shareAggregates(ctx context.Context, aggregates *rockwindpb.ShareAggregatesRequest) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var calls errgroup.Group
	for _, other := range s.daemon.otherMachines() {
		client := rockwindpb.NewFleetServiceProtobufClient(s.daemon.baseURL(other), s.daemon.client)
		calls.Go(func() error {
			if _, err := client.ShareAggregates(ctx, aggregates); err != nil {
				log.WithError(err).WithField("machine", other.GetMachine()).Debug("cannot send aggregates to control machine")
			}
			return nil
		})
	}
	_ = calls.Wait()
}

// do runs a function on the owner goroutine and waits for it.
func (s *fleetService) do(ctx context.Context, work func(now time.Time)) error {
	done := make(chan struct{})
	task := func(now time.Time) {
		work(now)
		close(done)
	}
	select {
	case s.tasks <- task:
	case <-ctx.Done():
		return overloadedFault()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return overloadedFault()
	}
}

func overloadedFault() error {
	return fault.New(fault.Overloaded, "the fleet state did not answer in time", "retry in the next exchange")
}

// Exchange implements rockwindpb.FleetService.
func (s *fleetService) Exchange(ctx context.Context, request *rockwindpb.ExchangeRequest) (*rockwindpb.ExchangeResponse, error) {
	var response *rockwindpb.ExchangeResponse
	err := s.do(ctx, func(now time.Time) {
		response = s.state.Exchange(now, request)
		if s.state.TakeNewlyLeaving() {
			go s.shareAggregates(context.WithoutCancel(ctx), s.state.Aggregates(now))
		}
	})
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return response, nil
}

// Status implements rockwindpb.FleetService.
func (s *fleetService) Status(ctx context.Context, _ *rockwindpb.FleetStatusRequest) (*rockwindpb.FleetStatusResponse, error) {
	var response *rockwindpb.FleetStatusResponse
	err := s.do(ctx, func(now time.Time) { response = s.state.Status(now) })
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	response.Models = append(response.Models, s.daemon.waitingItems()...)
	return response, nil
}

// ShareAggregates implements rockwindpb.FleetService.
func (s *fleetService) ShareAggregates(ctx context.Context, request *rockwindpb.ShareAggregatesRequest) (*rockwindpb.ShareAggregatesResponse, error) {
	err := s.do(ctx, func(now time.Time) { s.state.ApplyAggregates(now, request) })
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.ShareAggregatesResponse{}, nil
}
