package calibration

import (
	"math/rand"
	"time"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/load"
	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/simulator"
)

// Shape of the default load: short drafts and some long texts, in bursts, and
// jobs in bursts.
const (
	defaultBurstFactor   = 3
	defaultBurstFraction = 0.1
	defaultBurstLength   = 2 * time.Second
	heapEvery            = 4 * time.Second
)

// makeTrace draws the load: online requests at a mean rate, and bursts of jobs
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
		mix.JobBurstInterval = heapEvery
	}
	return load.Generate([]load.Mix{mix}, duration, rand.New(rand.NewSource(seed)))
}

// uniqueStride keeps the unique texts of a job's items apart from each other.
const uniqueStride = 1 << 20

// unique numbers the text of an item of a record; item zero is an online request.
func unique(record, item int) uint64 {
	return uint64(record)*uniqueStride + uint64(item)
}

// content is the text that an engine sees for an item of a record.
func content(record load.Record, number, item int) string {
	return load.Prompt(record.SharedPrefix, record.SharedPrefixTokens, record.PromptTokens, unique(number, item))
}

// replayOf turns the trace into the simulator's form with the lengths that the
// real engines count.
func replayOf(records []load.Record, gateways int) *simulator.Replay {
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
