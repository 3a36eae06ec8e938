package control_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/bench/wire"
	"rockwind.example/rockwind/internal/control"
	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// answeringFleet answers every exchange with the same sums.
type answeringFleet struct {
	rockwindpb.FleetService
	answer *rockwindpb.ExchangeResponse
}

func (a answeringFleet) Exchange(context.Context, *rockwindpb.ExchangeRequest) (*rockwindpb.ExchangeResponse, error) {
	return a.answer, nil
}

// An exchange's answer takes less than half of its size on the wire, headers
// included, and arrives whole.
func TestExchangeIsCompressed(t *testing.T) {
	answer := &rockwindpb.ExchangeResponse{Version: 7}
	for number := range 74 {
		answer.Zones = append(answer.Zones, &rockwindpb.ZoneDigest{
			Zone: fmt.Sprintf("region-%d-zone-%d", number/48, number/12%4), Model: fmt.Sprintf("model-%02d", number%12),
			Servers: 3, RunningOnline: uint32(number), RunningBatch: uint32(7 * number % 97), Waiting: uint32(number % 5),
		})
	}
	router := chi.NewRouter()
	control.MountCompressed(router, rockwindpb.NewFleetServiceServer(answeringFleet{answer: answer}))
	server := httptest.NewServer(router)
	defer server.Close()
	var counter wire.Counter
	client := controlclient.New(controlclient.Options{
		Machines:   []*rockwindpb.ControlMachine{{Machine: "one", Address: server.Listener.Addr().String()}},
		HTTPClient: counter.Client(controlclient.NewTransport()),
	})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	received, err := client.Fleet().Exchange(ctx, &rockwindpb.ExchangeRequest{Gateway: "gateway"})
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(received, answer) {
		t.Fatalf("the answer arrived as %v", received)
	}
	if carried, whole := counter.Traffic().Received, int64(proto.Size(answer)); carried > whole/2 {
		t.Fatalf("an answer of %d bytes took %d on the wire", whole, carried)
	} else {
		t.Logf("an answer of %d bytes took %d on the wire", whole, carried)
	}
}
