package replica

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	dialTimeout           = 2 * time.Second
	idleConnections       = 8
	idleConnectionTimeout = 2 * time.Minute
	// sendTimeout bounds one call, so that a call over a link that silently drops
	// packets does not delay messages after the link has recovered.
	sendTimeout = time.Second
	// peerQueueSize limits the messages that wait for a machine; more are dropped.
	peerQueueSize = 8192
	// sendBatchBytes limits the entry data in one call.
	sendBatchBytes = 4 << 20
	// largeMessageBytes is the size above which a message is sent in a call of its own, beside those with the
	// heartbeats: a job of 20 MB takes longer to send than an election timeout.
	largeMessageBytes = 1 << 20
	// largeSendTimeout bounds a call with a large message. It suffices for 20 MB at 30 Mbit/s.
	largeSendTimeout = 6 * time.Second
	// heartbeatBatchDelay is how long a call that carries only heartbeats waits for
	// those of other groups.
	heartbeatBatchDelay = time.Millisecond
	scheme              = "http://"
	secureScheme        = "https://"
)

func newHTTPTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	}
}

// route is where a machine can be reached. The zero value means unknown.
type route struct {
	machine string
	address string
}

// transport sends messages to the other machines. Messages of all groups to one
// machine share calls.
type transport struct {
	host          *Host
	mutex         sync.Mutex
	peers         map[route]*peer
	learnedRoutes map[uint64]route
	// replyCollectors holds the open collectors by the route of the caller.
	replyCollectors map[route]*replyCollector
	// largeSend is held during a call with a large message, so that only one of them is encoded at a time.
	largeSend chan struct{}
}

// peer is the message queue to one machine.
type peer struct {
	host   *Host
	route  route
	client rockwindpb.ReplicaService
	queue  chan *rockwindpb.GroupMessage
	// sendingLarge is set while a large message is sent or waits for that.
	sendingLarge atomic.Bool
	contact      contact
}

func newTransport(host *Host) *transport {
	return &transport{host: host, peers: map[route]*peer{}, learnedRoutes: map[uint64]route{}, replyCollectors: map[route]*replyCollector{}, largeSend: make(chan struct{}, 1)}
}

// learnRoute records where a member sends from, for replies to members that are not
// in the membership yet.
func (t *transport) learnRoute(id uint64, from route) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.learnedRoutes[id] = from
}

func (t *transport) learnedRoute(id uint64) route {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.learnedRoutes[id]
}

// send queues a message without blocking. It drops the message if the queue is full.
func (t *transport) send(to route, group uint32, message *rockwindpb.Message) {
	if to.address == "" {
		return
	}
	sent := &rockwindpb.GroupMessage{Group: group, Message: message}
	if t.collectReply(to, sent) {
		return
	}
	p := t.peer(to)
	select {
	case p.queue <- sent:
	default:
		t.host.reportUnreachable(group, message.GetTo())
	}
}

func (t *transport) peer(to route) *peer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if p, found := t.peers[to]; found {
		return p
	}
	p := &peer{
		host:   t.host,
		route:  to,
		client: t.host.clientFor(to.address),
		queue:  make(chan *rockwindpb.GroupMessage, peerQueueSize),
	}
	t.peers[to] = p
	t.host.spawn(p.run)
	return p
}

// run sends batches, one call at a time. Messages that arrive during a call form the
// next batch.
func (p *peer) run() error {
	for {
		select {
		case <-p.host.ctx.Done():
			return nil
		case first := <-p.queue:
			if batch := p.withoutLarge(p.nextBatch(first)); len(batch) > 0 {
				p.sendBatch(batch, sendTimeout, p.sendRecorded)
			}
		}
	}
}

func (p *peer) nextBatch(first *rockwindpb.GroupMessage) []*rockwindpb.GroupMessage {
	batch := []*rockwindpb.GroupMessage{first}
	size, urgent := messageSize(first), !isHeartbeat(first)
	if !urgent {
		p.waitForHeartbeats()
	}
	for size < sendBatchBytes {
		select {
		case next := <-p.queue:
			batch = append(batch, next)
			size += messageSize(next)
		default:
			return batch
		}
	}
	return batch
}

// withoutLarge starts to send the large messages of a batch and returns the others. Only one large message
// to a machine is in progress; the leader sends those that are dropped again.
func (p *peer) withoutLarge(batch []*rockwindpb.GroupMessage) []*rockwindpb.GroupMessage {
	return slices.DeleteFunc(batch, func(message *rockwindpb.GroupMessage) bool {
		if messageSize(message) <= largeMessageBytes {
			return false
		}
		if p.sendingLarge.CompareAndSwap(false, true) {
			p.host.spawn(func() error {
				defer p.sendingLarge.Store(false)
				p.sendLarge(message)
				return nil
			})
		}
		return true
	})
}

func (p *peer) sendLarge(message *rockwindpb.GroupMessage) {
	slot := p.host.transport.largeSend
	select {
	case slot <- struct{}{}:
	case <-p.host.ctx.Done():
		return
	}
	defer func() { <-slot }()
	p.sendBatch([]*rockwindpb.GroupMessage{message}, largeSendTimeout, p.sendInParts)
}

func (p *peer) waitForHeartbeats() {
	select {
	case <-p.host.ctx.Done():
	case <-time.After(heartbeatBatchDelay):
	}
}

func isHeartbeat(message *rockwindpb.GroupMessage) bool {
	switch message.GetMessage().GetKind() {
	case rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT, rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		return true
	}
	return false
}

// referenceBytes is the approximate encoded size of a reference.
const referenceBytes = 16

// messageSize returns the approximate encoded size of a message's entries, in bytes.
func messageSize(message *rockwindpb.GroupMessage) int {
	size := 0
	for _, entry := range message.GetMessage().GetEntries() {
		size += len(entry.GetData())
	}
	for _, entry := range message.GetMessage().GetShortEntries() {
		for _, piece := range entry.GetPieces() {
			size += referenceBytes + len(piece.GetLiteral())
		}
	}
	return size
}

func (p *peer) sendBatch(
	batch []*rockwindpb.GroupMessage, timeout time.Duration,
	send func(context.Context, *rockwindpb.SendRequest) (*rockwindpb.SendResponse, error),
) {
	if !p.host.options.Allow(p.host.options.Machine, p.route.machine) {
		p.unreachable(batch)
		return
	}
	ctx, cancel := context.WithTimeout(p.host.ctx, timeout)
	defer cancel()
	response, err := send(ctx, &rockwindpb.SendRequest{
		ClusterId:    p.host.clusterID(),
		Messages:     batch,
		Machine:      p.host.options.Machine,
		Address:      p.host.options.Address,
		TakesReplies: true,
	})
	if err != nil {
		p.unreachable(batch)
		return
	}
	if err := p.host.deliver(p.host.clusterID(), p.route, response.GetReplies()); err != nil {
		log.WithError(err).WithField("machine", p.route.machine).Debug("heartbeat replies dropped")
	}
}

func (p *peer) unreachable(batch []*rockwindpb.GroupMessage) {
	type member struct {
		group uint32
		id    uint64
	}
	reported := map[member]bool{}
	for _, message := range batch {
		to := member{message.GetGroup(), message.GetMessage().GetTo()}
		if reported[to] {
			continue
		}
		reported[to] = true
		p.host.reportUnreachable(to.group, to.id)
	}
}
