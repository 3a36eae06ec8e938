package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// drainTimeConstant is the time constant of the drain rate estimate.
	drainTimeConstant = 5 * time.Second
	// minimumRetryAfter and maximumRetryAfter bound the result of RetryAfter.
	minimumRetryAfter = 100 * time.Millisecond
	maximumRetryAfter = 10 * time.Second
)

// grant is a granted job that no report of its shard includes yet.
type grant struct {
	shard  uint32
	tokens uint64
	// sequence orders the grant among the owner's grants and polls.
	sequence uint64
}

// shardReport is the newest report of one shard.
type shardReport struct {
	Report
	// sequence is that of the poll that got the report; zero before the first.
	sequence uint64
}

// Counter counts the tokens of a route for the owner in one term. It is not safe for concurrent
// use.
type Counter struct {
	sequence uint64
	shards   []shardReport
	grants   map[string]grant
	// polled is when the last poll began.
	polled time.Duration
	// drained is the exponentially decayed sum of the drained tokens as of drainedAt.
	drained   float64
	drainedAt time.Duration
}

// NewCounter returns a counter for a number of shards, none of which has reported.
func NewCounter(shards int) *Counter {
	return &Counter{shards: make([]shardReport, shards), grants: make(map[string]grant), polled: math.MinInt64 / 2}
}

// Poll identifies a poll of all shards.
type Poll struct{ sequence uint64 }

// BeginPoll starts a poll. All shards must be asked after it.
func (c *Counter) BeginPoll(now time.Duration) Poll {
	c.sequence++
	c.polled = now
	return Poll{sequence: c.sequence}
}

// PollAge returns the time since the last poll began.
func (c *Counter) PollAge(now time.Duration) time.Duration { return now - c.polled }

// RecordReport records the report of a shard for a poll, unless a report for a later poll is known.
// Grants for jobs of the shard are dropped, except those made after the poll began and those for
// pending jobs, which the report may not include.
func (c *Counter) RecordReport(poll Poll, shard uint32, report Report, now time.Duration) {
	if int(shard) >= len(c.shards) {
		return
	}
	current := &c.shards[shard]
	if poll.sequence <= current.sequence {
		return
	}
	first := current.sequence == 0
	before := c.shardTotal(shard)
	*current = shardReport{Report: report, sequence: poll.sequence}
	for job, each := range c.grants {
		covered := each.shard == shard && each.sequence < poll.sequence && !slices.Contains(report.pending, job)
		if covered {
			delete(c.grants, job)
		}
	}
	if after := c.shardTotal(shard); !first && after < before {
		c.recordDrain(before-after, now)
	}
}

// shardTotal returns the counted tokens of one shard.
func (c *Counter) shardTotal(shard uint32) uint64 {
	sum := c.shards[shard].waiting
	for _, each := range c.grants {
		if each.shard == shard {
			sum += each.tokens
		}
	}
	return sum
}

// Waiting returns the counted tokens of all shards.
func (c *Counter) Waiting() uint64 {
	sum := uint64(0)
	for _, each := range c.shards {
		sum += each.waiting
	}
	for _, each := range c.grants {
		sum += each.tokens
	}
	return sum
}

// AllShardsReported reports whether all shards have reported.
func (c *Counter) AllShardsReported() bool {
	return !slices.ContainsFunc(c.shards, func(each shardReport) bool { return each.sequence == 0 })
}

// Reserve decides on a request with the given limit and counts the tokens if it grants them. A
// repeated request for a granted job is granted.
func (c *Counter) Reserve(request Request, limit uint64) Decision {
	if !c.AllShardsReported() || int(request.shard) >= len(c.shards) {
		return Unknown
	}
	current, repeated := c.grants[request.job]
	// The subtractions avoid an overflow due to large values from callers.
	counted := c.Waiting() - current.tokens
	if !repeated && (request.tokens > limit || counted > limit-request.tokens) {
		return Full
	}
	c.sequence++
	c.grants[request.job] = grant{shard: request.shard, tokens: max(current.tokens, request.tokens), sequence: c.sequence}
	return Granted
}

// RetryAfter estimates, from the drain rate, when a refused request will fit below the limit.
func (c *Counter) RetryAfter(request Request, limit uint64, now time.Duration) time.Duration {
	rate := c.DrainRate(now)
	over := float64(c.Waiting()) + float64(request.tokens) - float64(limit)
	if rate <= 0 {
		return maximumRetryAfter
	}
	wait := time.Duration(min(over/rate, maximumRetryAfter.Seconds()) * float64(time.Second))
	return min(maximumRetryAfter, max(minimumRetryAfter, wait))
}

// DrainRate returns how many tokens per second drained recently.
func (c *Counter) DrainRate(now time.Duration) float64 {
	return c.drained * math.Exp(-float64(now-c.drainedAt)/float64(drainTimeConstant)) / drainTimeConstant.Seconds()
}

func (c *Counter) recordDrain(tokens uint64, now time.Duration) {
	c.drained = c.drained*math.Exp(-float64(now-c.drainedAt)/float64(drainTimeConstant)) + float64(tokens)
	c.drainedAt = now
}
