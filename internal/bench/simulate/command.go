// Package simulate implements the command that simulates a scenario under a policy
// in virtual time and prints the results of online requests and batch items.
package simulate

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/load"
	"rockwind.example/rockwind/internal/bench/report"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/simulator"
)

// Limits of the number of engines.
const (
	minimumServers = 12
	maximumServers = 1200
)

// Command is `rockwind-bench simulate`.
type Command struct {
	Scenario   string        `help:"Deployment to simulate." enum:"magnolia,kvistborg,shares" default:"magnolia"`
	Servers    int           `help:"Number of engines, 12 to 1200, rounded up to whole zones; 0 keeps the deployment's."`
	Policy     string        `help:"Policy: rockwind, online_alone, batch_alone, priority_only, round_robin_first_come, static_split_half, static_split_three_quarters or oracle." default:"rockwind"`
	Seed       uint64        `help:"Seed of the run." default:"1"`
	Measured   time.Duration `help:"Simulated time measured, after the warm-up." default:"120s"`
	Trace      string        `help:"Trace to replay in place of the drawn load; rockwind-bench trace writes one." type:"existingfile"`
	Fault      []string      `help:"Fault as kind@time:engine or kind@time:engine:duration, for example die@30s:4:10s; kinds are die, hang, slow, lie, refuse and truncate."`
	FirstToken time.Duration `help:"Time to the first token that batch must keep; by default gateways estimate it."`
	PerToken   time.Duration `help:"Time per token that batch must keep; by default gateways estimate it."`
	JSON       bool          `help:"Print the figures as JSON." name:"json"`
}

// Run runs the simulation and prints the figures.
func (c *Command) Run() error {
	scenario, err := c.scenario()
	if err != nil {
		return err
	}
	policy, found := simulator.PolicyNamed(&scenario, c.Policy)
	if !found {
		return fault.Newf(fault.InvalidArgument, "give one of "+strings.Join(simulator.PolicyNames(&scenario), ", "), "there is no policy %q", c.Policy)
	}
	started := time.Now()
	result := simulator.Run(scenario, policy, c.Seed)
	figures := summarize(&scenario, &result)
	figures.WallSeconds = time.Since(started).Seconds()
	if c.JSON {
		return report.PrintJSON(os.Stdout, figures)
	}
	figures.print()
	return nil
}

// scenario builds the scenario from the flags.
func (c *Command) scenario() (simulator.Scenario, error) {
	scenario, found := simulator.ScenarioNamed(c.Scenario)
	if !found {
		return scenario, fault.Newf(fault.InvalidArgument, "give magnolia, kvistborg or shares", "there is no scenario %q", c.Scenario)
	}
	if c.Measured < time.Second {
		return scenario, fault.New(fault.InvalidArgument, "the measured time is too short", "give --measured of at least 1s")
	}
	scenario.Measured = c.Measured
	scenario.Target = sharing.Target{FirstToken: c.FirstToken, PerToken: c.PerToken}
	if c.Servers != 0 {
		if c.Servers < minimumServers || c.Servers > maximumServers {
			return scenario, fault.Newf(fault.InvalidArgument, "give 12 to 1200", "%d servers can't be simulated", c.Servers)
		}
		scenario = scenario.Scale(c.Servers)
	}
	for _, text := range c.Fault {
		scheduled, err := parseFault(text, scenario.Engines())
		if err != nil {
			return scenario, err
		}
		scenario.Faults = append(scenario.Faults, scheduled)
	}
	if c.Trace == "" {
		return scenario, nil
	}
	replay, err := readTrace(c.Trace, scenario.Gateways())
	scenario.Replay = replay
	return scenario, err
}

func readTrace(name string, gateways int) (*simulator.Replay, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open the trace")
	}
	defer file.Close()
	records, err := load.ReadTrace(file)
	if err != nil {
		return nil, err
	}
	replay := &simulator.Replay{}
	for number, record := range records {
		request := simulator.ReplayedRequest{
			At: record.At(), Gateway: number % gateways, PromptTokens: max(1, record.PromptTokens),
			OutputTokens: max(1, record.MaxTokens), SharedPrefix: int(record.SharedPrefix), SharedTokens: record.SharedPrefixTokens,
		}
		switch record.Kind {
		case load.KindOnline:
			replay.Online = append(replay.Online, request)
		case load.KindJob:
			job := simulator.ReplayedJob{At: record.At()}
			for range record.Items {
				job.Items = append(job.Items, request)
			}
			replay.Jobs = append(replay.Jobs, job)
		}
	}
	return replay, nil
}

// Figures holds the results of one run.
type Figures struct {
	Scenario        string  `json:"scenario"`
	Policy          string  `json:"policy"`
	Engines         int     `json:"engines"`
	Gateways        int     `json:"gateways"`
	MeasuredSeconds float64 `json:"measured_seconds"`
	Requests        int     `json:"online_requests"`
	Refused         int     `json:"online_refused"`
	Unfinished      int     `json:"online_unfinished"`
	TTFTP50Ms       float64 `json:"online_ttft_p50_ms"`
	TTFTP99Ms       float64 `json:"online_ttft_p99_ms"`
	TPOTP50Ms       float64 `json:"online_tpot_p50_ms"`
	TPOTP99Ms       float64 `json:"online_tpot_p99_ms"`
	BatchItems      int     `json:"batch_items"`
	ItemsPerSecond  float64 `json:"batch_items_per_second"`
	BatchCost       float64 `json:"batch_cost"`
	Pauses          int     `json:"pauses"`
	WallSeconds     float64 `json:"wall_seconds"`
}

func summarize(scenario *simulator.Scenario, result *simulator.Result) *Figures {
	quantile := func(sorted []time.Duration, fraction float64) float64 {
		return float64(simulator.Quantile(sorted, fraction)) / float64(time.Millisecond)
	}
	return &Figures{
		Scenario: scenario.Name, Policy: result.Policy, Engines: scenario.Engines(), Gateways: scenario.Gateways(),
		MeasuredSeconds: result.Seconds, Requests: result.Requests, Refused: result.Refused, Unfinished: result.Unfinished,
		TTFTP50Ms: quantile(result.TTFT, 0.5), TTFTP99Ms: quantile(result.TTFT, 0.99),
		TPOTP50Ms: quantile(result.TPOT, 0.5), TPOTP99Ms: quantile(result.TPOT, 0.99),
		BatchItems: result.BatchItems, ItemsPerSecond: float64(result.BatchItems) / result.Seconds,
		BatchCost: result.BatchCost, Pauses: result.Pauses,
	}
}

func (f *Figures) print() {
	fmt.Printf("%s on %s: %d engines, %d gateways, %.0f s measured in %.1f s\n", f.Policy, f.Scenario, f.Engines, f.Gateways, f.MeasuredSeconds, f.WallSeconds)
	fmt.Printf("online: %d requests, %d refused, %d unfinished; first token p50 %.1f ms, p99 %.1f ms; per token p50 %.2f ms, p99 %.2f ms\n",
		f.Requests, f.Refused, f.Unfinished, f.TTFTP50Ms, f.TTFTP99Ms, f.TPOTP50Ms, f.TPOTP99Ms)
	fmt.Printf("batch: %d items, %.1f items/s, %d pauses\n", f.BatchItems, f.ItemsPerSecond, f.Pauses)
}
