package routingcomparison

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"rockwind.example/rockwind/internal/bench/report"
	"rockwind.example/rockwind/internal/fault"
)

// Command is `rockwind-bench experiment routing`.
type Command struct {
	Servers  []int           `help:"Sizes of the fleet." default:"12,120,1200"`
	Lags     []time.Duration `help:"Ages of load reports." default:"100ms,1s,5s"`
	Losses   []float64       `help:"Probabilities that the log of cache events is cut at an event." default:"0,0.05,0.3"`
	Rate     float64         `help:"Requests a second and server outside bursts." default:"6"`
	Seed     uint64          `help:"First seed." default:"1"`
	Seeds    int             `help:"Runs of each cell, each with a seed of its own." default:"2"`
	Parallel int             `help:"Runs at a time." default:"4"`
	Output   string          `help:"Folder for a page with charts." type:"path"`
	JSON     bool            `help:"Print the figures as JSON." name:"json"`
}

// Run measures and prints the results.
func (c *Command) Run() error {
	if err := c.check(); err != nil {
		return err
	}
	result := Measure(Options{
		Servers: c.Servers, Lags: c.Lags, Losses: c.Losses, Rate: c.Rate,
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
	fmt.Printf("%d seeds from %d; %.0f s\n", result.Seeds, result.Seed, result.WallSeconds)
	return nil
}

// Bounds of the flags.
const (
	minServers = 3
	maxServers = 2000
	maxSeeds   = 100
	maxRate    = 100
)

func (c *Command) check() error {
	for _, servers := range c.Servers {
		if servers < minServers || servers > maxServers {
			return outOfRange("--servers", fmt.Sprintf("give sizes from %d to %d", minServers, maxServers))
		}
	}
	for _, lag := range c.Lags {
		if lag < 0 {
			return outOfRange("--lags", "give lags of zero or above")
		}
	}
	for _, loss := range c.Losses {
		if loss < 0 || loss > 1 {
			return outOfRange("--losses", "give probabilities between 0 and 1")
		}
	}
	if c.Rate <= 0 || c.Rate > maxRate {
		return outOfRange("--rate", fmt.Sprintf("give a rate above 0 and at most %d", maxRate))
	}
	if c.Seeds < 1 || c.Seeds > maxSeeds {
		return outOfRange("--seeds", fmt.Sprintf("give a number from 1 to %d", maxSeeds))
	}
	return nil
}

func outOfRange(flag, remedy string) error {
	return fault.Newf(fault.InvalidArgument, remedy, "the flag %s is out of range", flag)
}

func (c *Cell) line() string {
	return fmt.Sprintf("%5d servers  %-16s %-22s TTFT p50 %s ms, p99 %s ms (%.2f of the oracle's), hit rate %s, refused %s",
		c.Servers, c.Policy, c.conditions(), c.TTFTp50Ms.Format("%.1f"), c.TTFTp99Ms.Format("%.1f"),
		c.OverOracle, c.HitRate.Format("%.3f"), c.Refused.Format("%.4f"))
}

func (c *Cell) conditions() string {
	if c.Lagless {
		return "lag and loss no matter"
	}
	return fmt.Sprintf("lag %.1f s, loss %.0f%%", c.LagS, 100*c.EventLoss)
}

// write creates the HTML page of the experiment.
func (r *Result) write(folder string) error {
	if err := report.WriteJSON(folder, r); err != nil {
		return err
	}
	var sections []report.Section
	for _, servers := range r.sizes() {
		section, err := r.section(folder, servers)
		if err != nil {
			return err
		}
		sections = append(sections, section)
	}
	return report.WriteHTML(folder, "Routing", sections)
}

func (r *Result) sizes() []int {
	var sizes []int
	for _, cell := range r.Cells {
		if len(sizes) == 0 || sizes[len(sizes)-1] != cell.Servers {
			sizes = append(sizes, cell.Servers)
		}
	}
	return sizes
}

func (r *Result) section(folder string, servers int) (report.Section, error) {
	section := report.Section{
		Heading: fmt.Sprintf("%d servers", servers),
		Text:    []string{"Means and 95% confidence intervals over seeds, in virtual time."},
		Table: report.Table{Header: []string{
			"policy", "conditions", "TTFT p50 ms", "TTFT p99 ms", "p99 over the oracle's", "hit rate",
		}},
	}
	var series []report.Series
	for _, cell := range r.Cells {
		if cell.Servers != servers {
			continue
		}
		section.Table.Rows = append(section.Table.Rows, []string{
			cell.Policy, cell.conditions(), cell.TTFTp50Ms.Format("%.1f"), cell.TTFTp99Ms.Format("%.1f"),
			fmt.Sprintf("%.2f", cell.OverOracle), cell.HitRate.Format("%.3f"),
		})
		series = append(series, cell.distribution())
	}
	chart := fmt.Sprintf("ttft-%d.png", servers)
	section.Charts = []string{chart}
	err := report.CDF(filepath.Join(folder, chart), fmt.Sprintf("Time to the first token, %d servers", servers), series...)
	return section, err
}

// distributionPoints is the number of points of a plotted distribution.
const distributionPoints = 200

// distribution returns the cumulative distribution of TTFT in the first run.
func (c *Cell) distribution() report.Series {
	series := report.Series{Name: c.Policy}
	if !c.Lagless {
		series.Name = c.Policy + ", " + c.conditions()
	}
	for point := range distributionPoints {
		fraction := (float64(point) + 0.5) / distributionPoints
		series.Points = append(series.Points, report.Point{X: ttftMs(c.runs[0], fraction), Y: fraction})
	}
	return series
}
