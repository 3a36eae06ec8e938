// Package overhead measures the overhead of a gateway: the added latency against
// direct calls to the same engines in the same run, and the CPU time of relaying.
// Direct and relayed calls are interleaved at random, so that other load on the machine
// affects both equally.
package overhead

import (
	"context"
	"math/rand"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/load"
)

// Classes of calls.
const (
	classDirect  = "direct"
	classRelayed = "relayed"
)

// Environment describes the gateway and engines that the experiment calls.
type Environment struct {
	// Gateway and Engines are addresses, "ip:port".
	Gateway string
	Engines []string
	// GatewayInternal is the internal address of the gateway.
	GatewayInternal string
	// GatewayPid is the process whose CPU time is read.
	GatewayPid int
	APIKey     string
	Model      string
}

// Options are the parameters of the experiment.
type Options struct {
	// Duration is the length of each phase.
	Duration time.Duration
	// LatencyRate is the total rate of direct and relayed calls in the latency phase.
	LatencyRate float64
	// PromptTokens is the length of prompts, MaxTokens that of answers in the latency
	// phase.
	PromptTokens, MaxTokens int
	// TokenRate is the rate of tokens to relay in the throughput phase.
	TokenRate float64
	// StreamTokens is the length of answers in the throughput phase.
	StreamTokens int
	// RequestRate is the rate of one-token requests in the request phase.
	RequestRate float64
	Seed        int64
	// Profile is the file for a CPU profile of the gateway in the throughput phase;
	// empty disables it.
	Profile string
}

// Comparison compares a latency of direct and relayed calls.
type Comparison struct {
	Direct     load.Summary `json:"direct"`
	Relayed    load.Summary `json:"relayed"`
	AddedP50Ms float64      `json:"added_p50_ms"`
	AddedP99Ms float64      `json:"added_p99_ms"`
	RatioP99   float64      `json:"ratio_p99"`
}

