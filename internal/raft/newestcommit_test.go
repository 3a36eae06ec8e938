package raft

import (
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// TestNewestCommitIsThatOfTheLeader guards against a replica that lags but takes its own commit index
// for the newest, because the commit index of a heartbeat is limited to the log of its receiver.
func TestNewestCommitIsThatOfTheLeader(t *testing.T) {
	n, other := restartedNode(t)
	held := n.log.committed
	receive := func(message *rockwindpb.Message, want uint64) {
		t.Helper()
		before := n.Status().LeaderMessages
		message.From = other[0]
		step(t, n, message)
		status := n.Status()
		if status.NewestCommit != want || status.Commit != held || status.LeaderMessages != before+1 {
			t.Errorf("after %v, NewestCommit is %d, want %d; Commit %d, LeaderMessages %d after %d", message, status.NewestCommit, want, status.Commit, status.LeaderMessages, before)
		}
	}
	const heartbeat, appendEntries = rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT, rockwindpb.MessageKind_MESSAGE_KIND_APPEND
	if got := n.Status().NewestCommit; got != 0 {
		t.Errorf("NewestCommit is %d before a message of a leader", got)
	}
	term := n.term
	receive(&rockwindpb.Message{Kind: heartbeat, Term: term, Commit: held, LeaderCommit: held + 5}, held+5)
	receive(&rockwindpb.Message{Kind: heartbeat, Term: term, Commit: held, LeaderCommit: held + 4}, held+5)
	receive(&rockwindpb.Message{Kind: appendEntries, Term: term, Index: held + 8, LogTerm: term, Commit: held + 7}, held+7)
	receive(&rockwindpb.Message{Kind: heartbeat, Term: term + 1, Commit: held, LeaderCommit: held + 2}, held+2)
	// A leader of an earlier version does not set LeaderCommit, so the newest commit index is unknown.
	receive(&rockwindpb.Message{Kind: heartbeat, Term: term + 2, Commit: held}, 0)
}
