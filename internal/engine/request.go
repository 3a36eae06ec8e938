package engine

import "time"

// Request is one request for tokens.
type Request struct {
	// ID is the identity of the request; resume and cancel name it.
	ID string
	// Tag is handed back in events and not looked at.
	Tag uint64
	// Payload is handed back by Resume and not looked at.
	Payload any
	// Model is "model", "model@version" or "model:adapter".
	Model string
	// Priority decides who runs first; lower first.
	Priority int
	// BatchTokenBudget bounds the batch tokens of a step while online requests
	// are present; zero means no bound. It is looked at for batch requests only.
	BatchTokenBudget int
	// PromptTokens is the length of the prompt in tokens, at least one.
	PromptTokens int
	// MaxTokens is the number of tokens to produce, at least one.
	MaxTokens int
	// Blocks are the chain hashes of the prompt's whole blocks.
	Blocks []uint64
}

// Refusal tells why a request was not accepted. A refused request did not run.
type Refusal string

// The refusals.
const (
	// RefusalNone is the refusal of an accepted request.
	RefusalNone Refusal = ""
	// RefusalInvalid: the request has no identity or no tokens to produce.
	RefusalInvalid Refusal = "invalid"
	// RefusalDuplicate: a request with the same identity is still known.
	RefusalDuplicate Refusal = "duplicate_id"
	// RefusalTooLong: prompt and answer do not fit the memory.
	RefusalTooLong Refusal = "too_long"
	// RefusalQueueFull: too many requests wait.
	RefusalQueueFull Refusal = "queue_full"
	// RefusalNotLoaded: the model, version or adapter is not loaded.
	RefusalNotLoaded Refusal = "not_loaded"
	// RefusalRole: the engine's role excludes the request's kind.
	RefusalRole Refusal = "role"
	// RefusalDraining: the engine takes no new requests.
	RefusalDraining Refusal = "draining"
	// RefusalFault: a fault makes the engine refuse.
	RefusalFault Refusal = "fault"
	// RefusalDead: the engine is dead; in a process nobody would answer.
	RefusalDead Refusal = "dead"
)

// EventKind is the type of an event.
type EventKind uint8

// The kinds of event. Each accepted request gets exactly one of EventFinished,
// EventCancelled, EventExpired and EventLost.
const (
	// EventStarted: the request got a place for the first time.
	EventStarted EventKind = iota + 1
	// EventTokens: Count tokens were produced, the last one is number Sequence.
	EventTokens
	// EventFinished: all tokens were produced; Sequence is their number.
	EventFinished
	// EventPreempted: the request lost its place and waits again.
	EventPreempted
	// EventCancelled: the request was cancelled by Cancel.
	EventCancelled
	// EventExpired: the request had no reader for the retention time.
	EventExpired
	// EventLost: the engine died with the request.
	EventLost
	// EventTruncated: a fault cut the stream; the request goes on without a
	// reader and may be resumed.
	EventTruncated
	// EventLoaded: a loading order is done; ID names what was loaded.
	EventLoaded
)

// IsTerminal tells whether a request is over after an event of this kind.
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
	// ID and Tag are those of the request.
	ID  string
	Tag uint64
	// At is when it happened.
	At time.Duration
	// Sequence is the number of the last token produced, from 1.
	Sequence int
	// Count is the number of tokens that this event brings.
	Count int
}
