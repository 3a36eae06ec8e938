package replica

import (
	"context"
	"sync/atomic"

	"rockwind.example/rockwind/internal/fault"
)

// Phases of a request. Only one side can move it out of requestQueued, so a caller
// that stops waiting knows whether the owner has started it.
const (
	requestQueued int32 = iota
	requestStarted
	requestAbandoned
)

// request is a request from a caller to the owner goroutine of a group.
type request struct {
	phase atomic.Int32
	// finished receives the answer, once.
	finished chan answer
}

// answer is the result of a request.
type answer struct {
	result any
	err    error
}

func newRequest() request {
	return request{finished: make(chan answer, 1)}
}

// start marks the request as started. It returns false if the caller abandoned it.
func (r *request) start() bool {
	return r.phase.CompareAndSwap(requestQueued, requestStarted)
}

// abandon marks the request as abandoned. It returns false if the owner has
// started it.
func (r *request) abandon() bool {
	return r.phase.CompareAndSwap(requestQueued, requestAbandoned)
}

func (r *request) finish(result any, err error) {
	r.finished <- answer{result: result, err: err}
}

// proposal is a command to be appended to the log.
type proposal struct {
	request
	command []byte
	term    uint64
}

// read is a read of the state.
type read struct {
	request
	view func()
	// local reads the locally applied state, which may be stale.
	local bool
}

// task is a function to run on the owner goroutine.
type task struct {
	request
	run func() error
}

// outcomeUnknown returns the fault of a proposal that may still be committed.
func outcomeUnknown(reason string) error {
	return fault.New(fault.OutcomeUnknown, "the command may be committed or not: "+reason,
		"repeat it only if it has the same effect when it is executed twice, or read the state first")
}

// unavailable returns the fault of a request that had no effect.
func unavailable(reason string) error {
	return fault.New(fault.Unavailable, reason, "try again, at another control machine too")
}

func contextReason(ctx context.Context) string {
	return "the caller stopped waiting (" + context.Cause(ctx).Error() + ")"
}
