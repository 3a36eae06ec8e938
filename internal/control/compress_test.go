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

// fakeFleetService returns the same response to every exchange.
type fakeFleetService struct {
	rockwindpb.FleetService
	response *rockwindpb.ExchangeResponse
}

func (f fakeFleetService) Exchange(context.Context, *rockwindpb.ExchangeRequest) (*rockwindpb.ExchangeResponse, error) {
	return f.response, nil
}

// An exchange response must take less than half of its size on the wire, including
// headers, and be decompressed correctly.
func TestExchangeIsCompressed(t *testing.T) {
	response := &rockwindpb.ExchangeResponse{Version: 7}
	for number := range 74 {
		response.Zones = append(response.Zones, &rockwindpb.ZoneDigest{
			Zone: fmt.Sprintf("region-%d-zone-%d", number/48, number/12%4), Model: fmt.Sprintf("model-%02d", number%12),
			Servers: 3, RunningOnline: uint32(number), RunningBatch: uint32(7 * number % 97), Waiting: uint32(number % 5),
		})
	}
	router := chi.NewRouter()
	control.MountCompressed(router, rockwindpb.NewFleetServiceServer(fakeFleetService{response: response}))
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
	if !proto.Equal(received, response) {
		t.Fatalf("got response %v", received)
	}
	if carried, whole := counter.Traffic().Received, int64(proto.Size(response)); carried > whole/2 {
		t.Fatalf("a response of %d bytes took %d on the wire", whole, carried)
	} else {
		t.Logf("a response of %d bytes took %d on the wire", whole, carried)
	}
}
