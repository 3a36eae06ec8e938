package shares

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"rockwind.example/rockwind/internal/bench/report"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/simulator"
)

// Command is `rockwind-bench experiment shares`.
type Command struct {
	Seed   uint64 `help:"First seed." default:"1"`
	Seeds  int    `help:"Number of consecutive seeds." default:"5"`
	Output string `help:"Folder for a page with charts." type:"path"`
	JSON   bool   `help:"Print the figures as JSON." name:"json"`
}

// Run measures and prints the results.
func (c *Command) Run() error {
	if c.Seeds < 1 {
		return fault.New(fault.InvalidArgument, "the number of seeds is below 1", "give --seeds of at least 1")
	}
	result, err := Measure(simulator.Shares(), c.Seed, c.Seeds)
	if err != nil {
		return err
	}
	if c.Output != "" {
		if err := result.write(c.Output); err != nil {
			return err
		}
	}
	if c.JSON {
		return report.PrintJSON(os.Stdout, result)
	}
	for _, run := range result.Runs {
		fmt.Printf("seed %d: largest shortfall over 10 s %.3f (%s), time to reclaim %.1f s, idle while work waits %.4f\n",
			run.Seed, run.Shortfall, run.ShortGroup, run.Reclaim, run.Idle)
	}
	fmt.Printf("means: shortfall %s, reclaim %s s, idle %s; aims met: %v\n",
		result.Shortfall.Format("%.3f"), result.Reclaim.Format("%.2f"), result.Idle.Format("%.4f"), result.AimsMet)
	return nil
}

// sharesChart is the file name of the chart.
const sharesChart = "shares.png"

// write creates the HTML page of the experiment.
func (r *Result) write(folder string) error {
	section := report.Section{
		Heading: "Shares of three groups",
		Table:   report.Table{Header: []string{"seed", "largest shortfall over 10 s", "group", "time to reclaim s", "idle while work waits"}},
		Charts:  []string{sharesChart},
	}
	for _, name := range []string{"largest_shortfall_10s", "time_to_reclaim_s", "idle_while_work_waits"} {
		section.Text = append(section.Text, name+": "+r.Definitions[name]+".")
	}
	for _, run := range r.Runs {
		section.Table.Rows = append(section.Table.Rows, []string{
			fmt.Sprint(run.Seed), fmt.Sprintf("%.3f", run.Shortfall), run.ShortGroup,
			fmt.Sprintf("%.1f", run.Reclaim), fmt.Sprintf("%.4f", run.Idle),
		})
	}
	if err := report.WriteHTML(folder, "Shares", []report.Section{section}); err != nil {
		return err
	}
	if err := report.WriteJSON(folder, r); err != nil {
		return err
	}
	return report.Lines(filepath.Join(folder, sharesChart), report.Chart{
		Title: "Part of the batch service that each group receives", XLabel: "seconds", YLabel: "part",
		Series: r.serviceOverTime(&r.Runs[0]),
	})
}

// serviceOverTime returns each group's fraction of the service, one point per second.
func (r *Result) serviceOverTime(run *Run) []report.Series {
	series := make([]report.Series, len(r.Groups))
	for group, name := range r.Groups {
		series[group].Name = name
	}
	received := make([]float64, len(r.Groups))
	total := 0.0
	for _, sample := range run.samples {
		for group, cost := range sample.Cost {
			received[group] += cost
			total += cost
		}
		if sample.At%time.Second != 0 || total == 0 {
			continue
		}
		for group := range received {
			series[group].Points = append(series[group].Points, report.Point{X: sample.At.Seconds(), Y: received[group] / total})
			received[group] = 0
		}
		total = 0
	}
	return series
}
