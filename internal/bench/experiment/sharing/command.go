package sharing

import (
	"fmt"
	"os"
	"time"

	"rockwind.example/rockwind/internal/bench/report"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/simulator"
)

// Command is `rockwind-bench experiment sharing`.
type Command struct {
	Scenario string        `help:"Deployment to simulate." enum:"magnolia,kvistborg" default:"magnolia"`
	Seed     uint64        `help:"First seed." default:"1"`
	Seeds    int           `help:"Number of consecutive seeds." default:"3"`
	Measured time.Duration `help:"Simulated time measured per run." default:"150s"`
	Warmup   time.Duration `help:"Simulated time before that, in which gateways learn the tail of online." default:"60s"`
	Output   string        `help:"Folder for a page with charts." type:"path"`
	JSON     bool          `help:"Print the figures as JSON." name:"json"`
}

// Run measures and prints the results.
func (c *Command) Run() error {
	if c.Seeds < 1 || c.Measured < time.Second {
		return fault.New(fault.InvalidArgument, "seeds or measured time are too small", "give --seeds of at least 1 and --measured of at least 1s")
	}
	scenario, _ := simulator.ScenarioNamed(c.Scenario)
	scenario.Warmup = c.Warmup
	scenario.Measured = c.Measured
	result, err := Measure(Options{Scenario: scenario, Seed: c.Seed, Seeds: c.Seeds})
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
	result.print()
	return nil
}

func (r *Result) print() {
	fmt.Printf("%s (objective %s): TTFT p99 ratio %.3f, TPOT p99 ratio %.3f, batch throughput ratio %.3f over %d seeds\n",
		r.Scenario, r.Objective, r.TTFTRatio, r.TPOTRatio, r.Throughput, len(r.Seeds))
	fmt.Printf("worst harm of a seed %.3f, least throughput of a seed %.3f, aims met: %v\n", r.WorstHarm, r.LeastThroughput, r.AimsMet)
	for index := range r.Policies {
		policy := &r.Policies[index]
		fmt.Printf("%-28s TTFT %s TPOT %s batch %s of empty fleet %.2f pauses/s %.0f\n", policy.Name,
			policy.TTFTRatio, policy.TPOTRatio, policy.Throughput, policy.OfCapacity.Mean, policy.PausesPerSecond.Mean)
	}
}
