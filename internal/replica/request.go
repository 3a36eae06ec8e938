package replica

import (
	"context"
	"sync/atomic"

	"rockwind.example/rockwind/internal/fault"
)

// Phases of a request. Exactly one side moves it out of requestQueued, so a
// caller that gives up knows whether the owner has begun.
const (
	requestQueued int32 = iota
	requestTaken
	requestAbandoned
)

// request is what a caller hands to the goroutine that owns a group.
type request struct {
	phase atomic.Int32
	// finished receives the answer, once.
	finished chan answer
}

// answer is the end of a request.
type answer struct {
	result any
	err    error
}

func newRequest() request {
	return request{finished: make(chan answer, 1)}
}

// take begins the request. It fails when the caller gave up.
func (r *request) take() bool {
	return r.phase.CompareAndSwap(requestQueued, requestTaken)
}

// abandon gives the request up. It fails when the owner has begun.
func (r *request) abandon() bool {
	return r.phase.CompareAndSwap(requestQueued, requestAbandoned)
}

func (r *request) finish(result any, err error) {
	r.finished <- answer{result: result, err: err}
}

// proposal is a command on its way into the log.
type proposal struct {
	request
	command []byte
	term    uint64
}

// read is a view of the state, and when it may run.
type read struct {
	request
	view func()
	// local asks for the state as it is here.
	local bool
}

// order is a function that runs on the owner goroutine.
type order struct {
	request
	run func() error
}

// outcomeUnknown is the fault of a proposal that may be committed later.
func outcomeUnknown(reason string) error {
	return fault.New(fault.OutcomeUnknown, "the command may be committed or not: "+reason,
		"repeat it only if it has the same effect when it is executed twice, or read the state first")
}

// notBegun is the fault of a request that had no effect.
func notBegun(reason string) error {
	return fault.New(fault.Unavailable, reason, "try again, at another control machine too")
}

func contextReason(ctx context.Context) string {
	return "the caller stopped waiting (" + context.Cause(ctx).Error() + ")"
}
