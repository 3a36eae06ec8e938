package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

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
	called := &order{request: newRequest(), run: run}
	_, err := o.await(ctx, &called.request, called, nil)
	return err
}

// await hands a request to the owner and waits for its answer. Once the owner
// has begun, a proposal ends as doubt tells; other requests end with the
// owner's answer, which never takes long from there on.
func (o *owner) await(ctx context.Context, r *request, queued any, doubt func(string) error) (any, error) {
	select {
	case o.requests <- queued:
	case <-ctx.Done():
		return nil, notBegun(contextReason(ctx))
	case <-o.stopped:
		return nil, notBegun("this control process stops")
	}
	select {
	case a := <-r.finished:
		return a.result, a.err
	case <-ctx.Done():
		return r.giveUp(contextReason(ctx), doubt)
	case <-o.stopped:
		return r.giveUp("this control process stops", doubt)
	}
}

// giveUp ends the wait of a caller.
func (r *request) giveUp(reason string, doubt func(string) error) (any, error) {
	if r.abandon() {
		return nil, notBegun(reason)
	}
	select {
	case a := <-r.finished:
		return a.result, a.err
	default:
	}
	if doubt == nil {
		a := <-r.finished
		return a.result, a.err
	}
	return nil, doubt(reason)
}

// gather takes all requests that wait, so that their commands become one
// append and their reads one round of heartbeats.
func (o *owner) gather(next any) {
	var reads []*read
	for range requestBuffer {
		switch r := next.(type) {
		case *proposal:
			o.propose(r)
		case *read:
			reads = o.begin(r, reads)
		case *order:
			if r.take() {
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
	o.askReads(reads)
}

func (o *owner) propose(p *proposal) {
	if !p.take() {
		return
	}
	if o.host.writer.full.Load() {
		p.finish(nil, fullDisk())
		return
	}
	index, term, err := o.node.Propose(p.command)
	if err != nil {
		p.finish(nil, o.refusal(err))
		return
	}
	p.term = term
	o.pending[index] = p
}

// refusal is the fault of a request that the core refused.
func (o *owner) refusal(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return o.notLeader()
	case errors.Is(err, raft.ErrTransferring):
		return fault.New(fault.Unavailable, "leadership is being handed over",
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

// begin serves a read at once where it can, or puts it among those that need
// a round of heartbeats.
func (o *owner) begin(r *read, reads []*read) []*read {
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

// leaseHolds tells whether no other replica can lead now, by ticks and by the
// clock. The clock is read after the request arrived, so a state that is served
// from here on was current within the request.
func (o *owner) leaseHolds() bool {
	current := o.leadershipNow(o.node.Status())
	return current != nil && current.end.after(o.now())
}

func (o *owner) serve(r *read) {
	if !r.take() {
		return
	}
	r.view()
	r.finish(nil, nil)
}

func (o *owner) askReads(reads []*read) {
	if len(reads) == 0 {
		return
	}
	o.nextRead++
	if err := o.node.ReadIndex(o.nextRead); err != nil {
		refuseReads(reads, o.refusal(err))
		return
	}
	o.asked[o.nextRead] = reads
}

func refuseReads(reads []*read, err error) {
	for _, r := range reads {
		if r.take() {
			r.finish(nil, err)
		}
	}
}

// serveReads runs the reads whose index is applied.
func (o *owner) serveReads() {
	kept := o.waiting[:0]
	for _, waiting := range o.waiting {
		if waiting.index > o.applied {
			kept = append(kept, waiting)
			continue
		}
		for _, r := range waiting.reads {
			o.serve(r)
		}
	}
	o.waiting = kept
}

func (o *owner) failPending(reason string) {
	for index, p := range o.pending {
		p.finish(nil, outcomeUnknown(reason))
		delete(o.pending, index)
	}
}

func (o *owner) failReads() {
	err := o.notLeader()
	for _, waiting := range o.waiting {
		refuseReads(waiting.reads, err)
	}
	o.waiting = nil
	for _, reads := range o.asked {
		refuseReads(reads, err)
	}
	clear(o.asked)
}

// Leading implements Group.
func (o *owner) Leading() (uint64, bool) {
	current := o.leadingUntil.Load()
	if current == nil || !current.end.after(o.now()) {
		return 0, false
	}
	return current.term, true
}

// Status implements Group.
func (o *owner) Status() *rockwindpb.GroupStatus {
	o.mutex.Lock()
	status, applied, appliedTerm := o.status, o.appliedShown, o.appliedTermShown
	o.mutex.Unlock()
	return &rockwindpb.GroupStatus{
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
	}
}

// repaired tells, at the leader, whether every member is a voter that is heard
// and stands alone for its machine, by a membership that is committed.
func repaired(status raft.Status) bool {
	if status.Role != raft.Leader || status.MembershipIndex > status.Commit {
		return false
	}
	machines := make(map[string]bool)
	for _, member := range status.Membership.GetMembers() {
		heard := member.GetId() == status.ID || progressOf(status, member.GetId()).Active
		if member.GetLearner() || machines[member.GetMachine()] || !heard {
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
	for _, member := range status.Membership.GetMembers() {
		if member.GetId() == status.Leader {
			return o.host.routeTo(member).address
		}
	}
	return o.host.transport.heardFrom(status.Leader).address
}

// Applied implements Group.
func (o *owner) Applied() <-chan struct{} {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.moved
}

// leads tells whether this replica believes to lead, without a lease.
func (o *owner) leads() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.status.Role == raft.Leader
}
