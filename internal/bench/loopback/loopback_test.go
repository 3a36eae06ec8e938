package loopback_test

import (
	"net"
	"os"
	"sync"
	"testing"

	"rockwind.example/rockwind/internal/bench/loopback"
)

// Processes with 200 consecutive IDs must allocate from different networks; otherwise one could
// take a port that another one has found free.
func TestProcessesUseDifferentNetworks(t *testing.T) {
	const processes, numbers = 200, 1 << 16
	seen := make(map[uint32]int)
	for process := 1000; process < 1000+processes; process++ {
		first := loopback.FirstHost(process)
		if first>>24 != 127 || first>>16&0xff < 20 || first&0xffff != 1 {
			t.Fatalf("first address of process %d is %x", process, first)
		}
		network := first / numbers
		if other, taken := seen[network]; taken {
			t.Fatalf("processes %d and %d share a network", process, other)
		}
		seen[network] = process
	}
}

// Allocated addresses must stay free until they are used, even while other addresses are allocated
// and outgoing connections are opened.
func TestAllocatedAddressesStayFree(t *testing.T) {
	const addresses = 300
	server, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	var allocated []string
	for range addresses {
		address, err := loopback.Next()
		if err != nil {
			t.Fatal(err)
		}
		allocated = append(allocated, address)
	}
	var dialling sync.WaitGroup
	for range addresses {
		dialling.Go(func() {
			conn, err := net.Dial("tcp", server.Addr().String())
			if err != nil {
				t.Errorf("dial %s: %v", server.Addr(), err)
				return
			}
			t.Cleanup(func() { conn.Close() })
			if own, _, _ := net.SplitHostPort(conn.LocalAddr().String()); own != "127.0.0.1" {
				t.Errorf("source address of an outgoing connection is %s", own)
			}
		})
	}
	dialling.Wait()
	for _, address := range allocated {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatalf("process %d: %v", os.Getpid(), err)
		}
		defer listener.Close()
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			t.Fatalf("process %d: %v", os.Getpid(), err)
		}
		defer packets.Close()
	}
}
