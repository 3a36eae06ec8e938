package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// drainMemory is the time constant of the estimate of what drains.
	drainMemory = 5 * time.Second
	// shortestReturn and longestReturn bound the time to come back that is told.
	shortestReturn = 100 * time.Millisecond
	longestReturn  = 10 * time.Second
)

// grant is a job whose tokens no report of its shard covers yet.
type grant struct {
	shard  uint32
	tokens uint64
	// sequence is the place of the grant among the owner's decisions and polls.
	sequence uint64
}

// shardReport is the newest report of one shard.
type shardReport struct {
	Report
	// sequence is that of the poll that brought it; zero before the first.
	sequence uint64
}

// Counter is what the owner of a route counts in one term. It belongs to one goroutine at
// a time.
type Counter struct {
	sequence uint64
	shards   []shardReport
	grants   map[string]grant
	// polled is when the last poll began.
	polled time.Duration
	// drained is the sum of the tokens that left, each weighted by its age at drainedAt.
	drained   float64
	drainedAt time.Duration
}

// NewCounter returns a count of so many shards, none of which has reported.
func NewCounter(shards int) *Counter {
	return &Counter{shards: make([]shardReport, shards), grants: make(map[string]grant), polled: math.MinInt64 / 2}
}

// Poll is a round of reports.
type Poll struct{ sequence uint64 }

// BeginPoll starts a round of reports. All shards have to be asked after it.
func (c *Counter) BeginPoll(now time.Duration) Poll {
	c.sequence++
	c.polled = now
	return Poll{sequence: c.sequence}
}

// PollAge is how long ago the last round of reports began.
func (c *Counter) PollAge(now time.Duration) time.Duration { return now - c.polled }

// RecordReport takes the report of a shard in a round. Reports of earlier rounds than the one
// held are passed over. A grant is kept beside the report where it is younger than the round,
// or where the shard may not have heard of it.
func (c *Counter) RecordReport(poll Poll, shard uint32, report Report, now time.Duration) {
	if int(shard) >= len(c.shards) {
		return
	}
	held := &c.shards[shard]
	if poll.sequence <= held.sequence {
		return
	}
	first := held.sequence == 0
	before := c.at(shard)
	*held = shardReport{Report: report, sequence: poll.sequence}
	for job, each := range c.grants {
		covered := each.shard == shard && each.sequence < poll.sequence && !slices.Contains(report.asking, job)
		if covered {
			delete(c.grants, job)
		}
	}
	if after := c.at(shard); !first && after < before {
		c.noteDrained(before-after, now)
	}
}

// at is what is counted of one shard.
func (c *Counter) at(shard uint32) uint64 {
	sum := c.shards[shard].waiting
	for _, each := range c.grants {
		if each.shard == shard {
			sum += each.tokens
		}
	}
	return sum
}

// Waiting is how many tokens are counted on all shards.
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

// AllShardsReported tells whether all shards have reported.
func (c *Counter) AllShardsReported() bool {
	return !slices.ContainsFunc(c.shards, func(each shardReport) bool { return each.sequence == 0 })
}

// Reserve decides on a request under the limit, and counts its tokens where it grants
// them. A job that holds a grant keeps it.
func (c *Counter) Reserve(request Request, limit uint64) Decision {
	if !c.AllShardsReported() || int(request.shard) >= len(c.shards) {
		return Unknown
	}
	held, repeated := c.grants[request.job]
	// The subtraction comes first: sums of what callers send could overflow.
	counted := c.Waiting() - held.tokens
	if !repeated && (request.tokens > limit || counted > limit-request.tokens) {
		return Full
	}
	c.sequence++
	c.grants[request.job] = grant{shard: request.shard, tokens: max(held.tokens, request.tokens), sequence: c.sequence}
	return Granted
}

// RetryAfter estimates when a request that did not fit will, by what drained lately.
func (c *Counter) RetryAfter(request Request, limit uint64, now time.Duration) time.Duration {
	rate := c.DrainRate(now)
	over := float64(c.Waiting()) + float64(request.tokens) - float64(limit)
	if rate <= 0 {
		return longestReturn
	}
	wait := time.Duration(min(over/rate, longestReturn.Seconds()) * float64(time.Second))
	return min(longestReturn, max(shortestReturn, wait))
}

// DrainRate is how many tokens left in a second lately.
func (c *Counter) DrainRate(now time.Duration) float64 {
	return c.drained * math.Exp(-float64(now-c.drainedAt)/float64(drainMemory)) / drainMemory.Seconds()
}

func (c *Counter) noteDrained(tokens uint64, now time.Duration) {
	c.drained = c.drained*math.Exp(-float64(now-c.drainedAt)/float64(drainMemory)) + float64(tokens)
	c.drainedAt = now
}
