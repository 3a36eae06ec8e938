package engine

import "time"

// Request is one inference request.
type Request struct {
	// ID identifies the request in calls such as Resume and Cancel.
	ID string
	// Tag is an opaque value that is returned in events.
	Tag uint64
	// Payload is an opaque value that is returned by Resume.
	Payload any
	// Model is "model", "model@version" or "model:adapter".
	Model string
	// Priority determines the scheduling order; lower values run first.
	Priority int
	// BatchTokenBudget limits the batch tokens of a step while online requests
	// are running; zero means no limit. It is ignored on online requests.
	BatchTokenBudget int
	// PromptTokens is the length of the prompt in tokens, at least one.
	PromptTokens int
	// MaxTokens is the exact number of output tokens, at least one.
	MaxTokens int
	// Blocks are the chain hashes of the prompt's complete blocks.
	Blocks []uint64
}

// Refusal is the reason why a request was not accepted. A refused request does not run.
type Refusal string

const (
	// RefusalNone: the request was accepted.
	RefusalNone Refusal = ""
	// RefusalInvalid: the request has no ID, or MaxTokens is below one.
	RefusalInvalid Refusal = "invalid"
	// RefusalDuplicate: a request with the same ID exists.
	RefusalDuplicate Refusal = "duplicate_id"
	// RefusalTooLong: prompt and output exceed the KV memory.
	RefusalTooLong Refusal = "too_long"
	// RefusalQueueFull: the batch and the waiting queue are full.
	RefusalQueueFull Refusal = "queue_full"
	// RefusalNotLoaded: the model, version or adapter is not loaded.
	RefusalNotLoaded Refusal = "not_loaded"
	// RefusalRole: the engine's role excludes the request's priority.
	RefusalRole Refusal = "role"
	// RefusalDraining: the engine is draining.
	RefusalDraining Refusal = "draining"
	// RefusalFault: an injected FaultRefuse.
	RefusalFault Refusal = "fault"
	// RefusalDead: the engine is down; over HTTP the connection is closed instead.
	RefusalDead Refusal = "dead"
)

// EventKind is the type of an event.
type EventKind uint8

// Each accepted request ends with exactly one of EventFinished, EventCancelled,
// EventExpired and EventLost.
const (
	// EventStarted: the request entered the batch for the first time.
	EventStarted EventKind = iota + 1
	// EventTokens: Count tokens were produced; Sequence is the number of the last one.
	EventTokens
	// EventFinished: all tokens were produced; Sequence is their total.
	EventFinished
	// EventPreempted: the request was preempted and returned to the waiting queue.
	EventPreempted
	// EventCancelled: the request was cancelled by Cancel.
	EventCancelled
	// EventExpired: the request was without a reader for the retention time.
	EventExpired
	// EventLost: the request was lost when the engine went down.
	EventLost
	// EventTruncated: a fault broke the stream; the request continues without a
	// reader and can be resumed.
	EventTruncated
	// EventLoaded: a load completed; ID is the name of the model or adapter.
	EventLoaded
)

// IsTerminal reports whether an event of this kind ends its request.
func (k EventKind) IsTerminal() bool {
	switch k {
	case EventFinished, EventCancelled, EventExpired, EventLost:
		return true
	default:
		return false
	}
}

// Event is something that happened in the engine.
type Event struct {
	Kind EventKind
	// ID and Tag are copied from the request.
	ID  string
	Tag uint64
	// At is the time of the event.
	At time.Duration
	// Sequence is the number of the last token produced, starting at 1.
	Sequence int
	// Count is the number of new tokens in this event.
	Count int
}
