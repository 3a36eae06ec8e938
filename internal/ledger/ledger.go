// Package ledger implements the replicated state machine of a job shard: jobs, their
// items, the leases under which gateways run items, references to results, metadata of
// uploaded files and idempotency records. It is deterministic: commands carry the
// time, it does no I/O, and replicas that apply the same commands have the same state.
// It is not safe for concurrent use; only the goroutine of the shard's replica calls it.
package ledger

import (
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// MaxItems is the maximum number of items of a job.
	MaxItems = 1 << 20
	// MaxLeaseItems is the maximum number of items of a lease.
	MaxLeaseItems = 1024
	// DefaultTries is the maximum number of tries per item if the job sets none.
	DefaultTries = 3
	// DefaultLeaseMilliseconds is the lease duration if the request sets none.
	DefaultLeaseMilliseconds = 30_000
	// DefaultStartedTimeoutMilliseconds is how long an idempotency record may stay
	// started before its outcome is considered unknown.
	DefaultStartedTimeoutMilliseconds = 10 * 60_000
)

// earlierDeadline reports whether left is served before right: jobs are ordered by
// deadline, then by time of acceptance, and jobs without a deadline come last. The
// order must be the same on all replicas, so it depends on nothing but the two jobs.
func earlierDeadline(left, right *rockwindpb.Job) bool {
	if left.DeadlineUnixMs != right.DeadlineUnixMs {
		if left.DeadlineUnixMs == 0 || right.DeadlineUnixMs == 0 {
			return right.DeadlineUnixMs == 0
		}
		return left.DeadlineUnixMs < right.DeadlineUnixMs
	}
	return left.AcceptedUnixMs < right.AcceptedUnixMs
}

// Ledger is the state of one job shard. It implements replica.StateMachine.
type Ledger struct {
	shard   uint32
	defects defects
	state
}

// state is the content of a snapshot and the indexes over it.
type state struct {
	// fence is the fencing token of the last lease granted.
	fence uint64
	// lastGroup is the group of the last lease granted.
	lastGroup string
	jobs      map[string]*job
	files     map[string]*storedFile
	records   map[recordKey]*record

	// Indexes, rebuilt by Restore. fileUsers counts the jobs that use a file.
	jobsByClientKey map[clientKey]*job
	waiting         waitingJobs
	fileUsers       map[string]int
	leaseExpiries   dueQueue[leaseKey]
	endedJobs       dueQueue[string]
	fileRetention   dueQueue[string]
	startedRecords  dueQueue[recordKey]
	endedRecords    dueQueue[recordKey]
}

// defects are faults that tests inject to verify that the test oracle detects them.
type defects struct {
	// skipFenceCheck accepts reports without a current lease.
	skipFenceCheck bool
	// skipTryCount does not count tries of items that are to be retried.
	skipTryCount bool
	// skipCancelCheck accepts reports after a cancellation.
	skipCancelCheck bool
	// grantRecordTwice grants a started request to a second owner.
	grantRecordTwice bool
	// freeTimedOutKey releases the idempotency key of a request that timed out.
	freeTimedOutKey bool
}

// clientKey is the idempotency key of a tenant's job submission.
type clientKey struct {
	tenant string
	key    string
}

// New returns an empty ledger for the given shard.
func New(shard uint32) *Ledger {
	return &Ledger{shard: shard, state: newState()}
}

func newState() state {
	return state{
		jobs:            map[string]*job{},
		files:           map[string]*storedFile{},
		records:         map[recordKey]*record{},
		jobsByClientKey: map[clientKey]*job{},
		waiting:         waitingJobs{},
		fileUsers:       map[string]int{},
		leaseExpiries:   dueQueue[leaseKey]{less: leaseKey.less},
		endedJobs:       dueQueue[string]{less: lessString},
		fileRetention:   dueQueue[string]{less: lessString},
		startedRecords:  dueQueue[recordKey]{less: recordKey.less},
		endedRecords:    dueQueue[recordKey]{less: recordKey.less},
	}
}

func lessString(left, right string) bool {
	return left < right
}

// Apply executes one encoded rockwindpb.JobCommand. It returns the matching response
// message, or a *fault.Fault if the command was rejected without a change of the
// state. Responses share no memory with the state.
func (l *Ledger) Apply(_ uint64, command []byte) any {
	decoded := &rockwindpb.JobCommand{}
	if err := proto.Unmarshal(command, decoded); err != nil {
		return fault.New(fault.Corrupt, "the job command cannot be decoded: "+err.Error(),
			"run the same release on all control machines")
	}
	return l.apply(decoded)
}

func (l *Ledger) apply(command *rockwindpb.JobCommand) any {
	now := command.NowUnixMs
	switch c := command.Command.(type) {
	case *rockwindpb.JobCommand_Submit:
		return result(l.submit(now, c.Submit))
	case *rockwindpb.JobCommand_Cancel:
		return result(l.cancel(now, c.Cancel))
	case *rockwindpb.JobCommand_Acquire:
		return result(l.acquire(now, c.Acquire))
	case *rockwindpb.JobCommand_Heartbeat:
		return result(l.heartbeat(now, c.Heartbeat))
	case *rockwindpb.JobCommand_Complete:
		return result(l.complete(now, c.Complete))
	case *rockwindpb.JobCommand_Expire:
		return result(l.expire(now, c.Expire))
	case *rockwindpb.JobCommand_BeginRequest:
		return result(l.begin(now, c.BeginRequest))
	case *rockwindpb.JobCommand_FinishRequest:
		return result(l.finish(now, c.FinishRequest))
	case *rockwindpb.JobCommand_PutFile:
		return result(l.putFile(now, c.PutFile))
	case *rockwindpb.JobCommand_Seal:
		return result(l.seal(c.Seal))
	default:
		return fault.New(fault.Corrupt, "the job command is empty or has an unknown type",
			"run the same release on all control machines")
	}
}

// result returns the fault if there is one, and the response otherwise. It avoids a
// typed nil in the returned interface.
func result[M any](response *M, failure *fault.Fault) any {
	if failure != nil {
		return failure
	}
	return response
}
