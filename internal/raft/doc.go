// Package raft is the consensus core of a replicated group: a pure state
// machine that holds no clock, does no I/O and starts no goroutine. It takes
// ticks, messages and proposals, and returns in Ready what the caller must
// store, send and apply. Given the same calls and the same Config.Random it
// always does the same.
//
// A caller owns a Node on one goroutine and repeats:
//
//  1. Tick at a fixed interval, Step for each message received, Propose,
//     ReadIndex and so on for each request.
//  2. While HasReady: take ready := Ready().
//  3. Send ready.MessagesBeforeSync at any time from now on.
//  4. Install ready.Snapshot, append ready.Entries, store ready.HardState, in
//     this order, and sync them if ready.MustSync.
//  5. Only then send ready.Messages.
//  6. Apply ready.CommittedEntries and answer ready.ReadStates once their index
//     is applied.
//  7. Call Advance(ready). Steps 3 to 6 may run on other goroutines while the
//     owner goes on with step 1; there is at most one Ready between Ready and
//     Advance, and what arrives meanwhile goes into the next one as a batch.
//
// All messages wait for the Ready cycle, heartbeats too, so a leader whose disk
// hangs stops sending heartbeats and loses its leadership.
//
// The id of a member is the identity of its disk. A machine that lost its disk
// must come back as another member with a new id; the core is not safe
// otherwise.
package raft
