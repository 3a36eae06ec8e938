package serverview

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// newZoneView returns a view of one zone with the given number of engines.
func newZoneView(engines int) *View {
	view := New(Options{Gateway: "gateway-a", Zone: "zone", Client: upstream.NewClient()})
	var config Config
	for number := range engines {
		config.BackEnds = append(config.BackEnds, &rockwindpb.BackEnd{
			Name: fmt.Sprintf("engine-%d", number), Address: fmt.Sprintf("127.0.0.1:%d", number+1), Zone: "zone",
			Kind: rockwindpb.BackEndKind_BACK_END_KIND_ENGINE, Serves: []string{"model"},
		})
	}
	view.Configure(config)
	return view
}

// TestStartingGatewayPollsItsShare checks that a gateway polls nothing until it
// knows its peers, then only its share, and all servers if no exchange
// succeeds.
func TestStartingGatewayPollsItsShare(t *testing.T) {
	const engines = 12
	synctest.Test(t, func(t *testing.T) {
		view := newZoneView(engines)
		if due := view.duePolls(); len(due) != 0 {
			t.Fatalf("%d servers polled before the first exchange", len(due))
		}
		view.ApplyExchange(&rockwindpb.ExchangeResponse{Peers: []string{"gateway-a", "gateway-b", "gateway-c"}})
		if due := view.duePolls(); len(due) != engines/3 {
			t.Fatalf("%d of %d servers polled by one of three gateways", len(due), engines)
		}
		alone := newZoneView(engines)
		time.Sleep(peerDiscoveryGrace)
		if due := alone.duePolls(); len(due) != engines {
			t.Fatalf("%d of %d servers polled without an exchange", len(due), engines)
		}
	})
}
