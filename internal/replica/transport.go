package replica

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	dialTimeout           = 2 * time.Second
	idleConnections       = 8
	idleConnectionTimeout = 2 * time.Minute
	// sendTimeout bounds one call, so that a link that is cut in silence does
	// not hold up what is sent after it is whole again.
	sendTimeout = time.Second
	// peerQueue is how many messages may wait for a machine; more are dropped.
	peerQueue = 8192
	// sendBatchBytes bounds the entry data in one call.
	sendBatchBytes = 4 << 20
	// heartbeatLinger is how long a call that would carry heartbeats alone waits
	// for those of the other groups.
	heartbeatLinger = time.Millisecond
	scheme          = "http://"
	secureScheme    = "https://"
)

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	}
}

// route says where a member can be reached. The zero value is unknown.
type route struct {
	machine string
	address string
}

// transport carries messages to the other machines: all groups' messages to
// one machine share its calls.
type transport struct {
	host  *Host
	mutex sync.Mutex
	peers map[route]*peer
	heard map[uint64]route
	// gatherings hold the replies that go back with the answer to a call, by the caller.
	gatherings map[route]*gathering
}

// peer is the way to one machine.
type peer struct {
	host   *Host
	route  route
	client rockwindpb.ReplicaService
	queue  chan *rockwindpb.GroupMessage
}

func newTransportFor(host *Host) *transport {
	return &transport{host: host, peers: map[route]*peer{}, heard: map[uint64]route{}, gatherings: map[route]*gathering{}}
}

// learn notes from where a member sends, for replies to members that are not
// in the membership yet.
func (t *transport) learn(id uint64, from route) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.heard[id] = from
}

func (t *transport) heardFrom(id uint64) route {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.heard[id]
}

// send queues a message and never blocks.
func (t *transport) send(to route, group uint32, message *rockwindpb.Message) {
	if to.address == "" {
		return
	}
	sent := &rockwindpb.GroupMessage{Group: group, Message: message}
	if t.answers(to, sent) {
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
		client: t.host.clientOf(to.address),
		queue:  make(chan *rockwindpb.GroupMessage, peerQueue),
	}
	t.peers[to] = p
	t.host.spawn(p.run)
	return p
}

// run sends batches, one call at a time: what gathers meanwhile goes together.
func (p *peer) run() error {
	for {
		select {
		case <-p.host.ctx.Done():
			return nil
		case first := <-p.queue:
			p.sendBatch(p.gather(first))
		}
	}
}

func (p *peer) gather(first *rockwindpb.GroupMessage) []*rockwindpb.GroupMessage {
	batch := []*rockwindpb.GroupMessage{first}
	size, urgent := messageSize(first), !isHeartbeat(first)
	if !urgent {
		p.linger()
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

func (p *peer) linger() {
	select {
	case <-p.host.ctx.Done():
	case <-time.After(heartbeatLinger):
	}
}

func isHeartbeat(message *rockwindpb.GroupMessage) bool {
	switch message.GetMessage().GetKind() {
	case rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT, rockwindpb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		return true
	}
	return false
}

// pieceSize is what a piece takes beside what it tells literally, in bytes: a reference.
const pieceSize = 16

// messageSize is about how many bytes the entries of a message take on the way.
func messageSize(message *rockwindpb.GroupMessage) int {
	size := 0
	for _, entry := range message.GetMessage().GetEntries() {
		size += len(entry.GetData())
	}
	for _, entry := range message.GetMessage().GetShortEntries() {
		for _, piece := range entry.GetPieces() {
			size += pieceSize + len(piece.GetLiteral())
		}
	}
	return size
}

func (p *peer) sendBatch(batch []*rockwindpb.GroupMessage) {
	if !p.host.options.Allow(p.host.options.Machine, p.route.machine) {
		p.unreachable(batch)
		return
	}
	ctx, cancel := context.WithTimeout(p.host.ctx, sendTimeout)
	defer cancel()
	response, err := p.client.Send(ctx, &rockwindpb.SendRequest{
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
	if err := p.host.take(p.host.clusterID(), p.route, response.GetReplies()); err != nil {
		log.WithError(err).WithField("machine", p.route.machine).Debug("replies to heartbeats are not taken")
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
