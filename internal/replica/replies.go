package replica

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// replyWait bounds how long a call that carries heartbeats alone waits for the replies to them.
// They take some hundred microseconds; an owner that is busy for longer replies by a call of its own,
// and what the caller has for this machine meanwhile waits no longer than a sync of a disk.
const replyWait = 2 * time.Millisecond

// gathering is the replies to the heartbeats of one call, which go back with its answer: a group
// that does nothing costs each pair of machines one call an interval of heartbeats, not two. The
// transport's mutex guards it.
type gathering struct {
	wanted  int
	replies []*rockwindpb.GroupMessage
	// whole is closed when there are as many as wanted.
	whole chan struct{}
}

// gather begins to keep the replies to a call's heartbeats for its answer. It returns nil where the
// call carries anything else, which must not wait, or where the caller does not take them.
func (t *transport) gather(from route, request *rockwindpb.SendRequest) *gathering {
	if !request.GetTakesReplies() || !t.host.options.Allow(t.host.options.Machine, from.machine) {
		return nil
	}
	created := &gathering{whole: make(chan struct{})}
	for _, message := range request.GetMessages() {
		switch message.GetMessage().GetKind() {
		case rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT:
			created.wanted++
		case rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		default:
			return nil
		}
	}
	if created.wanted == 0 {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.gatherings[from] = created
	return created
}

// answers keeps a message for the answer to a call, and tells whether it did.
func (t *transport) answers(to route, message *rockwindpb.GroupMessage) bool {
	if message.GetMessage().GetKind() != rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	open := t.gatherings[to]
	if open == nil {
		return false
	}
	open.replies = append(open.replies, message)
	if len(open.replies) == open.wanted {
		close(open.whole)
		delete(t.gatherings, to)
	}
	return true
}

// gathered waits for the replies, and returns those that there are; nil has none.
func (t *transport) gathered(ctx context.Context, from route, awaited *gathering) []*rockwindpb.GroupMessage {
	if awaited == nil {
		return nil
	}
	limit := time.NewTimer(replyWait)
	defer limit.Stop()
	select {
	case <-awaited.whole:
	case <-limit.C:
	case <-ctx.Done():
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.gatherings[from] == awaited {
		delete(t.gatherings, from)
	}
	return awaited.replies
}
