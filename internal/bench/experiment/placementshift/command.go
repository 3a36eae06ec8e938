package placementshift

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/interval"
	"rockwind.example/rockwind/internal/bench/report"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/placement"
)

// Command is `rockwind-bench experiment placement`.
type Command struct {
	Servers      int           `help:"Engines, one version each." default:"24"`
	Load         float64       `help:"Demand as a part of what all engines serve." default:"0.6"`
	Noise        float64       `help:"Standard deviation of the logarithm of demand." default:"0.25"`
	Settle       time.Duration `help:"Time before the shift." default:"30m"`
	Follow       time.Duration `help:"Time after the shift." default:"30m"`
	WeightsBytes float64       `help:"Size of a version's weights in bytes." default:"16e9"`
	StoreRate    float64       `help:"Rate of the weight store in bytes a second." default:"1e9"`
	LoadsAtOnce  int           `help:"Engines that load at a time." default:"2"`
	Seeds        int           `help:"Runs of each variant, each with another seed." default:"30"`
	Seed         uint64        `help:"First seed." default:"1"`
	JSON         bool          `help:"Print the figures as JSON." name:"json"`
}

// Variant holds the results of one placement variant over all seeds.
type Variant struct {
	Name           string            `json:"name"`
	FollowSeconds  interval.Interval `json:"follow_seconds"`
	MovesBefore    interval.Interval `json:"moves_before_shift"`
	MovesAfter     interval.Interval `json:"moves_after_shift"`
	UnservedBefore interval.Interval `json:"unserved_before_shift"`
	UnservedAfter  interval.Interval `json:"unserved_after_shift"`
}

// Result holds the results of the experiment.
type Result struct {
	Servers  int       `json:"servers"`
	Variants []Variant `json:"variants"`
}

// variant is a named policy; a nil policy never changes the model of a server.
type variant struct {
	name   string
	policy *placement.Policy
}

// variants lists the default policy, ablations of its hysteresis, and a static fleet.
func variants() []variant {
	full := placement.DefaultPolicy()
	noMargin := full
	noMargin.Margin = 0
	noDwell := full
	noDwell.Dwell, noDwell.Sustain, noDwell.SmoothingHalfLife = 0, 0, 0
	noHysteresis := noDwell
	noHysteresis.Margin = 0
	return []variant{
		{name: "placement", policy: &full},
		{name: "no_margin", policy: &noMargin},
		{name: "no_dwell_or_smoothing", policy: &noDwell},
		{name: "no_hysteresis", policy: &noHysteresis},
		{name: "static"},
	}
}

// Run simulates all variants with the same seeds and prints the results.
func (c *Command) Run() error {
	if err := c.check(); err != nil {
		return err
	}
	result := Result{Servers: c.Servers}
	trial := Trial{
		Servers: c.Servers, Load: c.Load, Noise: c.Noise, Settle: c.Settle, Follow: c.Follow,
		WeightsBytes: c.WeightsBytes, StoreRate: c.StoreRate, LoadsAtOnce: c.LoadsAtOnce,
	}
	for _, candidate := range variants() {
		var outcomes []Outcome
		for seed := range c.Seeds {
			outcomes = append(outcomes, Simulate(trial, candidate.policy, c.Seed+uint64(seed)))
		}
		result.Variants = append(result.Variants, summarize(candidate.name, outcomes))
	}
	if c.JSON {
		return report.PrintJSON(os.Stdout, result)
	}
	return result.print(os.Stdout)
}

func (c *Command) check() error {
	const minServers = 2 * zones
	if c.Servers < minServers || c.Seeds < 1 {
		return fault.Newf(fault.InvalidArgument, "raise --servers or --seeds",
			"the trial needs at least %d servers and one seed", minServers)
	}
	if c.Load <= 0 || c.Noise < 0 || c.WeightsBytes <= 0 || c.StoreRate <= 0 {
		return fault.New(fault.InvalidArgument, "load, size and rate must be positive and noise must not be negative", "correct the flag")
	}
	return nil
}

func summarize(name string, outcomes []Outcome) Variant {
	return Variant{
		Name:           name,
		FollowSeconds:  interval.OfFunc(outcomes, func(o Outcome) float64 { return o.FollowSeconds }),
		MovesBefore:    interval.OfFunc(outcomes, func(o Outcome) float64 { return o.MovesBefore }),
		MovesAfter:     interval.OfFunc(outcomes, func(o Outcome) float64 { return o.MovesAfter }),
		UnservedBefore: interval.OfFunc(outcomes, func(o Outcome) float64 { return o.UnservedBefore }),
		UnservedAfter:  interval.OfFunc(outcomes, func(o Outcome) float64 { return o.UnservedAfter }),
	}
}

// print writes the results as text.
func (r *Result) print(writer io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%-22s %-16s %-14s %-14s %-18s %s\n", "variant", "follow s", "moves before", "moves after", "unserved before", "unserved after")
	for _, entry := range r.Variants {
		fmt.Fprintf(&text, "%-22s %-16s %-14s %-14s %-18s %s\n", entry.Name,
			entry.FollowSeconds.Format("%.0f"), entry.MovesBefore.Format("%.1f"), entry.MovesAfter.Format("%.1f"),
			entry.UnservedBefore.Format("%.4f"), entry.UnservedAfter.Format("%.4f"))
	}
	_, err := io.WriteString(writer, text.String())
	return errors.Wrap(err, "print the results")
}
