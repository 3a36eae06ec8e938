// Package overhead measures what a gateway adds to a request: latency over
// direct calls of the same engines in the same run, and the processor time that
// relaying costs. Direct and relayed calls alternate at random, so that whatever
// else the machine does meets both alike.
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

// Environment is what the experiment calls.
type Environment struct {
	// Gateway and Engines are addresses, "ip:port".
	Gateway string
	Engines []string
	// GatewayInternal is the internal address of the gateway.
	GatewayInternal string
	// GatewayPid is the process whose processor time is read.
	GatewayPid int
	APIKey     string
	Model      string
}

// Options are the sizes of the experiment.
type Options struct {
	// Duration is the length of each phase.
	Duration time.Duration
	// LatencyRate is the rate of calls in the latency phase, direct and relayed
	// together.
	LatencyRate float64
	// PromptTokens and MaxTokens are the lengths of requests.
	PromptTokens, MaxTokens int
	// TokenRate is the rate of tokens to relay in the throughput phase.
	TokenRate float64
	// StreamTokens is the length of answers in the throughput phase.
	StreamTokens int
	// RequestRate is the rate of one-token requests in the request phase.
	RequestRate float64
	Seed        int64
	// Profile is the file for a processor profile of the gateway in the
	// throughput phase; empty takes none.
	Profile string
}

// Comparison is a quantity of direct and of relayed calls.
type Comparison struct {
	Direct     load.Summary `json:"direct"`
	Relayed    load.Summary `json:"relayed"`
	AddedP50Ms float64      `json:"added_p50_ms"`
	AddedP99Ms float64      `json:"added_p99_ms"`
	RatioP99   float64      `json:"ratio_p99"`
}

