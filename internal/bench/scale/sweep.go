package scale

import (
	"context"
	"fmt"
	"os"
	"time"
)

// The sizes that a sweep varies start from these. Each dimension is varied on its
// own, the others stay.
var sweepBase = Size{
	Daemons: 100, Servers: 300, Tenants: 1000, Models: 12, Controls: 14, Shards: 4, Jobs: 0, JobItems: 1000,
}

// target is the size in two years.
var target = Size{
	Daemons: 350, Servers: 1200, Tenants: 11000, Models: 12, Controls: 14, Shards: 4, Jobs: 2000, JobItems: 70_000,
}

// sweepServersPerDaemon is the number of servers for each daemon while daemons
// are varied, so that what a daemon polls stays.
const sweepServersPerDaemon = 3

// dimension is one part of the size that a sweep varies.
type dimension struct {
	name   string
	values []int
	// set returns the base size with a value of the dimension.
	set func(value int) Size
	// size is the independent variable of the fits, and targetValue what it is at
	// the target.
	size        func(Size) float64
	targetValue float64
}

// with returns a copy of the base that change has changed.
func with(change func(*Size)) Size {
	size := sweepBase
	change(&size)
	return size
}

// Names of dimensions that the roles refer to.
const (
	dimensionDaemons = "daemons"
	dimensionTenants = "tenants"
)

// dimensions lists what a sweep varies.
func dimensions() []dimension {
	return []dimension{
		{
			name: dimensionDaemons, values: []int{20, 100, 200, 350},
			set: func(value int) Size {
				return with(func(s *Size) { s.Daemons, s.Servers = value, sweepServersPerDaemon*value })
			},
			size: func(s Size) float64 { return float64(s.Daemons) }, targetValue: float64(target.Daemons),
		},
		{
			name: "servers for each daemon", values: []int{12, 300, 750, 1200},
			set:         func(value int) Size { return with(func(s *Size) { s.Servers = value }) },
			size:        func(s Size) float64 { return float64(s.Servers) / float64(s.Daemons) },
			targetValue: float64(target.Servers) / float64(target.Daemons),
		},
		{
			name: dimensionTenants, values: []int{100, 1000, 5000, 11000},
			set:  func(value int) Size { return with(func(s *Size) { s.Tenants = value }) },
			size: func(s Size) float64 { return float64(s.Tenants) }, targetValue: float64(target.Tenants),
		},
		{
			name: "models", values: []int{1, 6, 12},
			set:  func(value int) Size { return with(func(s *Size) { s.Models = value }) },
			size: func(s Size) float64 { return float64(s.Models) }, targetValue: float64(target.Models),
		},
		{
			name: "job shards", values: []int{1, 4, 14},
			set:  func(value int) Size { return with(func(s *Size) { s.Shards = value }) },
			size: func(s Size) float64 { return float64(s.Shards) }, targetValue: float64(target.Shards),
		},
		{
			name: "jobs", values: []int{0, 700, 2000},
			set:  func(value int) Size { return with(func(s *Size) { s.Jobs = value }) },
			size: func(s Size) float64 { return float64(s.Jobs) }, targetValue: float64(target.Jobs),
		},
		{
			name: "items of each of 200 jobs", values: []int{1000, 20_000, 72_000},
			set: func(value int) Size {
				return with(func(s *Size) { s.Jobs, s.JobItems = sweepItemJobs, value })
			},
			size: func(s Size) float64 { return float64(s.JobItems) }, targetValue: float64(sweepBase.JobItems),
		},
	}
}

// sweepItemJobs is the number of jobs while their items are varied.
const sweepItemJobs = 200

// Lengths of the windows of one run of a sweep.
var sweepOptions = Options{
	Settle: 3 * time.Second, Idle: 5 * time.Second, Busy: 5 * time.Second, ChangesOnly: true,
}

// Sweep is what a sweep found.
type Sweep struct {
	Provenance Provenance `json:"provenance"`
	// Runs holds a run for every size, Full the run of the full size.
	Runs   []*Result `json:"runs"`
	Full   *Result   `json:"full"`
	Slopes []Slope   `json:"slopes"`
	// Outlook is what the slopes give for the target, beside what was measured.
	Outlook []Outlook `json:"outlook"`
}

// sweep measures all sizes and then the full one, fits, and writes tables, plots
// and the page.
func (c *Command) sweep(ctx context.Context) error {
	swept := &Sweep{Provenance: provenance(time.Now())}
	measured := make(map[Size]*Result)
	for _, each := range dimensions() {
		for _, value := range each.values {
			size := each.set(value)
			if measured[size] != nil {
				continue
			}
			fmt.Fprintf(os.Stderr, "%s %d: %+v\n", each.name, value, size)
			result, err := c.measure(ctx, size, sweepOptions)
			if err != nil {
				return err
			}
			measured[size] = result
			swept.Runs = append(swept.Runs, result)
		}
	}
	full, err := c.measure(ctx, c.size(), c.options())
	if err != nil {
		return err
	}
	swept.Full = full
	swept.fit(measured)
	if err := swept.write(c.Output); err != nil {
		return err
	}
	if c.Page != "" {
		if err := swept.fillPage(c.Page); err != nil {
			return err
		}
	}
	return full.verdict()
}
