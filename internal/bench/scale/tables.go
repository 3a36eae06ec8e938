package scale

import "fmt"

func (s *Sweep) provenanceText() string {
	p := s.Provenance
	return fmt.Sprintf("Measured on %s at commit %s, on one machine with %d cores and %.0f GB of memory (load average %s at the start,\nother work ran beside). Run of the full size: %d processes, %.1f GB resident.\n",
		p.Date, p.Commit, p.Cores, float64(p.MemoryBytes)/1e9, p.Load, s.Full.Processes, s.Full.MemoryBytes/1e9)
}

// fullText is the table of what a daemon costs in the run of the full size.
func (s *Sweep) fullText() string {
	var rows [][]string
	for _, window := range s.Full.Windows {
		d := window.Daemons
		row := func(name string, spread Spread, scale float64, budget string) {
			rows = append(rows, []string{
				window.Name, name, number(spread.Median * scale), number(spread.Worst * scale), budget, "measured",
			})
		}
		row("CPU, % of a core, hollow daemons", d.CPU, percent, number(budgetCPU*percent))
		row("CPU, % of a core, real gateways without load", d.RealCPU, percent, number(budgetCPU*percent))
		row("memory, MB, hollow daemons", d.Resident, 1/megabyte, number(budgetResident/megabyte))
		row("memory, MB, real gateways without load", d.RealResident, 1/megabyte, number(budgetResident/megabyte))
		row("sent and received, B/s", d.Total, 1, number(budgetBytes))
		row("– sent, B/s", d.Sent, 1, "")
		row("– received, B/s", d.Received, 1, "")
		row("– with control machines, B/s", d.Control, 1, "")
		row("– polls of servers, B/s", d.Polls, 1, "")
	}
	return table([]string{"window", "a daemon's", "median", "worst", "budget", "kind"}, rows)
}

func (s *Sweep) controlText() string {
	var rows [][]string
	idle, busy := s.Full.window(windowIdle), s.Full.window(windowBusy)
	for index, each := range idle.Controls {
		row := []string{each.Machine}
		row = append(row, controlCells(each)...)
		if index < len(busy.Controls) {
			row = append(row, controlCells(busy.Controls[index])...)
		}
		rows = append(rows, append(row, "measured"))
	}
	return table([]string{
		"machine", "idle: CPU, % of a core", "memory, MB", "sent, KB/s", "received, KB/s",
		"busy: CPU, % of a core", "memory, MB", "sent, KB/s", "received, KB/s", "kind",
	}, rows)
}

func controlCells(c ControlFigures) []string {
	return []string{number(c.CPU * percent), number(c.Resident / megabyte), number(c.Sent / kilo), number(c.Received / kilo)}
}

func (s *Sweep) changesText() string {
	var rows [][]string
	for _, change := range s.Full.Changes {
		rows = append(rows, []string{
			change.During, number(change.Accepted), number(change.Slowest), fmt.Sprint(change.Missing), "measured",
		})
	}
	text := table([]string{"while", "accepted after, s", "in force on the last daemon after, s", "daemons without it after 10 s", "kind"}, rows)
	f, o := s.Full, s.Full.Online
	if f.Apart != nil {
		text += fmt.Sprintf("\nA region was cut off for %.0f s (measured): %d of its %d hollow daemons moved, %d of %d online requests through one of\nits gateways were answered, longest time without an answer %.2f s.\n",
			f.Apart.Seconds, f.Apart.Moved, f.Apart.Inside, f.Apart.Online.Answered, f.Apart.Online.Sent, f.Apart.Online.LongestGap)
	}
	return text + fmt.Sprintf("\nIn this run (measured): %d changes and %d restarts in the busy window, %d daemons and %d control machine lost and\nreplaced, %d daemons in the rolling restart, %d processes lost with the zone, %d with the region; %d reverts; %d online requests, %d answered,\n%d refused as not run, %d failed, longest time without an answer through a gateway %.2f s. Violations: %d.\n",
		f.Events.Changes, f.Events.Restarts, f.Events.DaemonLosses, f.Events.ControlLosses, f.Restarted, f.LostProcesses, f.LostWithRegion,
		len(f.Reverts), o.Sent, o.Answered, o.Refused, o.Failed, o.LongestGap, len(f.Violations))
}

func (s *Sweep) slopesText() string {
	var rows [][]string
	for _, each := range s.Slopes {
		first, last := each.Points[0], each.Points[len(each.Points)-1]
		rows = append(rows, []string{
			each.Figure, each.Dimension, fmt.Sprintf("%s to %s", number(first.Size), number(last.Size)),
			fmt.Sprintf("%s to %s %s", number(first.Cost), number(last.Cost), each.Unit),
			fmt.Sprintf("%.3g", each.Line.Slope), fmt.Sprintf("%.2f", each.Line.RSquared),
			number(each.Line.LargestResidual), "measured",
		})
	}
	return table([]string{"cost", "along", "from", "cost from", "slope, for one more", "R²", "largest residual", "kind"}, rows)
}

func (s *Sweep) outlookText() string {
	var rows [][]string
	for _, each := range s.Outlook {
		measured, worst := "–", "–"
		if each.Measured != 0 {
			measured, worst = number(each.Measured), number(each.Worst)
		}
		rows = append(rows, []string{
			each.Figure, each.Unit, fmt.Sprintf("%s ± %s", number(each.WorkedOut), number(each.Uncertainty)), measured, worst,
		})
	}
	return table([]string{"cost", "unit", "worked out from the slopes", "measured, mean", "measured, worst"}, rows)
}
