package serverview

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// newZoneView returns a view of a zone with the given number of engines.
func newZoneView(engines int) *View {
	view := New(Options{Gateway: "gateway-a", Zone: "zone", Client: upstream.NewClient()})
	var declared Config
	for number := range engines {
		declared.BackEnds = append(declared.BackEnds, &rockwindpb.BackEnd{
			Name: fmt.Sprintf("engine-%d", number), Address: fmt.Sprintf("127.0.0.1:%d", number+1), Zone: "zone",
			Kind: rockwindpb.BackEndKind_BACK_END_KIND_ENGINE, Serves: []string{"model"},
		})
	}
	view.Configure(declared)
	return view
}

// A gateway that starts leaves the polls to its peers until it knows
// them, polls its even part from then on, and everything where no exchange works.
func TestStartedGatewayPollsItsPart(t *testing.T) {
	const engines = 12
	synctest.Test(t, func(t *testing.T) {
		view := newZoneView(engines)
		if due := view.duePolls(); len(due) != 0 {
			t.Fatalf("%d servers are polled before the first exchange", len(due))
		}
		view.ApplyExchange(&rockwindpb.ExchangeResponse{Peers: []string{"gateway-a", "gateway-b", "gateway-c"}})
		if due := view.duePolls(); len(due) != engines/3 {
			t.Fatalf("%d of %d servers are polled by one of three gateways", len(due), engines)
		}
		alone := newZoneView(engines)
		time.Sleep(firstPeersGrace)
		if due := alone.duePolls(); len(due) != engines {
			t.Fatalf("%d of %d servers are polled without an exchange", len(due), engines)
		}
	})
}
