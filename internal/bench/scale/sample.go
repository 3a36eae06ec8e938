package scale

import (
	"context"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/hollow"
)

// sample is what all processes have used until a moment.
type sample struct {
	at       time.Time
	usage    map[*member]fleet.Usage
	daemons  map[string]hollow.GatewayReport
	controls map[string]hollow.ControlReport
}

func (c *cluster) sample(ctx context.Context) (*sample, error) {
	taken := &sample{
		at: time.Now(), usage: make(map[*member]fleet.Usage),
		daemons: make(map[string]hollow.GatewayReport), controls: make(map[string]hollow.ControlReport),
	}
	for _, each := range c.members {
		if !each.Running() {
			continue
		}
		usage, err := fleet.ReadUsage(each.Pid())
		if err != nil {
			return nil, err
		}
		taken.usage[each] = usage
	}
	daemons, err := c.daemonReports(ctx)
	if err != nil {
		return nil, err
	}
	for _, report := range daemons {
		taken.daemons[report.Name] = report
	}
	controls, err := c.controlReports(ctx)
	if err != nil {
		return nil, err
	}
	for _, report := range controls {
		taken.controls[report.Machine] = report
	}
	return taken, nil
}

// Spread is the median, the mean and the worst of a figure over daemons or
// processes.
type Spread struct {
	Median float64 `json:"median"`
	Mean   float64 `json:"mean"`
	Worst  float64 `json:"worst"`
}

func spreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	return Spread{Median: sorted[len(sorted)/2], Mean: stat.Mean(values, nil), Worst: sorted[len(sorted)-1]}
}

// DaemonFigures is what control costs the gateways in one window.
type DaemonFigures struct {
	// CPU is in cores: that of each process of hollow gateways over the number in
	// it, and that of each real gateway without load.
	CPU     Spread `json:"cpu_cores"`
	RealCPU Spread `json:"real_cpu_cores"`
	// Resident is in bytes, in the same manner.
	Resident     Spread `json:"resident_bytes"`
	RealResident Spread `json:"real_resident_bytes"`
	// Sent, Received and Total are bytes a second on the wire of each hollow
	// gateway, with control machines and back ends together.
	Sent     Spread `json:"sent_bytes_per_second"`
	Received Spread `json:"received_bytes_per_second"`
	Total    Spread `json:"total_bytes_per_second"`
	// Control and Polls are the parts of Total with the control machines and with
	// the back ends.
	Control Spread `json:"control_bytes_per_second"`
	Polls   Spread `json:"poll_bytes_per_second"`
}

// ControlFigures is what one control machine used in one window.
type ControlFigures struct {
	Machine  string  `json:"machine"`
	CPU      float64 `json:"cpu_cores"`
	Resident float64 `json:"resident_bytes"`
	// Sent and Received are bytes a second on the wire. Served is the part of
	// both that calls to this machine cause, the rest are its calls to others.
	Sent     float64 `json:"sent_bytes_per_second"`
	Received float64 `json:"received_bytes_per_second"`
	Served   float64 `json:"served_bytes_per_second"`
}

// Window is what was used between two samples.
type Window struct {
	Name     string           `json:"name"`
	Seconds  float64          `json:"seconds"`
	Daemons  DaemonFigures    `json:"daemons"`
	Controls []ControlFigures `json:"controls"`
}

// between compares two samples. Processes that did not run at both are left
// out.
func (c *cluster) between(name string, before, after *sample) Window {
	elapsed := after.at.Sub(before.at).Seconds()
	window := Window{Name: name, Seconds: elapsed}
	var cpu, resident, realCPU, realResident []float64
	for each, usage := range after.usage {
		earlier, found := before.usage[each]
		if !found || usage.CPU < earlier.CPU {
			continue
		}
		cores := (usage.CPU - earlier.CPU).Seconds() / elapsed
		switch {
		case each.Role == roleGateways:
			count := float64(len(each.daemons))
			cpu = append(cpu, cores/count)
			resident = append(resident, float64(usage.ResidentBytes)/count)
		case each.Role == roleGateway && !c.loaded(each):
			realCPU = append(realCPU, cores)
			realResident = append(realResident, float64(usage.ResidentBytes))
		case each.Role == roleControl:
			figures := controlFigures(before.controls[each.Name], after.controls[each.Name], elapsed)
			figures.CPU, figures.Resident = cores, float64(usage.ResidentBytes)
			window.Controls = append(window.Controls, figures)
		}
	}
	sortControls(window.Controls)
	window.Daemons = wireFigures(before, after, elapsed)
	window.Daemons.CPU, window.Daemons.Resident = spreadOf(cpu), spreadOf(resident)
	window.Daemons.RealCPU, window.Daemons.RealResident = spreadOf(realCPU), spreadOf(realResident)
	return window
}

func controlFigures(before, after hollow.ControlReport, elapsed float64) ControlFigures {
	served, calls := after.Served.Minus(before.Served), after.Calls.Minus(before.Calls)
	whole := served.Plus(calls)
	return ControlFigures{
		Machine: after.Machine, Sent: float64(whole.Sent) / elapsed, Received: float64(whole.Received) / elapsed,
		Served: float64(served.Total()) / elapsed,
	}
}

func wireFigures(before, after *sample, elapsed float64) DaemonFigures {
	var sent, received, total, control, polls []float64
	for name, report := range after.daemons {
		earlier, found := before.daemons[name]
		if !found {
			continue
		}
		withControl := report.Control.Minus(earlier.Control)
		withBackEnds := report.BackEnds.Minus(earlier.BackEnds)
		whole := withControl.Plus(withBackEnds)
		sent = append(sent, float64(whole.Sent)/elapsed)
		received = append(received, float64(whole.Received)/elapsed)
		total = append(total, float64(whole.Total())/elapsed)
		control = append(control, float64(withControl.Total())/elapsed)
		polls = append(polls, float64(withBackEnds.Total())/elapsed)
	}
	return DaemonFigures{
		Sent: spreadOf(sent), Received: spreadOf(received), Total: spreadOf(total),
		Control: spreadOf(control), Polls: spreadOf(polls),
	}
}
