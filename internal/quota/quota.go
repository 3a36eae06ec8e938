// Package quota bounds the tokens that wait on a route, summed over the shards that
// keep its jobs. One replica counts for a route: the leader of the shard that OwnerOf
// names. The leader of a job's shard asks it for the job's tokens before it proposes
// the job to its log.
//
// Count is the owner's side and Intake the side of a shard's leader. Both are state of
// one leadership: nothing of them is written to disk. A new owner grants nothing before
// all shards have reported, and a shard that has reported to it takes no grant of an
// earlier owner any more.
//
// Invariant: what the owner counts is at least what the shards have accepted and have
// granted on its way to their logs, so that the sum never exceeds the limit.
//
// The invariant rests on three duties of the callers:
//   - an owner proves that it leads its shard before it decides on a request;
//   - the leader of a shard proves that it leads when it reports, after the report has
//     been begun;
//   - the leader of a shard proposes a granted job in the term in which it asked.
//
// The package is pure: time is an argument, as a duration since an origin of the
// caller's choice.
package quota

import "github.com/cespare/xxhash/v2"

// AccountKey names what is counted for itself: the tokens of a tenant on a route, or those of
// all callers where the site has no tenants. Neither name holds a space.
func AccountKey(route, tenant string) string {
	if tenant == "" {
		return route
	}
	return route + " " + tenant
}

// OwnerOf names the shard whose leader counts for a route or another account.
func OwnerOf(route string, shards int) uint32 {
	if shards <= 1 {
		return 0
	}
	return uint32(xxhash.Sum64String(route) % uint64(shards))
}

// Request asks for the tokens of a job.
type Request struct {
	job    string
	shard  uint32
	tokens uint64
}

// NewRequest returns the request of the leader of a shard for one of its jobs.
func NewRequest(job string, shard uint32, tokens uint64) Request {
	return Request{job: job, shard: shard, tokens: tokens}
}

// Job is the identifier of the job.
func (r Request) Job() string { return r.job }

// Tokens is how many tokens its items have together.
func (r Request) Tokens() uint64 { return r.tokens }

// Report is what the leader of a shard tells of a route.
type Report struct {
	waiting uint64
	asking  []string
}

// NewReport returns a report. Waiting is the tokens of accepted jobs and of those that
// were granted and are on their way to the log, and asking lists the jobs whose requests
// are under way.
func NewReport(waiting uint64, asking []string) Report {
	return Report{waiting: waiting, asking: asking}
}

// Waiting is how many tokens wait on the shard.
func (r Report) Waiting() uint64 { return r.waiting }

// PendingJobs lists the jobs whose requests are under way.
func (r Report) PendingJobs() []string { return r.asking }

// Decision is the answer to a request.
type Decision int

const (
	// Unknown: not all shards have reported yet.
	Unknown Decision = iota
	// Granted: the tokens are the job's.
	Granted
	// Full: the tokens do not fit below the limit.
	Full
)

// String names the decision for logs.
func (d Decision) String() string {
	switch d {
	case Granted:
		return "granted"
	case Full:
		return "full"
	}
	return "unknown"
}
