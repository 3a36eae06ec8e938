package ledger

import (
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// job is one job with its items. Items that are neither done nor leased are waiting.
type job struct {
	// definition also holds the job state and the counts of results.
	definition *rockwindpb.Job
	// done holds the items with a recorded result, leased those that a lease holds.
	// Both are nil once the job has ended.
	done   bitmap
	leased bitmap
	// waiting is the number of waiting items.
	waiting uint32
	// waitingFrom is a lower bound of the waiting items.
	waitingFrom uint32
	leases      map[uint64]*lease
	// tries counts the failed tries of items that have no result yet.
	tries   map[uint32]uint32
	results resultStore
	samples sampleWindow
	// queued is set while the job is in the index of waiting jobs.
	queued bool
}

// lease is a range of items assigned to one gateway.
type lease struct {
	fence     uint64
	firstItem uint32
	itemCount uint32
	holder    string
	expires   int64
	// held holds the offsets from firstItem of the items that the holder may still
	// report.
	held bitmap
}

// leaseKey identifies a lease.
type leaseKey struct {
	jobID string
	fence uint64
}

func (k leaseKey) less(other leaseKey) bool {
	return k.fence < other.fence
}

func newJob(definition *rockwindpb.Job) *job {
	return &job{
		definition: definition,
		done:       newBitmap(definition.ItemCount),
		leased:     newBitmap(definition.ItemCount),
		waiting:    definition.ItemCount,
		leases:     map[uint64]*lease{},
		tries:      map[uint32]uint32{},
		results:    newResultStore(definition.ItemCount),
	}
}

// running reports whether results of the job may still be recorded.
func (j *job) running() bool {
	return j.definition.State == rockwindpb.JobState_JOB_STATE_RUNNING
}

// visibleTo reports whether a tenant may see the job. The empty tenant stands for an
// operator, who sees all jobs.
func (j *job) visibleTo(tenant string) bool {
	return tenant == "" || tenant == j.definition.Tenant
}

// toProto returns a copy of the job's definition.
func (j *job) toProto() *rockwindpb.Job {
	return proto.CloneOf(j.definition)
}

// summary returns a copy of the definition without its input chunks.
func (j *job) summary() *rockwindpb.Job {
	return withInput(j.definition, nil)
}

// forLease returns a copy of the definition with only the input chunks that the lease
// needs.
func (j *job) forLease(granted *lease) *rockwindpb.Job {
	var chunks []*rockwindpb.InputChunk
	end := granted.firstItem + granted.itemCount
	for _, chunk := range j.definition.Input {
		if chunk.FirstItem < end && granted.firstItem < chunk.FirstItem+chunk.ItemCount {
			chunks = append(chunks, proto.CloneOf(chunk))
		}
	}
	return withInput(j.definition, chunks)
}

// withInput returns a copy of a definition with other input chunks.
func withInput(definition *rockwindpb.Job, chunks []*rockwindpb.InputChunk) *rockwindpb.Job {
	input := definition.Input
	definition.Input = nil
	copied := proto.CloneOf(definition)
	definition.Input = input
	copied.Input = chunks
	return copied
}

// recorded returns the number of items with a result.
func (j *job) recorded() uint32 {
	return j.definition.Completed + j.definition.Failed
}

// requeue removes an item from its lease and makes it wait again.
func (j *job) requeue(l *lease, item uint32) {
	l.held.remove(item - l.firstItem)
	j.leased.remove(item)
	j.waiting++
	j.waitingFrom = min(j.waitingFrom, item)
}

// record stores the result of an item that a lease holds.
func (j *job) record(now int64, l *lease, report *rockwindpb.ItemCompletion, tries uint32) {
	item := report.Item
	l.held.remove(item - l.firstItem)
	j.leased.remove(item)
	j.done.add(item)
	delete(j.tries, item)
	j.results.put(item, storedResult{outcome: report.Outcome, tries: tries}.withReference(report.Result))
	if report.Outcome == rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED {
		j.definition.Completed++
	} else {
		j.definition.Failed++
	}
	j.samples.add(now, j.recorded())
}

// countFailedTry counts a try without a result and requeues the item. An item without
// tries left is recorded as failed instead, and true is returned.
func (j *job) countFailedTry(now int64, l *lease, item uint32) (ended bool) {
	tries := j.tries[item] + 1
	if tries < j.definition.Tries {
		j.tries[item] = tries
		j.requeue(l, item)
		return false
	}
	failed := &rockwindpb.ItemCompletion{Item: item, Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_FAILED}
	j.record(now, l, failed, tries)
	return true
}

// heldItems returns the items that the lease still holds, in ascending order.
func (l *lease) heldItems() []uint32 {
	items := make([]uint32, 0, l.held.count())
	l.held.each(func(offset uint32) { items = append(items, l.firstItem+offset) })
	return items
}

// holds reports whether the lease still holds the item.
func (l *lease) holds(item uint32) bool {
	return item >= l.firstItem && item-l.firstItem < l.itemCount && l.held.has(item-l.firstItem)
}
