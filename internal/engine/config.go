package engine

import (
	"math"
	"time"
)

// Sizes defined by the engine protocol.
const (
	// BlockBytes is the size of a prefix cache block in bytes of the prompt.
	BlockBytes = 256
	// BytesPerToken is the number of prompt bytes counted as one token.
	BytesPerToken = 4
	// TokensPerBlock is the size of a prefix cache block in tokens.
	TokensPerBlock = BlockBytes / BytesPerToken
)

// Priorities used by rockwind. Lower values run first.
const (
	// PriorityOnline is the priority of online requests.
	PriorityOnline = 0
	// PriorityBatch is the priority of batch items. Requests with this or a
	// higher value are treated as batch.
	PriorityBatch = 10
)

// Never is the time of an event that is not scheduled.
const Never = time.Duration(math.MaxInt64)

// Config holds the parameters of one engine. The defaults in DefaultConfig
// approximate an 8-billion-parameter model on a mid-range accelerator.
type Config struct {
	// BaseStep is the fixed duration of a step: reading the weights.
	BaseStep time.Duration
	// PerSequence is the step time added per decoding sequence.
	PerSequence time.Duration
	// PerPrefillToken is the step time added per prefilled token.
	PerPrefillToken time.Duration
	// PerAttendedToken is the step time added per token of KV that is read.
	PerAttendedToken time.Duration
	// StepJitter is the maximum random increase of the step time, as a fraction.
	StepJitter float64

	// MaxSequences is the maximum number of sequences in a step.
	MaxSequences int
	// MaxWaiting is the maximum length of the waiting queue; requests beyond it
	// are refused.
	MaxWaiting int
	// KVCapacity is the size of the KV memory in tokens, including the prefix cache.
	KVCapacity int
	// PrefillChunk is the maximum number of prompt tokens prefilled in a step.
	PrefillChunk int
	// TokensPerStep is the number of tokens that a decoding sequence produces in
	// a step; values above one model multi-step or speculative decoding.
	TokensPerStep int
	// PrefixBlocks is the capacity of the prefix cache in blocks; zero disables it.
	PrefixBlocks int

	// Retention is how long a finished request, or one without a reader, can be
	// resumed. Zero removes a finished request immediately.
	Retention time.Duration
	// ReportLag is the delay after which a load report becomes visible.
	ReportLag time.Duration
	// CacheEventLag is the delay after which a cache event is published.
	CacheEventLag time.Duration
	// CacheEventLoss is the probability that an event is lost together with the
	// log before it, which readers see as a gap.
	CacheEventLoss float64
	// CacheEventLog is the number of cache events kept for readers.
	CacheEventLog int

	// Loaded lists the models and adapters loaded at startup, as "model@version",
	// "model:adapter" or "model". If empty, the engine accepts every model.
	Loaded []string
	// WeightsRate is the loading rate in bytes per second.
	WeightsRate float64
	// WeightsBytes is the weight size assumed when an order does not specify one.
	WeightsBytes int64
	// Role is the initial role.
	Role Role

	// OmitIntermediateTokens suppresses the token events between the first and the
	// last one, for simulations that do not need them.
	OmitIntermediateTokens bool
	// KeepOnlineTokens exempts online requests from OmitIntermediateTokens.
	KeepOnlineTokens bool
}

// DefaultConfig returns parameters that approximate a mid-range accelerator.
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

// FastConfig returns the parameters of a fast engine with low overhead, for
// benchmarks of the components in front of it.
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

// Scale returns the configuration with the step and loading times multiplied by
// factor; a factor below one makes the engine faster.
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

// normalized replaces values with which the engine could make no progress.
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

// reportsTokens reports whether token events are emitted in every step of a sequence.
func (c *Config) reportsTokens(seq *sequence) bool {
	return !c.OmitIntermediateTokens || (c.KeepOnlineTokens && !seq.batch())
}
