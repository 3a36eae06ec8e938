package simulator

import (
	"time"

	"rockwind.example/rockwind/internal/engine"
)

// Replay is a recorded load that takes the place of the drawn one.
type Replay struct {
	// Online lists the online requests in the order of their starts.
	Online []ReplayedRequest
	// Jobs lists the batch jobs in the order of their arrivals.
	Jobs []ReplayedJob
}

// ReplayedRequest is one online request or one batch item.
type ReplayedRequest struct {
	// At is the client's intended start; jobs have it in place of their items.
	At time.Duration
	// Gateway is the index of the gateway that the client calls.
	Gateway int
	// PromptTokens and OutputTokens are the lengths.
	PromptTokens int
	OutputTokens int
	// SharedPrefix names the text that the prompt begins with; zero for none.
	SharedPrefix int
	// SharedTokens is the length of that text.
	SharedTokens int
}

// ReplayedJob is one batch job.
type ReplayedJob struct {
	// At is when control accepts the job.
	At time.Duration
	// Load is the index of the job's group in Scenario.Batch.
	Load int
	// Items are the job's requests; their times and gateways are not looked at.
	Items []ReplayedRequest
}

func (r *ReplayedRequest) shape() shape {
	replayed := shape{prompt: r.PromptTokens, output: r.OutputTokens, prefix: r.SharedPrefix}
	if r.SharedPrefix > 0 {
		replayed.blocks = prefixChain(uint64(r.SharedPrefix), min(r.SharedTokens, r.PromptTokens))
	}
	return replayed
}

// prefixChain makes the chain hashes of the whole blocks of a shared text.
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
		submissions[index] = jobSubmission{at: job.At, load: job.Load, deadline: job.At + scenario.Batch[job.Load].Deadline}
		for item := range job.Items {
			submissions[index].items = append(submissions[index].items, job.Items[item].shape())
		}
	}
	return submissions
}
