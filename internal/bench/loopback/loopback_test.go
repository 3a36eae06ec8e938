package loopback_test

import (
	"net"
	"os"
	"sync"
	"testing"

	"rockwind.example/rockwind/internal/bench/loopback"
)

// TestProcessesShareNoAddresses: one of them would take the port that another one has found free.
// Each has 65,534 numbers within its network.
func TestProcessesShareNoAddresses(t *testing.T) {
	const processes, numbers = 200, 1 << 16
	seen := make(map[uint32]int)
	for process := 1000; process < 1000+processes; process++ {
		first := loopback.FirstHost(process)
		if first>>24 != 127 || first>>16&0xff < 20 || first&0xffff != 1 {
			t.Fatalf("process %d begins at %x", process, first)
		}
		network := first / numbers
		if other, taken := seen[network]; taken {
			t.Fatalf("processes %d and %d share a network", process, other)
		}
		seen[network] = process
	}
}

// TestAddressesStayFreeUntilTheyAreUsed: neither listeners that take any port nor connections that
// go out take one that was handed out.
func TestAddressesStayFreeUntilTheyAreUsed(t *testing.T) {
	const addresses = 300
	busy, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	var handed []string
	for range addresses {
		address, err := loopback.Next()
		if err != nil {
			t.Fatal(err)
		}
		handed = append(handed, address)
	}
	var dialling sync.WaitGroup
	for range addresses {
		dialling.Go(func() {
			conn, err := net.Dial("tcp", busy.Addr().String())
			if err != nil {
				t.Errorf("dial %s: %v", busy.Addr(), err)
				return
			}
			t.Cleanup(func() { conn.Close() })
			if own, _, _ := net.SplitHostPort(conn.LocalAddr().String()); own != "127.0.0.1" {
				t.Errorf("a connection goes out from %s", own)
			}
		})
	}
	dialling.Wait()
	for _, address := range handed {
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
