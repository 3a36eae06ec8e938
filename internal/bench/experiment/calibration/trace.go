package calibration

import (
	"math/rand"
	"time"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/load"
	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/simulator"
)

// Parameters of the default load: mostly short prompts and some long ones, in bursts,
// and batch jobs at a fixed interval.
const (
	defaultBurstFactor   = 3
	defaultBurstFraction = 0.1
	defaultBurstLength   = 2 * time.Second
	jobInterval          = 4 * time.Second
)

// makeTrace generates the default load: online requests at a mean rate, and batch jobs
// unless items is zero.
func makeTrace(rate float64, items int, duration time.Duration, seed int64) []load.Record {
	mix := load.Mix{
		Name: fleet.GroupScheduling, Tenants: 1, Rate: rate,
		BurstFactor: defaultBurstFactor, BurstFraction: defaultBurstFraction, BurstLength: defaultBurstLength,
		Requests: []load.RequestShape{
			{Weight: 5, Kind: load.KindOnline, Model: fleet.ModelName, PromptTokens: 300, AnswerTokens: 80, Spread: 0.5, Prefixes: 4, PrefixTokens: 192, Stream: true},
			{Weight: 1, Kind: load.KindOnline, Model: fleet.ModelName, PromptTokens: 2500, AnswerTokens: 150, Spread: 0.4, Stream: true},
		},
		JobsPerBurst: 1, ItemsPerJob: items,
		Item: load.RequestShape{Kind: load.KindJob, Model: fleet.ModelName, PromptTokens: 300, AnswerTokens: 100, Spread: 0.2, Prefixes: 4, PrefixTokens: 128},
	}
	if items > 0 {
		mix.JobBurstInterval = jobInterval
	}
	return load.Generate([]load.Mix{mix}, duration, rand.New(rand.NewSource(seed)))
}

// promptIDStride exceeds the number of items of a job, so that prompt IDs are unique.
const promptIDStride = 1 << 20

// promptID returns the ID of the prompt of an item of a record. An online request is
// item 0.
func promptID(record, item int) uint64 {
	return uint64(record)*promptIDStride + uint64(item)
}

// content returns the prompt of an item of a record.
func content(record load.Record, number, item int) string {
	return load.Prompt(record.SharedPrefix, record.SharedPrefixTokens, record.PromptTokens, promptID(number, item))
}

// simulatorReplay converts the trace for the simulator, with prompt lengths as the
// real engines count them.
func simulatorReplay(records []load.Record, gateways int) *simulator.Replay {
	replay := &simulator.Replay{}
	for number, record := range records {
		switch record.Kind {
		case load.KindOnline:
			replay.Online = append(replay.Online, replayedRequest(record, number, 0, gateways))
		case load.KindJob:
			job := simulator.ReplayedJob{At: record.At()}
			for item := range record.Items {
				job.Items = append(job.Items, replayedRequest(record, number, item, gateways))
			}
			replay.Jobs = append(replay.Jobs, job)
		}
	}
	return replay
}

func replayedRequest(record load.Record, number, item, gateways int) simulator.ReplayedRequest {
	return simulator.ReplayedRequest{
		At:           record.At(),
		Gateway:      number % gateways,
		PromptTokens: engine.PromptTokens(engine.UserPrompt(content(record, number, item))),
		OutputTokens: record.MaxTokens,
		SharedPrefix: int(record.SharedPrefix),
		SharedTokens: record.SharedPrefixTokens,
	}
}
