package upstream

import (
	"net"
	"runtime"
	"testing"
)

// TestConnectionTakesLittleMemory guards against large buffers for each connection: a process has up to some
// hundreds of connections.
func TestConnectionTakesLittleMemory(t *testing.T) {
	const count, maximumBytes = 500, 5 << 10
	near, _ := net.Pipe()
	connections := make([]*connection, count)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for index := range connections {
		connections[index] = newConnection(near)
	}
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(connections)
	taken := (after.TotalAlloc - before.TotalAlloc) / count
	t.Logf("%d bytes", taken)
	if taken > maximumBytes {
		t.Errorf("a connection takes %d bytes", taken)
	}
}
