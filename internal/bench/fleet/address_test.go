package fleet_test

import (
	"testing"

	"rockwind.example/rockwind/internal/bench/fleet"
)

// TestFleetsOfSeveralProcessesShareNoAddresses: one of them would take the port that another one
// has found free. Each has 65,534 numbers within its network.
func TestFleetsOfSeveralProcessesShareNoAddresses(t *testing.T) {
	const processes, numbers = 200, 1 << 16
	seen := make(map[uint32]int)
	for process := 1000; process < 1000+processes; process++ {
		first := fleet.FirstHost(process)
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
