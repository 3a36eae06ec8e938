package overhead

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/report"
)

// Command is `rockwind-bench experiment overhead`.
type Command struct {
	Duration      time.Duration `help:"Length of each phase." default:"10s"`
	LatencyRate   float64       `help:"Calls a second of the latency phase, half of them direct and half relayed." default:"2000"`
	PromptTokens  int           `help:"Length of prompts in tokens." default:"100"`
	MaxTokens     int           `help:"Length of answers of the latency phase." default:"64"`
	TokenRate     float64       `help:"Tokens a second to relay in the throughput phase." default:"300000"`
	StreamTokens  int           `help:"Length of answers of the throughput phase." default:"500"`
	RequestRate   float64       `help:"Requests a second of the request phase." default:"2000"`
	Engines       int           `help:"Engine stand-ins." default:"2"`
	StepMs        float64       `help:"Time of a step of the engines in ms." default:"2"`
	TokensPerStep int           `help:"Tokens of one event of a stream." default:"8"`
	Programs      string        `help:"Folder of the programs; empty takes that of this one." type:"path"`
	Output        string        `help:"Folder for a page with charts." type:"path"`
	Seed          int64         `help:"Seed of the arrivals." default:"1"`
	Profile       string        `help:"File for a processor profile of the gateway in the throughput phase." type:"path"`
	JSON          bool          `help:"Print the figures as JSON." name:"json"`
}

// Run starts a fleet with one gateway, measures and prints the results.
func (c *Command) Run() error {
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer release()
	folder, err := os.MkdirTemp("", "rockwind-overhead-")
	if err != nil {
		return errors.Wrap(err, "create a temporary folder")
	}
	defer os.RemoveAll(folder)
	running, err := fleet.Start(ctx, c.plan(), folder, c.Programs)
	if err != nil {
		return err
	}
	result, err := Measure(ctx, environment(running), c.options())
	stopErr := running.Stop(context.WithoutCancel(ctx))
	if err != nil {
		return err
	}
	if err := c.print(result); err != nil {
		return err
	}
	return stopErr
}

func (c *Command) plan() fleet.Plan {
	plan := fleet.DefaultPlan()
	plan.Controls = 1
	plan.Gateways = 1
	plan.Engines = c.Engines
	plan.Services = 0
	plan.EngineArguments = []string{
		"--fast",
		"--step-ms", fmt.Sprint(c.StepMs),
		"--tokens-per-step", fmt.Sprint(c.TokensPerStep),
	}
	return plan
}

func (c *Command) options() Options {
	return Options{
		Duration:     c.Duration,
		LatencyRate:  c.LatencyRate,
		PromptTokens: c.PromptTokens,
		MaxTokens:    c.MaxTokens,
		TokenRate:    c.TokenRate,
		StreamTokens: c.StreamTokens,
		RequestRate:  c.RequestRate,
		Seed:         c.Seed,
		Profile:      c.Profile,
	}
}

func environment(running *fleet.Fleet) Environment {
	result := Environment{
		Gateway:         running.Gateways[0].Address,
		GatewayInternal: running.Gateways[0].InternalAddress,
		GatewayPid:      running.Gateways[0].Pid(),
		APIKey:          fleet.APIKey(fleet.TenantName(fleet.GroupPuzzles, 0)),
		Model:           fleet.ModelName,
	}
	for _, process := range running.Engines {
		result.Engines = append(result.Engines, process.Address)
	}
	return result
}

// machineLoad returns the load average of the machine.
func machineLoad() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(data))
}

// print writes the results to standard output and, with --output, an HTML page.
func (c *Command) print(result *Result) error {
	if c.Output != "" {
		if err := result.write(c.Output); err != nil {
			return err
		}
	}
	if c.JSON {
		return report.PrintJSON(os.Stdout, result)
	}
	fmt.Printf("added latency of a whole answer: p50 %.2f ms, p99 %.2f ms, ratio of p99 %.2f (%d relayed, %d direct)\n",
		result.AddedP50Ms, result.AddedP99Ms, result.RatioP99,
		result.WholeAnswer.Relayed.Count, result.WholeAnswer.Direct.Count)
	fmt.Printf("added latency of the first token: p50 %.2f ms, p99 %.2f ms\n",
		result.FirstToken.AddedP50Ms, result.FirstToken.AddedP99Ms)
	result.Throughput.print("streams")
	result.Requests.print("short requests")
	fmt.Printf("failures of the latency phase: %v; load of the machine: %s\n", result.Failures, result.MachineLoad)
	return nil
}

func (r RelayCost) print(name string) {
	fmt.Printf("%s: %.0f requests/s, %.0f tokens/s on %.2f cores; %.0f requests, %.0f events and %.0f tokens a core second; failures %v, not sent %d\n",
		name, r.RequestsPerSecond, r.TokensPerSecond, r.Cores, r.RequestsPerCoreSecond, r.EventsPerCoreSecond, r.TokensPerCoreSecond, r.Failures, r.NotSent)
}

// write creates the HTML page of the experiment.
func (r *Result) write(folder string) error {
	if err := report.WriteJSON(folder, r); err != nil {
		return err
	}
	direct, relayed := r.latency.Class(classDirect), r.latency.Class(classRelayed)
	err := report.CDF(filepath.Join(folder, "latency.png"), "Latency of whole answers",
		report.Distribution(classDirect, direct.Latency), report.Distribution(classRelayed, relayed.Latency))
	if err != nil {
		return err
	}
	section := report.Section{
		Heading: "Latency that a gateway adds",
		Text:    []string{"Direct and relayed calls of the same engines alternate at random."},
		Charts:  []string{"latency.png"},
		Table: report.Table{
			Header: []string{"quantity", "direct p50 ms", "relayed p50 ms", "direct p99 ms", "relayed p99 ms", "ratio of p99"},
			Rows:   [][]string{r.WholeAnswer.row("whole answer"), r.FirstToken.row("first token")},
		},
	}
	cost := report.Section{
		Heading: "What relaying costs",
		Table: report.Table{
			Header: []string{"phase", "requests/s", "tokens/s", "cores", "requests a core second", "tokens a core second"},
			Rows:   [][]string{r.Throughput.row("streams"), r.Requests.row("short requests")},
		},
	}
	return report.WriteHTML(folder, "Overhead of a gateway", []report.Section{section, cost})
}

func (c Comparison) row(name string) []string {
	return append([]string{name}, formatNumbers("%.2f", c.Direct.P50Ms, c.Relayed.P50Ms, c.Direct.P99Ms, c.Relayed.P99Ms, c.RatioP99)...)
}

func (r RelayCost) row(name string) []string {
	row := append([]string{name}, formatNumbers("%.0f", r.RequestsPerSecond, r.TokensPerSecond)...)
	row = append(row, formatNumbers("%.2f", r.Cores)...)
	return append(row, formatNumbers("%.0f", r.RequestsPerCoreSecond, r.TokensPerCoreSecond)...)
}

func formatNumbers(format string, values ...float64) []string {
	var result []string
	for _, value := range values {
		result = append(result, fmt.Sprintf(format, value))
	}
	return result
}
