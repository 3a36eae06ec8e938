package failures

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/bench/report"
	"rockwind.example/rockwind/internal/fault"
)

// Command is `rockwind-bench experiment failures`.
type Command struct {
	Servers   int           `help:"Size of the fleet." default:"120"`
	Scenarios []string      `help:"Scenarios to measure; all by default."`
	Lag       time.Duration `help:"Age of load reports." default:"1s"`
	Seed      uint64        `help:"First seed." default:"1"`
	Seeds     int           `help:"Runs of each cell, each with a seed of its own." default:"3"`
	Parallel  int           `help:"Runs at a time." default:"4"`
	Output    string        `help:"Folder for a page with charts." type:"path"`
	JSON      bool          `help:"Print the figures as JSON." name:"json"`
}

// Run measures and prints the results.
func (c *Command) Run() error {
	if err := c.check(); err != nil {
		return err
	}
	result := Measure(Options{
		Servers: c.Servers, Scenarios: c.Scenarios, ReportLag: c.Lag,
		Seed: c.Seed, Seeds: c.Seeds, Parallel: c.Parallel,
	})
	if c.Output != "" {
		if err := result.write(c.Output); err != nil {
			return err
		}
	}
	if c.JSON {
		return report.PrintJSON(os.Stdout, result)
	}
	for _, cell := range result.Cells {
		fmt.Println(cell.line())
	}
	fmt.Printf("%d servers, reports %.1f s old, %d seeds from %d; %.0f s\n",
		result.Servers, result.ReportLagS, result.Seeds, result.Seed, result.WallSeconds)
	return nil
}

// Bounds of the flags.
const (
	minServers = 10
	maxServers = 2000
	maxSeeds   = 100
)

func (c *Command) check() error {
	var names []string
	for _, known := range scenarios {
		names = append(names, known.name)
	}
	for _, name := range c.Scenarios {
		if !isSelected(names, name) {
			return fault.Newf(fault.InvalidArgument, "name some of "+strings.Join(names, ", "), "there is no scenario %q", name)
		}
	}
	if c.Servers < minServers || c.Servers > maxServers {
		return fault.Newf(fault.InvalidArgument, fmt.Sprintf("give a size from %d to %d", minServers, maxServers),
			"the flag --servers is out of range")
	}
	if c.Seeds < 1 || c.Seeds > maxSeeds {
		return fault.Newf(fault.InvalidArgument, fmt.Sprintf("give a number from 1 to %d", maxSeeds),
			"the flag --seeds is out of range")
	}
	if c.Lag < 0 {
		return fault.New(fault.InvalidArgument, "the flag --lag is below zero", "give a lag of zero or above")
	}
	return nil
}

func (c *Cell) line() string {
	return fmt.Sprintf("%-12s %-11s goodput %s, amplification %s, TTFT p99 %s ms, refused %s, lost %s, hedged %s, recovery %s s, last on leaving %.2f s",
		c.Scenario, c.Policy, c.Goodput.Format("%.4f"), c.Amplification.Format("%.3f"), c.TTFTp99Ms.Format("%.0f"),
		c.Refused.Format("%.4f"), c.Lost.Format("%.4f"), c.Hedges.Format("%.3f"), c.RecoveryS.Format("%.1f"),
		c.TimeToLastNewOnLeavingS)
}

// write creates the HTML page of the experiment.
func (r *Result) write(folder string) error {
	if err := report.WriteJSON(folder, r); err != nil {
		return err
	}
	var sections []report.Section
	for first := 0; first < len(r.Cells); {
		end := first + 1
		for end < len(r.Cells) && r.Cells[end].Scenario == r.Cells[first].Scenario {
			end++
		}
		section, err := section(folder, r.Cells[first:end])
		first = end
		if err != nil {
			return err
		}
		sections = append(sections, section)
	}
	return report.WriteHTML(folder, "Failures", sections)
}

// section returns the section of the page for one scenario, with all its policies.
func section(folder string, cells []*Cell) (report.Section, error) {
	name := cells[0].Scenario
	result := report.Section{
		Heading: name, Text: []string{cells[0].Description},
		Table: report.Table{Header: []string{
			"policy", "goodput", "amplification", "TTFT p99 ms", "refused", "lost", "recovery s", "last new on leaving s",
		}},
		Charts: []string{name + ".png"},
	}
	var series []report.Series
	for _, cell := range cells {
		result.Table.Rows = append(result.Table.Rows, []string{
			cell.Policy, cell.Goodput.Format("%.4f"), cell.Amplification.Format("%.3f"), cell.TTFTp99Ms.Format("%.0f"),
			cell.Refused.Format("%.4f"), cell.Lost.Format("%.4f"), cell.RecoveryS.Format("%.1f"),
			fmt.Sprintf("%.2f", cell.TimeToLastNewOnLeavingS),
		})
		series = append(series, cell.goodputOverTime())
	}
	chart := report.Chart{
		Title: "Answers in time, " + name, XLabel: "seconds after the fault", YLabel: "part of the requests sent", Series: series,
	}
	return result, report.Lines(filepath.Join(folder, name+".png"), chart)
}

// goodputOverTime returns the fraction of requests answered in time for each second of
// the first run.
func (c *Cell) goodputOverTime() report.Series {
	series := report.Series{Name: c.Policy}
	run := c.runs[0]
	for second, sent := range run.RequestsPerSecond {
		if sent > 0 {
			series.Points = append(series.Points, report.Point{
				X: float64(second) - warmup.Seconds(), Y: float64(run.GoodPerSecond[second]) / float64(sent),
			})
		}
	}
	return series
}
