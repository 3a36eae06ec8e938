// Package raft implements the Raft consensus algorithm for a replicated group as a pure
// state machine: it has no clock, does no I/O and starts no goroutine. It takes ticks,
// messages and proposals, and returns in Ready what the caller must store, send and
// apply. The same calls with the same Config.Random always have the same result.
//
// A caller owns a Node on one goroutine and repeats:
//
//  1. Call Tick at a fixed interval, Step for each received message, and Propose,
//     ReadIndex and so on for each request.
//  2. While HasReady returns true, call ready := Ready().
//  3. Send ready.MessagesBeforeSync at any time from now on.
//  4. Install ready.Snapshot, append ready.Entries and store ready.HardState, in
//     this order, and sync them if ready.MustSync is set.
//  5. Only then send ready.Messages.
//  6. Apply ready.CommittedEntries, and answer ready.ReadStates once their index
//     is applied.
//  7. Call Advance(ready). Steps 3 to 6 may run on other goroutines while the
//     owner continues with step 1. At most one Ready is outstanding between Ready
//     and Advance; input in the meantime is batched into the next one.
//
// All messages wait for the Ready cycle, including heartbeats, so a leader whose disk
// hangs stops sending heartbeats and loses leadership.
//
// The ID of a member is the identity of its disk. A machine that lost its disk must
// rejoin as a different member with a new ID; otherwise the algorithm is not safe.
package raft
