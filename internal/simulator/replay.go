package simulator

import (
	"time"

	"rockwind.example/rockwind/internal/engine"
)

// Replay is a recorded workload that replaces the generated one.
type Replay struct {
	// Online holds the online requests, ordered by time.
	Online []ReplayedRequest
	// Jobs holds the batch jobs, ordered by arrival.
	Jobs []ReplayedJob
}

// ReplayedRequest is one online request or one batch item.
type ReplayedRequest struct {
	// At is the intended start time at the client; unused in items of jobs.
	At time.Duration
	// Gateway is the index of the gateway that the client calls.
	Gateway      int
	PromptTokens int
	OutputTokens int
	// SharedPrefix identifies the shared prefix of the prompt; zero means none.
	SharedPrefix int
	// SharedTokens is the length of the shared prefix in tokens.
	SharedTokens int
}

// ReplayedJob is one batch job.
type ReplayedJob struct {
	// At is the time at which control accepts the job.
	At time.Duration
	// Group is the index of the job's group in Scenario.Batch.
	Group int
	// Items are the job's requests; their At and Gateway are ignored.
	Items []ReplayedRequest
}

func (r *ReplayedRequest) shape() shape {
	replayed := shape{prompt: r.PromptTokens, output: r.OutputTokens, prefix: r.SharedPrefix}
	if r.SharedPrefix > 0 {
		replayed.blocks = prefixChain(uint64(r.SharedPrefix), min(r.SharedTokens, r.PromptTokens))
	}
	return replayed
}

// prefixChain generates the chain hashes of the complete blocks of a shared prefix.
func prefixChain(prefix uint64, tokens int) []uint64 {
	const blocksPerPrefix = 1 << 16
	chain := make([]uint64, tokens/engine.TokensPerBlock)
	for index := range chain {
		chain[index] = prefix*blocksPerPrefix + uint64(index) + 1
	}
	return chain
}

func (r *Replay) arrivals() []arrival {
	arrivals := make([]arrival, len(r.Online))
	for index := range r.Online {
		request := &r.Online[index]
		arrivals[index] = arrival{at: request.At, gateway: request.Gateway, shape: request.shape()}
	}
	return arrivals
}

func (r *Replay) submissions(scenario *Scenario) []jobSubmission {
	submissions := make([]jobSubmission, len(r.Jobs))
	for index := range r.Jobs {
		job := &r.Jobs[index]
		submissions[index] = jobSubmission{at: job.At, group: job.Group, deadline: job.At + scenario.Batch[job.Group].Deadline}
		for item := range job.Items {
			submissions[index].items = append(submissions[index].items, job.Items[item].shape())
		}
	}
	return submissions
}
