package replica

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// replyWait bounds how long a call that carries only heartbeats waits for the
// replies. They normally take a few hundred microseconds. An owner that is busy for
// longer replies in a separate call, and the caller's next messages to this machine
// are delayed by no more than a disk sync.
const replyWait = 2 * time.Millisecond

// replyCollector collects the replies to the heartbeats of one call, which are
// returned in its response. This halves the calls between two machines while their
// groups are idle. The transport's mutex guards it.
type replyCollector struct {
	expected int
	replies  []*rockwindpb.GroupMessage
	// complete is closed when all expected replies have been collected.
	complete chan struct{}
}

// collectReplies starts collecting the replies to the heartbeats of a call. It
// returns nil if the call carries anything else, which must not be delayed, or if
// the caller does not accept replies in the response.
func (t *transport) collectReplies(from route, request *rockwindpb.SendRequest) *replyCollector {
	if !request.GetTakesReplies() || !t.host.options.Allow(t.host.options.Machine, from.machine) {
		return nil
	}
	collector := &replyCollector{complete: make(chan struct{})}
	for _, message := range request.GetMessages() {
		switch message.GetMessage().GetKind() {
		case rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT:
			collector.expected++
		case rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		default:
			return nil
		}
	}
	if collector.expected == 0 {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.replyCollectors[from] = collector
	return collector
}

// collectReply adds a heartbeat reply to the collector for its recipient, if there
// is one, and reports whether it did.
func (t *transport) collectReply(to route, message *rockwindpb.GroupMessage) bool {
	if message.GetMessage().GetKind() != rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	collector := t.replyCollectors[to]
	if collector == nil {
		return false
	}
	collector.replies = append(collector.replies, message)
	if len(collector.replies) == collector.expected {
		close(collector.complete)
		delete(t.replyCollectors, to)
	}
	return true
}

// awaitReplies waits for the replies, for at most replyWait, and returns those
// collected. A nil collector has none.
func (t *transport) awaitReplies(ctx context.Context, from route, collector *replyCollector) []*rockwindpb.GroupMessage {
	if collector == nil {
		return nil
	}
	limit := time.NewTimer(replyWait)
	defer limit.Stop()
	select {
	case <-collector.complete:
	case <-limit.C:
	case <-ctx.Done():
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.replyCollectors[from] == collector {
		delete(t.replyCollectors, from)
	}
	return collector.replies
}
