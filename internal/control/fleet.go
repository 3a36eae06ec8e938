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
	// sharePause is the time between two calls that pass aggregates on.
	sharePause = 2 * time.Second
	// shareTimeout bounds one of them.
	shareTimeout = time.Second
	// waitingExchanges is how many calls may wait for the owner of the board.
	waitingExchanges = 1024
)

// fleetService implements rockwindpb.FleetService. One goroutine owns the board;
// calls hand it functions to run.
type fleetService struct {
	daemon *daemon
	board  *exchange.FleetState
	orders chan func(now time.Time)
	// reconfigured asks the owner to read the configuration again.
	reconfigured chan struct{}
}

func newFleetService(d *daemon) *fleetService {
	epoch := uint64(time.Now().UnixNano())
	return &fleetService{
		daemon:       d,
		board:        exchange.NewFleetState(d.settings.GetMachine(), epoch),
		orders:       make(chan func(time.Time), waitingExchanges),
		reconfigured: make(chan struct{}, 1),
	}
}

// configure makes the owner read the configuration again.
func (s *fleetService) configure() {
	select {
	case s.reconfigured <- struct{}{}:
	default:
	}
}

// run owns the board until the context ends.
func (s *fleetService) run(ctx context.Context) error {
	ticker := time.NewTicker(sharePause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case order := <-s.orders:
			order(time.Now())
		case <-s.reconfigured:
			if index, known := s.daemon.index(ctx); known {
				s.board.Configure(index)
			}
		case <-ticker.C:
			now := time.Now()
			s.board.Refresh(now)
			go s.share(ctx, s.board.Aggregates(now))
		}
	}
}

// share passes what this machine knows to the others.
func (s *fleetService) share(ctx context.Context, aggregates *rockwindpb.ShareAggregatesRequest) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var calls errgroup.Group
	for _, other := range s.daemon.others() {
		client := rockwindpb.NewFleetServiceProtobufClient(s.daemon.baseURL(other), s.daemon.client)
		calls.Go(func() error {
			if _, err := client.ShareAggregates(ctx, aggregates); err != nil {
				log.WithError(err).WithField("machine", other.GetMachine()).Debug("cannot pass aggregates on")
			}
			return nil
		})
	}
	_ = calls.Wait()
}

// do runs a function on the owner goroutine.
func (s *fleetService) do(ctx context.Context, work func(now time.Time)) error {
	done := make(chan struct{})
	order := func(now time.Time) {
		work(now)
		close(done)
	}
	select {
	case s.orders <- order:
	case <-ctx.Done():
		return busy()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return busy()
	}
}

func busy() error {
	return fault.New(fault.Overloaded, "the exchange did not answer in time", "exchange again in the next period")
}

// Exchange implements rockwindpb.FleetService.
func (s *fleetService) Exchange(ctx context.Context, request *rockwindpb.ExchangeRequest) (*rockwindpb.ExchangeResponse, error) {
	var response *rockwindpb.ExchangeResponse
	err := s.do(ctx, func(now time.Time) {
		response = s.board.Exchange(now, request)
		if s.board.TakeNewlyLeaving() {
			go s.share(context.WithoutCancel(ctx), s.board.Aggregates(now))
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
	err := s.do(ctx, func(now time.Time) { response = s.board.Status(now) })
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	response.Models = append(response.Models, s.daemon.waitingItems()...)
	return response, nil
}

// ShareAggregates implements rockwindpb.FleetService.
func (s *fleetService) ShareAggregates(ctx context.Context, request *rockwindpb.ShareAggregatesRequest) (*rockwindpb.ShareAggregatesResponse, error) {
	err := s.do(ctx, func(now time.Time) { s.board.ApplyAggregates(now, request) })
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.ShareAggregatesResponse{}, nil
}
