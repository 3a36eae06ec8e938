package wire_test

import (
	"context"
	"io"
	"net"
	"testing"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/bench/wire"
)

// sendPayloads sends the payloads over one counted connection, each answered by
// one byte, and returns the traffic counted at both ends.
func sendPayloads(t *rapid.T, payloads []int) (client, server wire.Traffic) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var serverCounter, clientCounter wire.Counter
	served := make(chan struct{})
	go func() {
		defer close(served)
		connection, err := serverCounter.Listener(listener).Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		for _, payload := range payloads {
			if _, err := io.CopyN(io.Discard, connection, int64(payload)); err != nil {
				return
			}
			if _, err := connection.Write([]byte{1}); err != nil {
				return
			}
		}
		// Wait for the client to close, so that its last acknowledgement is counted.
		_, _ = connection.Read(make([]byte, 1))
	}()
	connection, err := clientCounter.Dial(context.Background(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	for _, payload := range payloads {
		if _, err := connection.Write(make([]byte, payload)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(connection, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	connection.Close()
	<-served
	return clientCounter.Traffic(), serverCounter.Traffic()
}

// The traffic must include the payload and the headers of its Ethernet segments,
// and at most a few more segments for each transfer.
func TestTrafficIncludesPayloadAndHeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payloads := rapid.SliceOfN(rapid.IntRange(1, 20_000), 1, 5).Draw(t, "payloads")
		client, server := sendPayloads(t, payloads)
		payload, segments := 0, 0
		for _, each := range payloads {
			payload += each
			segments += (each + wire.SegmentBytes - 1) / wire.SegmentBytes
		}
		least := int64(payload + segments*wire.PacketHeader)
		// Handshake, shutdown and acknowledgements.
		most := least + int64(6+4*segments)*wire.PacketHeader
		if client.Sent < least || client.Sent > most {
			t.Fatalf("client sent %d bytes in %d segments, counted as %d", payload, segments, client.Sent)
		}
		if server.Received < int64(payload) || server.Received > most {
			t.Fatalf("client sent %d bytes in %d segments, counted as %d at the server", payload, segments, server.Received)
		}
	})
}

// Cut must close and refuse connections but keep their traffic.
func TestCutClosesConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var counter wire.Counter
	connection, err := counter.Dial(context.Background(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	counter.Cut()
	if _, err := connection.Write([]byte{1}); err == nil {
		t.Fatal("write succeeded after Cut")
	}
	if _, err := counter.Dial(context.Background(), listener.Addr().String()); err == nil {
		t.Fatal("dial succeeded after Cut")
	}
	if counter.Traffic().Sent == 0 {
		t.Fatal("no sent traffic after Cut")
	}
	counter.Restore()
	if _, err := counter.Dial(context.Background(), listener.Addr().String()); err != nil {
		t.Fatalf("dial after Restore: %v", err)
	}
}

// Block must close and refuse connections to the blocked address only.
func TestBlockAffectsOnlyGivenAddresses(t *testing.T) {
	var counter wire.Counter
	var addresses []string
	for range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	connection, err := counter.Dial(context.Background(), addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	counter.Block(addresses[0])
	if _, err := connection.Write([]byte{1}); err == nil {
		t.Fatal("write to a blocked address succeeded")
	}
	if _, err := counter.Dial(context.Background(), addresses[0]); err == nil {
		t.Fatal("dial of a blocked address succeeded")
	}
	if _, err := counter.Dial(context.Background(), addresses[1]); err != nil {
		t.Fatalf("dial of an address that is not blocked: %v", err)
	}
	counter.Block()
	if _, err := counter.Dial(context.Background(), addresses[0]); err != nil {
		t.Fatalf("dial after unblocking: %v", err)
	}
}
