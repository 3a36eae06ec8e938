package simulate

import (
	"strconv"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/simulator"
)

// slowFactor multiplies the step time of a slow engine.
const slowFactor = 3

// faultKinds maps the names of faults in the flag to engine faults.
var faultKinds = map[string]engine.FaultKind{
	"die": engine.FaultDie, "hang": engine.FaultHang, "slow": engine.FaultSlow,
	"lie": engine.FaultReportIdle, "refuse": engine.FaultRefuse, "truncate": engine.FaultTruncate,
}

// parseFault parses kind@time:engine or kind@time:engine:duration.
func parseFault(text string, engines int) (simulator.ScheduledFault, error) {
	name, rest, _ := strings.Cut(text, "@")
	parts := strings.Split(rest, ":")
	kind, known := faultKinds[name]
	if !known || len(parts) < 2 || len(parts) > 3 {
		return simulator.ScheduledFault{}, invalidFault(text)
	}
	at, err := time.ParseDuration(parts[0])
	if err != nil {
		return simulator.ScheduledFault{}, invalidFault(text)
	}
	server, err := strconv.Atoi(parts[1])
	if err != nil || server < 0 || server >= engines {
		return simulator.ScheduledFault{}, invalidFault(text)
	}
	scheduled := simulator.ScheduledFault{At: at, Engine: server, Fault: engine.Fault{Kind: kind, Factor: slowFactor}}
	if len(parts) == 3 {
		if scheduled.Fault.Duration, err = time.ParseDuration(parts[2]); err != nil {
			return simulator.ScheduledFault{}, invalidFault(text)
		}
	}
	return scheduled, nil
}

func invalidFault(text string) error {
	return fault.Newf(fault.InvalidArgument, "give kind@time:engine or kind@time:engine:duration with an engine of the fleet, for example die@30s:4:10s",
		"invalid fault %q", text)
}
