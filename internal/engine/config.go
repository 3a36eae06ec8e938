package engine

import (
	"math"
	"time"
)

// Sizes that the engine protocol fixes.
const (
	// BlockBytes is the length of a block of the prefix cache in bytes of prompt.
	BlockBytes = 256
	// BytesPerToken is the number of bytes of prompt that count as one token.
	BytesPerToken = 4
	// TokensPerBlock is the length of a block in tokens.
	TokensPerBlock = BlockBytes / BytesPerToken
)

// Priorities that rockwind uses. Lower runs first.
const (
	// PriorityOnline is the priority of online requests.
	PriorityOnline = 0
	// PriorityBatch is the priority of batch items. Every request with this
	// priority or a higher number counts as batch.
	PriorityBatch = 10
)

// Never is the time of an event that will not come.
const Never = time.Duration(math.MaxInt64)

// Config holds the parameters of one engine. DefaultConfig gives values that
// are plausible for an 8-billion-parameter model on a mid-range accelerator.
type Config struct {
	// BaseStep is the time of a step that does nothing: reading the weights.
	BaseStep time.Duration
	// PerSequence is the time that each decoding sequence adds to a step.
	PerSequence time.Duration
	// PerPrefillToken is the time that each prefilled token adds to a step.
	PerPrefillToken time.Duration
	// PerAttendedToken is the time that each token of KV read adds to a step.
	PerAttendedToken time.Duration
	// StepJitter is the largest fraction by which a step is longer than its cost.
	StepJitter float64

	// MaxSequences is the number of places in a step.
	MaxSequences int
	// MaxWaiting is the number of requests that may wait for a place; more are
	// refused.
	MaxWaiting int
	// KVCapacity is the memory for KV in tokens, prefix cache included.
	KVCapacity int
	// PrefillChunk is the number of prompt tokens that a step may prefill.
	PrefillChunk int
	// TokensPerStep is the number of tokens that a step gives to a decoding
	// sequence; above one it stands for multi-step or speculative decoding.
	TokensPerStep int
	// PrefixBlocks bounds the prefix cache in blocks; zero turns it off.
	PrefixBlocks int

	// Retention is how long a request without a reader, or a finished one, stays
	// known for a resume. Zero forgets a finished request at once.
	Retention time.Duration
	// ReportLag is the age of a load report.
	ReportLag time.Duration
	// CacheEventLag is the age at which a cache event is published.
	CacheEventLag time.Duration
	// CacheEventLoss is the probability that the log of cache events is cut at
	// an event, so that readers find a gap.
	CacheEventLoss float64
	// CacheEventLog bounds the cache events kept for readers.
	CacheEventLog int

	// Loaded names what is loaded at the start, as "model@version",
	// "model:adapter" or "model". Empty accepts every model.
	Loaded []string
	// WeightsRate is the rate of loading in bytes a second.
	WeightsRate float64
	// WeightsBytes is the size of weights whose order names no size.
	WeightsBytes int64
	// Role is the role at the start.
	Role Role

	// OmitIntermediateTokens leaves out the token events between the first token and
	// the end, for simulations that do not look at them.
	OmitIntermediateTokens bool
	// KeepOnlineTokens keeps the token events of online requests all the same.
	KeepOnlineTokens bool
}

// DefaultConfig returns the parameters of a mid-range accelerator.
func DefaultConfig() Config {
	return Config{
		BaseStep:         12 * time.Millisecond,
		PerSequence:      120 * time.Microsecond,
		PerPrefillToken:  30 * time.Microsecond,
		PerAttendedToken: 40 * time.Nanosecond,
		MaxSequences:     64,
		MaxWaiting:       256,
		KVCapacity:       200_000,
		PrefillChunk:     512,
		TokensPerStep:    1,
		PrefixBlocks:     1024,
		Retention:        10 * time.Second,
		ReportLag:        100 * time.Millisecond,
		CacheEventLag:    200 * time.Millisecond,
		CacheEventLoss:   0.001,
		CacheEventLog:    4096,
		WeightsRate:      2e9,
		WeightsBytes:     16e9,
		Role:             RoleMixed,
	}
}

// FastConfig returns the parameters of an engine that costs little to run and
// produces tokens quickly, for measurements of what stands before it.
func FastConfig() Config {
	config := DefaultConfig()
	config.BaseStep = 5 * time.Millisecond
	config.TokensPerStep = 8
	config.PerSequence = 0
	config.PerPrefillToken = 0
	config.PerAttendedToken = 0
	config.MaxSequences = 4096
	config.MaxWaiting = 4096
	config.KVCapacity = 16_000_000
	config.PrefillChunk = 1_000_000
	config.PrefixBlocks = 0
	config.CacheEventLoss = 0
	return config
}

// Scale returns the configuration with every duration multiplied by factor;
// below one the engine runs faster than its parameters say.
func (c Config) Scale(factor float64) Config {
	scale := func(value time.Duration) time.Duration {
		return time.Duration(float64(value) * factor)
	}
	c.BaseStep = scale(c.BaseStep)
	c.PerSequence = scale(c.PerSequence)
	c.PerPrefillToken = scale(c.PerPrefillToken)
	c.PerAttendedToken = scale(c.PerAttendedToken)
	c.WeightsRate /= factor
	return c
}

// normalized replaces values that would stop the engine.
func (c Config) normalized() Config {
	c.MaxSequences = max(c.MaxSequences, 1)
	c.KVCapacity = max(c.KVCapacity, 1)
	c.PrefillChunk = max(c.PrefillChunk, 1)
	c.TokensPerStep = max(c.TokensPerStep, 1)
	c.BaseStep = max(c.BaseStep, time.Microsecond)
	c.CacheEventLog = max(c.CacheEventLog, 1)
	if c.Role == "" {
		c.Role = RoleMixed
	}
	return c
}

// reportsTokens tells whether a sequence gets an event for each of its tokens.
func (c *Config) reportsTokens(entry *sequence) bool {
	return !c.OmitIntermediateTokens || (c.KeepOnlineTokens && !entry.batch())
}
