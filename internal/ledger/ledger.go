// Package ledger is the state machine of a job shard: jobs, their items, the
// leases under which gateways run items, the references of results, uploaded
// files and idempotency records. It is pure: time comes in the commands, it does
// no I/O, and replicas that apply the same commands hold the same state. Only
// the goroutine that owns the shard's replica may call it.
package ledger

import (
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Limits and defaults.
const (
	// MaxItems bounds the items of one job.
	MaxItems = 1 << 20
	// MaxLeaseItems bounds the items of one lease.
	MaxLeaseItems = 1024
	// DefaultTries bounds the starts of an item whose job names no bound.
	DefaultTries = 3
	// DefaultLeaseMilliseconds is the length of a lease that names none.
	DefaultLeaseMilliseconds = 30_000
	// DefaultStartedTimeoutMilliseconds is how long an idempotency record may
	// stay started before its outcome counts as unknown.
	DefaultStartedTimeoutMilliseconds = 10 * 60_000
)

// earlierDeadline orders the jobs of a group by deadline, then by acceptance; jobs
// without a deadline come last. Replicas must agree on it, so that it depends on
// the two jobs only.
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

// state is everything that a snapshot holds, with the indexes over it.
type state struct {
	// fence is the last fence that was granted.
	fence uint64
	// lastGroup is the group that was granted items last.
	lastGroup string
	jobs      map[string]*job
	files     map[string]*storedFile
	records   map[recordKey]*record

	// Indexes, rebuilt by Restore.
	keys       map[clientKey]*job
	waiting    waitingJobs
	fileUse    map[string]int
	leaseDue   dueQueue[leaseKey]
	jobDue     dueQueue[string]
	fileDue    dueQueue[string]
	startedDue dueQueue[recordKey]
	endedDue   dueQueue[recordKey]
}

// defects are faults that tests switch on to prove that the checks see them.
type defects struct {
	// noFence accepts reports without a lease.
	noFence bool
	// unboundedRetry counts no tries.
	unboundedRetry bool
	// cancelUnchecked accepts reports after a cancel.
	cancelUnchecked bool
	// recordGrantedTwice grants a started request to a second owner.
	recordGrantedTwice bool
	// blindRetry frees the key of a request whose owner was given up.
	blindRetry bool
}

// clientKey is a tenant's own name for a job.
type clientKey struct {
	tenant string
	key    string
}

// New returns an empty ledger of the given shard.
func New(shard uint32) *Ledger {
	return &Ledger{shard: shard, state: newState()}
}

func newState() state {
	return state{
		jobs:       map[string]*job{},
		files:      map[string]*storedFile{},
		records:    map[recordKey]*record{},
		keys:       map[clientKey]*job{},
		waiting:    waitingJobs{},
		fileUse:    map[string]int{},
		leaseDue:   dueQueue[leaseKey]{less: leaseKey.less},
		jobDue:     dueQueue[string]{less: lessString},
		fileDue:    dueQueue[string]{less: lessString},
		startedDue: dueQueue[recordKey]{less: recordKey.less},
		endedDue:   dueQueue[recordKey]{less: recordKey.less},
	}
}

func lessString(left, right string) bool {
	return left < right
}

// Apply executes one encoded rockwindpb.JobCommand and returns the response
// message of its kind, or a *fault.Fault that changed nothing. Results share no
// memory with the state.
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
		return fault.New(fault.Corrupt, "the job command is empty or of an unknown kind",
			"run the same release on all control machines")
	}
}

// result turns a response and a fault into the one value that Apply returns.
func result[M any](response *M, refused *fault.Fault) any {
	if refused != nil {
		return refused
	}
	return response
}
