package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
)

var _ Group = (*owner)(nil)

// Propose implements Group.
func (o *owner) Propose(ctx context.Context, command []byte) (any, error) {
	p := &proposal{request: newRequest(), command: command}
	return o.await(ctx, &p.request, p, outcomeUnknown)
}

// Read implements Group.
func (o *owner) Read(ctx context.Context, view func()) error {
	r := &read{request: newRequest(), view: view}
	_, err := o.await(ctx, &r.request, r, nil)
	return err
}

// ReadLocal implements Group.
func (o *owner) ReadLocal(ctx context.Context, view func()) error {
	r := &read{request: newRequest(), view: view, local: true}
	_, err := o.await(ctx, &r.request, r, nil)
	return err
}

// do runs a function on the owner goroutine.
func (o *owner) do(ctx context.Context, run func() error) error {
	submitted := &task{request: newRequest(), run: run}
	_, err := o.await(ctx, &submitted.request, submitted, nil)
	return err
}

// await queues a request for the owner and waits for its answer. If the wait ends
// after the owner has started the request, the result is unknownOutcome's; if that
// is nil, await waits for the answer, which does not take long from there.
func (o *owner) await(ctx context.Context, r *request, queued any, unknownOutcome func(string) error) (any, error) {
	select {
	case o.requests <- queued:
	case <-ctx.Done():
		return nil, unavailable(contextReason(ctx))
	case <-o.stopped:
		return nil, unavailable("this control process stops")
	}
	select {
	case a := <-r.finished:
		return a.result, a.err
	case <-ctx.Done():
		return r.cancel(contextReason(ctx), unknownOutcome)
	case <-o.stopped:
		return r.cancel("this control process stops", unknownOutcome)
	}
}

// cancel ends the wait of a caller: see await.
func (r *request) cancel(reason string, unknownOutcome func(string) error) (any, error) {
	if r.abandon() {
		return nil, unavailable(reason)
	}
	select {
	case a := <-r.finished:
		return a.result, a.err
	default:
	}
	if unknownOutcome == nil {
		a := <-r.finished
		return a.result, a.err
	}
	return nil, unknownOutcome(reason)
}

// handleRequests handles all queued requests, so that their commands share one
// append and their reads one heartbeat round.
func (o *owner) handleRequests(next any) {
	var reads []*read
	for range requestBuffer {
		switch r := next.(type) {
		case *proposal:
			o.propose(r)
		case *read:
			reads = o.beginRead(r, reads)
		case *task:
			if r.start() {
				r.finish(nil, r.run())
			}
		}
		select {
		case next = <-o.requests:
			continue
		default:
		}
		break
	}
	o.requestReadIndex(reads)
}

func (o *owner) propose(p *proposal) {
	if !p.start() {
		return
	}
	if o.host.writer.diskFull.Load() {
		p.finish(nil, fullDisk())
		return
	}
	index, term, err := o.node.Propose(p.command)
	if err != nil {
		p.finish(nil, o.raftFault(err))
		return
	}
	p.term = term
	o.pending[index] = p
}

// raftFault converts an error of the Raft node to a fault.
func (o *owner) raftFault(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return o.notLeader()
	case errors.Is(err, raft.ErrTransferring):
		return fault.New(fault.Unavailable, "leadership is being transferred",
			"try again at the new leader").WithRetryAfter(o.host.options.Tick)
	}
	return err
}

func (o *owner) notLeader() error {
	refused := fault.Newf(fault.NotLeader, "send the request to the leader, or ask again where none is named",
		"this control machine does not lead group %d", o.id)
	if address := o.leaderAddress(o.node.Status()); address != "" {
		refused = refused.WithLeader(address)
	}
	return refused
}

func fullDisk() error {
	return fault.New(fault.Overloaded, "the disk of this control machine is full",
		"free space in its data folder; other machines take over meanwhile").WithRetryAfter(time.Second)
}

// beginRead serves a read if that needs no heartbeat round; otherwise it adds the
// read to reads.
func (o *owner) beginRead(r *read, reads []*read) []*read {
	if r.local {
		o.serve(r)
		return reads
	}
	if o.leaseHolds() && o.applied >= o.node.Status().Commit {
		o.serve(r)
		return reads
	}
	return append(reads, r)
}

