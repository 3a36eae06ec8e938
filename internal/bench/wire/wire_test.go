package wire_test

import (
	"context"
	"io"
	"net"
	"testing"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/bench/wire"
)

// exchanged sends the payloads in turn over one counted connection, each
// answered by one byte, and returns the counts of both ends.
func exchanged(t *rapid.T, payloads []int) (client, server wire.Traffic) {
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
		// Wait for the other end, so that its last acknowledgement is counted.
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

// The count holds all payload and at least the headers of its segments on an
// Ethernet, and no more than a few segments for each transfer on top.
func TestCountHoldsPayloadAndHeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payloads := rapid.SliceOfN(rapid.IntRange(1, 20_000), 1, 5).Draw(t, "payloads")
		client, server := exchanged(t, payloads)
		payload, segments := 0, 0
		for _, each := range payloads {
			payload += each
			segments += (each + wire.SegmentBytes - 1) / wire.SegmentBytes
		}
		least := int64(payload + segments*wire.PacketHeader)
		// The opening, the closing, and acknowledgements beside each transfer.
		most := least + int64(6+4*segments)*wire.PacketHeader
		if client.Sent < least || client.Sent > most {
			t.Fatalf("%d bytes in %d segments count as %d", payload, segments, client.Sent)
		}
		if server.Received < int64(payload) || server.Received > most {
			t.Fatalf("%d bytes in %d segments count as %d at the other end", payload, segments, server.Received)
		}
	})
}

// A cut machine has no connections, and its count stays.
func TestCutBreaksConnections(t *testing.T) {
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
		t.Fatal("a connection of a cut machine carries data")
	}
	if _, err := counter.Dial(context.Background(), listener.Addr().String()); err == nil {
		t.Fatal("a cut machine opens a connection")
	}
	if counter.Traffic().Sent == 0 {
		t.Fatal("the count was lost with the connection")
	}
	counter.Restore()
	if _, err := counter.Dial(context.Background(), listener.Addr().String()); err != nil {
		t.Fatalf("a mended machine opens no connection: %v", err)
	}
}

// A blocked address cannot be reached, and others can.
func TestBlockCutsOneLink(t *testing.T) {
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
		t.Fatal("a connection to a blocked address carries data")
	}
	if _, err := counter.Dial(context.Background(), addresses[0]); err == nil {
		t.Fatal("a blocked address is reached")
	}
	if _, err := counter.Dial(context.Background(), addresses[1]); err != nil {
		t.Fatalf("another address is not reached: %v", err)
	}
	counter.Block()
	if _, err := counter.Dial(context.Background(), addresses[0]); err != nil {
		t.Fatalf("the address is not reached after the block: %v", err)
	}
}
