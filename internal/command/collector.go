package command

import (
	"os"
	"runtime/debug"
)

// The live heap of a gateway is small compared to its memory budget, so collections can
// be less frequent than by default. GOGC and GOMEMLIMIT override these values.
const (
	// gatewayCollectorPercent is the heap growth between collections in percent.
	gatewayCollectorPercent = 400
	// gatewayMemoryLimit is the soft memory limit in bytes.
	gatewayMemoryLimit = 224 << 20
)

// tuneCollector configures the garbage collector of a gateway.
func tuneCollector() {
	if _, set := os.LookupEnv("GOGC"); !set {
		debug.SetGCPercent(gatewayCollectorPercent)
	}
	if _, set := os.LookupEnv("GOMEMLIMIT"); !set {
		debug.SetMemoryLimit(gatewayMemoryLimit)
	}
}