// leaseHolds reports whether the lease is valid by ticks and by the clock, so that
// no other replica can lead. The clock is read after the request arrived, so a
// state served from here on was current during the request.
func (o *owner) leaseHolds() bool {
	current := o.leadershipUnderLease(o.node.Status())
	return current != nil && current.end.validAt(o.now())
}

func (o *owner) serve(r *read) {
	if !r.start() {
		return
	}
	r.view()
	r.finish(nil, nil)
}

func (o *owner) requestReadIndex(reads []*read) {
	if len(reads) == 0 {
		return
	}
	o.lastReadContext++
	if err := o.node.ReadIndex(o.lastReadContext); err != nil {
		rejectReads(reads, o.raftFault(err))
		return
	}
	o.unconfirmedReads[o.lastReadContext] = reads
}

func rejectReads(reads []*read, err error) {
	for _, r := range reads {
		if r.start() {
			r.finish(nil, err)
		}
	}
}

// serveReads runs the confirmed reads whose index has been applied.
func (o *owner) serveReads() {
	kept := o.confirmedReads[:0]
	for _, batch := range o.confirmedReads {
		if batch.index > o.applied {
			kept = append(kept, batch)
			continue
		}
		for _, r := range batch.reads {
			o.serve(r)
		}
	}
	o.confirmedReads = kept
}

func (o *owner) failPending(reason string) {
	for index, p := range o.pending {
		p.finish(nil, outcomeUnknown(reason))
		delete(o.pending, index)
	}
}

func (o *owner) failReads() {
	err := o.notLeader()
	for _, batch := range o.confirmedReads {
		rejectReads(batch.reads, err)
	}
	o.confirmedReads = nil
	for _, reads := range o.unconfirmedReads {
		rejectReads(reads, err)
	}
	clear(o.unconfirmedReads)
}

// Leading implements Group.
func (o *owner) Leading() (uint64, bool) {
	current := o.publishedLeadership.Load()
	if current == nil || !current.end.validAt(o.now()) {
		return 0, false
	}
	return current.term, true
}

// Following implements Group.
func (o *owner) Following() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.status.Leader != 0 && o.status.Leader != o.status.ID
}

// Status implements Group.
func (o *owner) Status() *rockwindpb.GroupStatus {
	o.mutex.Lock()
	status, applied, appliedTerm := o.status, o.publishedApplied, o.publishedAppliedTerm
	o.mutex.Unlock()
	published := &rockwindpb.GroupStatus{
		Group:         o.id,
		Term:          status.Term,
		Leader:        status.Leader,
		LeaderAddress: o.leaderAddress(status),
		Commit:        status.Commit,
		Applied:       applied,
		Last:          status.LastIndex,
		Voter:         status.Voter,
		Membership:    status.Membership,
		Repaired:      repaired(status),
		HearsLeader:   status.HearsLeader,
		AppliedTerm:   appliedTerm,
		LeaderCommit:  status.LeaderCommit,
		NewestCommit:  status.NewestCommit,

		LeaderMessages: status.LeaderMessages,
	}
	if age, confirmed := o.confirmedAge(); confirmed {
		published.ConfirmedAgeMs = proto.Uint32(uint32((age + time.Millisecond - 1) / time.Millisecond))
	}
	return published
}

// repaired reports, on the leader, whether the membership is committed and every
// member is an active voter and the only member of its machine.
func repaired(status raft.Status) bool {
	if status.Role != raft.Leader || status.MembershipIndex > status.Commit {
		return false
	}
	machines := make(map[string]bool)
	for _, member := range status.Membership.GetMembers() {
		active := member.GetId() == status.ID || progressOf(status, member.GetId()).Active
		if member.GetLearner() || machines[member.GetMachine()] || !active {
			return false
		}
		machines[member.GetMachine()] = true
	}
	return true
}

func (o *owner) leaderAddress(status raft.Status) string {
	if status.Leader == 0 {
		return ""
	}
	if learned := o.host.transport.learnedRoute(status.Leader); learned.address != "" {
		return o.host.preferredRoute(learned).address
	}
	return o.host.routeTo(memberByID(status.Membership, status.Leader)).address
}

// Applied implements Group.
func (o *owner) Applied() <-chan struct{} {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.appliedChanged
}

// leads reports whether this replica has the leader role, with or without a lease.
func (o *owner) leads() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.status.Role == raft.Leader
}