// Relaying is what a phase cost the gateway.
type Relaying struct {
	Requests          int     `json:"requests"`
	Tokens            int64   `json:"tokens"`
	Events            int64   `json:"events"`
	ElapsedSeconds    float64 `json:"elapsed_seconds"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	// CPUSeconds is user and system time of the gateway process.
	CPUSeconds float64 `json:"cpu_seconds"`
	// Cores is the processor time a second.
	Cores                 float64             `json:"cores"`
	RequestsPerCoreSecond float64             `json:"requests_per_core_second"`
	TokensPerCoreSecond   float64             `json:"tokens_per_core_second"`
	EventsPerCoreSecond   float64             `json:"events_per_core_second"`
	Failures              []load.OutcomeCount `json:"failures"`
	NotSent               int                 `json:"not_sent"`
	Latency               load.Summary        `json:"latency"`
	BetweenEvents         load.Summary        `json:"between_events"`
}

// Result holds the figures of the experiment.
type Result struct {
	// AddedP50Ms, AddedP99Ms and RatioP99 are of whole streamed answers.
	AddedP50Ms float64 `json:"added_p50_ms"`
	AddedP99Ms float64 `json:"added_p99_ms"`
	RatioP99   float64 `json:"ratio_p99"`
	// TokensPerCoreSecond and EventsPerCoreSecond are of the throughput phase.
	// How many tokens an event carries is the engine's choice; the cost is by
	// event.
	TokensPerCoreSecond float64 `json:"tokens_per_core_second"`
	EventsPerCoreSecond float64 `json:"events_per_core_second"`
	// RequestsPerSecond and RequestsPerCoreSecond are of the request phase.
	RequestsPerSecond     float64 `json:"requests_per_second"`
	RequestsPerCoreSecond float64 `json:"requests_per_core_second"`

	WholeAnswer Comparison          `json:"whole_answer"`
	FirstToken  Comparison          `json:"first_token"`
	Failures    []load.OutcomeCount `json:"failures"`
	Throughput  Relaying            `json:"throughput"`
	Requests    Relaying            `json:"requests"`
	// MachineLoad is the load average at the begin: the machine may be shared.
	MachineLoad string `json:"machine_load"`

	latency *load.Result
}

// Measure runs the three phases one after the other.
func Measure(ctx context.Context, environment Environment, options Options) (*Result, error) {
	result := &Result{MachineLoad: machineLoad()}
	result.measureLatency(ctx, environment, options)
	profiled := startProfile(ctx, environment, options)
	var err error
	if result.Throughput, err = relay(ctx, environment, options, streamCalls(environment, options)); err != nil {
		return nil, err
	}
	if err := profiled(); err != nil {
		return nil, err
	}
	if result.Requests, err = relay(ctx, environment, options, shortCalls(environment, options)); err != nil {
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
		r.Failures = append(r.Failures, failures(class)...)
	}
}

// alternate sends each of two calls in a row to an engine and to the gateway, in
// random order.
func alternate(schedule load.Schedule, environment Environment, random *rand.Rand) load.Schedule {
	number := 0
	directFirst := false
	return func() (load.ScheduledCall, bool) {
		planned, more := schedule()
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
		return planned, more
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

// failures returns what did not end well.
func failures(class load.ClassReport) []load.OutcomeCount {
	var result []load.OutcomeCount
	for _, entry := range class.Outcomes {
		if entry.Outcome != load.OutcomeOK {
			result = append(result, entry)
		}
	}
	return result
}

// streamCalls is the schedule of long streams through the gateway.
func streamCalls(environment Environment, options Options) load.Schedule {
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

// shortCalls is the schedule of one-token requests through the gateway.
func shortCalls(environment Environment, options Options) load.Schedule {
	random := rand.New(rand.NewSource(options.Seed + 2))
	return load.Poisson(options.RequestRate, options.Duration, random, classRelayed, func(number int) load.Call {
		return load.Call{
			Target: environment.Gateway, APIKey: environment.APIKey, Model: environment.Model,
			Content:   load.Prompt(0, 0, options.PromptTokens, uint64(options.Seed+2)<<32+uint64(number)),
			MaxTokens: 1,
		}
	})
}

// relay runs a schedule and reads what it cost the gateway.
func relay(ctx context.Context, environment Environment, options Options, schedule load.Schedule) (Relaying, error) {
	before, err := fleet.ReadUsage(environment.GatewayPid)
	if err != nil {
		return Relaying{}, errors.Wrap(err, "usage of the gateway")
	}
	result := load.Run(ctx, schedule, load.Options{})
	after, err := fleet.ReadUsage(environment.GatewayPid)
	if err != nil {
		return Relaying{}, errors.Wrap(err, "usage of the gateway")
	}
	report := result.Report()
	if len(report.Classes) == 0 {
		return Relaying{}, errors.New("no call was sent; raise the rate or the duration")
	}
	return relaying(report.Classes[0], result, after.CPU-before.CPU), nil
}

func relaying(class load.ClassReport, result *load.Result, processor time.Duration) Relaying {
	answered := result.Class(class.Class).Count(load.OutcomeOK)
	relayed := Relaying{
		Requests:          answered,
		Tokens:            class.Tokens,
		Events:            int64(answered) + int64(class.BetweenTokens.Count),
		ElapsedSeconds:    result.Elapsed.Seconds(),
		RequestsPerSecond: class.RequestsPerSecond,
		TokensPerSecond:   class.TokensPerSecond,
		CPUSeconds:        processor.Seconds(),
		Cores:             processor.Seconds() / result.Elapsed.Seconds(),
		Failures:          failures(class),
		NotSent:           class.NotSent,
		Latency:           class.Latency,
		BetweenEvents:     class.BetweenTokens,
	}
	if processor > 0 {
		relayed.RequestsPerCoreSecond = float64(answered) / processor.Seconds()
		relayed.TokensPerCoreSecond = float64(class.Tokens) / processor.Seconds()
		relayed.EventsPerCoreSecond = float64(relayed.Events) / processor.Seconds()
	}
	return relayed
}