// RelayCost is the work and CPU time of the gateway in one phase.
type RelayCost struct {
	Requests          int     `json:"requests"`
	Tokens            int64   `json:"tokens"`
	Events            int64   `json:"events"`
	ElapsedSeconds    float64 `json:"elapsed_seconds"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	// CPUSeconds is the user and system time of the gateway process.
	CPUSeconds float64 `json:"cpu_seconds"`
	// Cores is the CPU time per second.
	Cores                 float64             `json:"cores"`
	RequestsPerCoreSecond float64             `json:"requests_per_core_second"`
	TokensPerCoreSecond   float64             `json:"tokens_per_core_second"`
	EventsPerCoreSecond   float64             `json:"events_per_core_second"`
	Failures              []load.OutcomeCount `json:"failures"`
	NotSent               int                 `json:"not_sent"`
	Latency               load.Summary        `json:"latency"`
	BetweenEvents         load.Summary        `json:"between_events"`
}

// Result holds the results of the experiment.
type Result struct {
	// AddedP50Ms, AddedP99Ms and RatioP99 apply to complete streamed answers.
	AddedP50Ms float64 `json:"added_p50_ms"`
	AddedP99Ms float64 `json:"added_p99_ms"`
	RatioP99   float64 `json:"ratio_p99"`
	// TokensPerCoreSecond and EventsPerCoreSecond apply to the throughput phase. The
	// cost depends on the number of events; the engine chooses the tokens per event.
	TokensPerCoreSecond float64 `json:"tokens_per_core_second"`
	EventsPerCoreSecond float64 `json:"events_per_core_second"`
	// RequestsPerSecond and RequestsPerCoreSecond apply to the request phase.
	RequestsPerSecond     float64 `json:"requests_per_second"`
	RequestsPerCoreSecond float64 `json:"requests_per_core_second"`

	WholeAnswer Comparison          `json:"whole_answer"`
	FirstToken  Comparison          `json:"first_token"`
	Failures    []load.OutcomeCount `json:"failures"`
	Throughput  RelayCost           `json:"throughput"`
	Requests    RelayCost           `json:"requests"`
	// MachineLoad is the load average of the machine at the start.
	MachineLoad string `json:"machine_load"`

	latency *load.Result
}

// Measure runs the three phases in sequence.
func Measure(ctx context.Context, environment Environment, options Options) (*Result, error) {
	result := &Result{MachineLoad: machineLoad()}
	result.measureLatency(ctx, environment, options)
	waitForProfile := startProfile(ctx, environment, options)
	var err error
	if result.Throughput, err = measureRelay(ctx, environment, options, streamSchedule(environment, options)); err != nil {
		return nil, err
	}
	if err := waitForProfile(); err != nil {
		return nil, err
	}
	if result.Requests, err = measureRelay(ctx, environment, options, shortSchedule(environment, options)); err != nil {
		return nil, err
	}
	result.TokensPerCoreSecond = result.Throughput.TokensPerCoreSecond
	result.EventsPerCoreSecond = result.Throughput.EventsPerCoreSecond
	result.RequestsPerSecond = result.Requests.RequestsPerSecond
	result.RequestsPerCoreSecond = result.Requests.RequestsPerCoreSecond
	return result, ctx.Err()
}

func (r *Result) measureLatency(ctx context.Context, environment Environment, options Options) {
	random := rand.New(rand.NewSource(options.Seed))
	call := func(number int) load.Call {
		return load.Call{
			APIKey:    environment.APIKey,
			Model:     environment.Model,
			Content:   load.Prompt(0, 0, options.PromptTokens, uint64(options.Seed)<<32+uint64(number)),
			MaxTokens: options.MaxTokens,
			Stream:    true,
		}
	}
	schedule := alternate(load.Poisson(options.LatencyRate, options.Duration, random, "", call), environment, random)
	r.latency = load.Run(ctx, schedule, load.Options{})
	direct, relayed := r.latency.Class(classDirect), r.latency.Class(classRelayed)
	r.WholeAnswer = compare(direct.Latency, relayed.Latency)
	r.FirstToken = compare(direct.FirstToken, relayed.FirstToken)
	r.AddedP50Ms = r.WholeAnswer.AddedP50Ms
	r.AddedP99Ms = r.WholeAnswer.AddedP99Ms
	r.RatioP99 = r.WholeAnswer.RatioP99
	for _, class := range r.latency.Report().Classes {
		r.Failures = append(r.Failures, failedOutcomes(class)...)
	}
}

// alternate sends one call of each consecutive pair to an engine and the other to the
// gateway, in random order.
func alternate(schedule load.Schedule, environment Environment, random *rand.Rand) load.Schedule {
	number := 0
	directFirst := false
	return func() (load.ScheduledCall, bool) {
		planned, ok := schedule()
		if number%2 == 0 {
			directFirst = random.Intn(2) == 0
		}
		direct := directFirst == (number%2 == 0)
		number++
		if direct {
			planned.Class = classDirect
			planned.Call.Target = environment.Engines[random.Intn(len(environment.Engines))]
		} else {
			planned.Class = classRelayed
			planned.Call.Target = environment.Gateway
		}
		return planned, ok
	}
}

func compare(direct, relayed *load.Histogram) Comparison {
	result := Comparison{Direct: direct.Summary(), Relayed: relayed.Summary()}
	result.AddedP50Ms = result.Relayed.P50Ms - result.Direct.P50Ms
	result.AddedP99Ms = result.Relayed.P99Ms - result.Direct.P99Ms
	if result.Direct.P99Ms > 0 {
		result.RatioP99 = result.Relayed.P99Ms / result.Direct.P99Ms
	}
	return result
}

// failedOutcomes returns the counts of all outcomes but success.
func failedOutcomes(class load.ClassReport) []load.OutcomeCount {
	var result []load.OutcomeCount
	for _, entry := range class.Outcomes {
		if entry.Outcome != load.OutcomeOK {
			result = append(result, entry)
		}
	}
	return result
}

// streamSchedule returns the schedule of long streams through the gateway.
func streamSchedule(environment Environment, options Options) load.Schedule {
	random := rand.New(rand.NewSource(options.Seed + 1))
	rate := options.TokenRate / float64(options.StreamTokens)
	return load.Poisson(rate, options.Duration, random, classRelayed, func(number int) load.Call {
		return load.Call{
			Target: environment.Gateway, APIKey: environment.APIKey, Model: environment.Model,
			Content:   load.Prompt(0, 0, options.PromptTokens, uint64(options.Seed+1)<<32+uint64(number)),
			MaxTokens: options.StreamTokens, Stream: true,
		}
	})
}

// shortSchedule returns the schedule of one-token requests through the gateway.
func shortSchedule(environment Environment, options Options) load.Schedule {
	random := rand.New(rand.NewSource(options.Seed + 2))
	return load.Poisson(options.RequestRate, options.Duration, random, classRelayed, func(number int) load.Call {
		return load.Call{
			Target: environment.Gateway, APIKey: environment.APIKey, Model: environment.Model,
			Content:   load.Prompt(0, 0, options.PromptTokens, uint64(options.Seed+2)<<32+uint64(number)),
			MaxTokens: 1,
		}
	})
}

// measureRelay runs a schedule and measures the CPU time of the gateway.
func measureRelay(ctx context.Context, environment Environment, options Options, schedule load.Schedule) (RelayCost, error) {
	before, err := fleet.ReadUsage(environment.GatewayPid)
	if err != nil {
		return RelayCost{}, errors.Wrap(err, "read the CPU time of the gateway")
	}
	result := load.Run(ctx, schedule, load.Options{})
	after, err := fleet.ReadUsage(environment.GatewayPid)
	if err != nil {
		return RelayCost{}, errors.Wrap(err, "read the CPU time of the gateway")
	}
	report := result.Report()
	if len(report.Classes) == 0 {
		return RelayCost{}, errors.New("no call was sent; raise the rate or the duration")
	}
	return relayCost(report.Classes[0], result, after.CPU-before.CPU), nil
}

func relayCost(class load.ClassReport, result *load.Result, cpuTime time.Duration) RelayCost {
	answered := result.Class(class.Class).Count(load.OutcomeOK)
	relayed := RelayCost{
		Requests:          answered,
		Tokens:            class.Tokens,
		Events:            int64(answered) + int64(class.BetweenTokens.Count),
		ElapsedSeconds:    result.Elapsed.Seconds(),
		RequestsPerSecond: class.RequestsPerSecond,
		TokensPerSecond:   class.TokensPerSecond,
		CPUSeconds:        cpuTime.Seconds(),
		Cores:             cpuTime.Seconds() / result.Elapsed.Seconds(),
		Failures:          failedOutcomes(class),
		NotSent:           class.NotSent,
		Latency:           class.Latency,
		BetweenEvents:     class.BetweenTokens,
	}
	if cpuTime > 0 {
		relayed.RequestsPerCoreSecond = float64(answered) / cpuTime.Seconds()
		relayed.TokensPerCoreSecond = float64(class.Tokens) / cpuTime.Seconds()
		relayed.EventsPerCoreSecond = float64(relayed.Events) / cpuTime.Seconds()
	}
	return relayed
}
