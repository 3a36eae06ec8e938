package command

import (
	"os"
	"runtime/debug"
)

// A gateway's live heap is small beside its budget of memory, so that the
// collector would run often for little. Both values are replaced by the
// environment variables of the Go runtime.
const (
	// gatewayCollectorPercent is the growth of the heap between collections.
	gatewayCollectorPercent = 400
	// gatewayMemoryLimit is where collections become more frequent, in bytes.
	gatewayMemoryLimit = 224 << 20
)

// tuneCollector sets the garbage collector of a gateway.
func tuneCollector() {
	if _, set := os.LookupEnv("GOGC"); !set {
		debug.SetGCPercent(gatewayCollectorPercent)
	}
	if _, set := os.LookupEnv("GOMEMLIMIT"); !set {
		debug.SetMemoryLimit(gatewayMemoryLimit)
	}
}
