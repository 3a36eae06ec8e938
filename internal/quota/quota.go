// Package quota limits the number of waiting tokens per route, summed over the shards that store
// its jobs. The leader of the shard named by OwnerOf is the owner of a route: it counts the tokens
// of the route. The leader of a job's shard requests the job's tokens from the owner before it
// proposes the job to its log.
//
// Counter is used by the owner and Intake by the leader of a shard. Both hold the state of one term
// and are not persisted. A new owner grants nothing until all shards have reported to it, and a
// shard that has reported to it refuses the grants of earlier owners.
//
// Invariant: the owner counts at least the tokens that the shards have accepted and those that are
// granted but not yet in their logs, so that the sum never exceeds the limit.
//
// The invariant requires the callers to ensure that
//   - an owner proves that it leads its shard before it decides on a request;
//   - the leader of a shard proves that it leads when it reports, after calling Intake.Fence and
//     Intake.Pending;
//   - the leader of a shard proposes a granted job in the term in which it requested the tokens.
//
// Times are durations since an arbitrary origin.
package quota

import "github.com/cespare/xxhash/v2"

// AccountKey returns the name under which the tokens of a tenant on a route are counted, or those
// of all callers if the site has no tenants. Neither argument may contain a space.
func AccountKey(route, tenant string) string {
	if tenant == "" {
		return route
	}
	return route + " " + tenant
}

// OwnerOf returns the shard whose leader owns a route or another account.
func OwnerOf(route string, shards int) uint32 {
	if shards <= 1 {
		return 0
	}
	return uint32(xxhash.Sum64String(route) % uint64(shards))
}

// Request is a request for the tokens of a job.
type Request struct {
	job    string
	shard  uint32
	tokens uint64
}

// NewRequest returns a request by the leader of a shard for one of its jobs.
func NewRequest(job string, shard uint32, tokens uint64) Request {
	return Request{job: job, shard: shard, tokens: tokens}
}

// Job returns the identifier of the job.
func (r Request) Job() string { return r.job }

// Tokens returns the total number of tokens of the job's items.
func (r Request) Tokens() uint64 { return r.tokens }

// Report is what the leader of a shard reports about a route.
type Report struct {
	waiting uint64
	pending []string
}

// NewReport returns a report. waiting is the number of tokens of accepted jobs and of granted jobs
// that are not yet in the log, and pending lists the jobs whose requests are in progress.
func NewReport(waiting uint64, pending []string) Report {
	return Report{waiting: waiting, pending: pending}
}

// Waiting returns the number of waiting tokens on the shard.
func (r Report) Waiting() uint64 { return r.waiting }

// PendingJobs returns the jobs whose requests are in progress.
func (r Report) PendingJobs() []string { return r.pending }

// Decision is the answer to a request.
type Decision int

const (
	// Unknown: not all shards have reported.
	Unknown Decision = iota
	// Granted: the job may use the tokens.
	Granted
	// Full: the tokens would exceed the limit.
	Full
)

func (d Decision) String() string {
	switch d {
	case Granted:
		return "granted"
	case Full:
		return "full"
	}
	return "unknown"
}
