package ledger

import (
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// job is one job with its items. Items that are neither done nor leased wait.
type job struct {
	// definition holds the state and the counts, too.
	definition *rockwindpb.Job
	// done marks items with a recorded result, leased those that a lease holds.
	// Both are nil once the job has ended.
	done   bitmap
	leased bitmap
	// waiting counts items that are neither done nor leased.
	waiting uint32
	// firstWaiting is at most the lowest waiting item.
	firstWaiting uint32
	leases       map[uint64]*lease
	// tries counts the starts of items that have no result yet.
	tries   map[uint32]uint32
	results resultStore
	samples sampleWindow
	// queued tells whether the job stands in the index of waiting jobs.
	queued bool
}

// lease is a range of items that one gateway may run.
type lease struct {
	fence     uint64
	firstItem uint32
	itemCount uint32
	holder    string
	expires   int64
	// held marks the items, from firstItem, that the holder may still report.
	held bitmap
}

// leaseKey names a lease.
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

// running tells whether items of the job may still be recorded.
func (j *job) running() bool {
	return j.definition.State == rockwindpb.JobState_JOB_STATE_RUNNING
}

// visibleTo tells whether a tenant may see the job; operators name no tenant.
func (j *job) visibleTo(tenant string) bool {
	return tenant == "" || tenant == j.definition.Tenant
}

// describe returns a copy of the job's definition.
func (j *job) describe() *rockwindpb.Job {
	return proto.CloneOf(j.definition)
}

// summary returns a copy of the definition without its input chunks.
func (j *job) summary() *rockwindpb.Job {
	return withInput(j.definition, nil)
}

// forLease returns a copy of the definition with the chunks that a lease needs.
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

// withInput copies a definition, but for its input chunks.
func withInput(definition *rockwindpb.Job, chunks []*rockwindpb.InputChunk) *rockwindpb.Job {
	input := definition.Input
	definition.Input = nil
	copied := proto.CloneOf(definition)
	definition.Input = input
	copied.Input = chunks
	return copied
}

// recorded counts the items that have a result.
func (j *job) recorded() uint32 {
	return j.definition.Completed + j.definition.Failed
}

// giveBack makes an item of a lease wait again.
func (j *job) giveBack(l *lease, item uint32) {
	l.held.remove(item - l.firstItem)
	j.leased.remove(item)
	j.waiting++
	j.firstWaiting = min(j.firstWaiting, item)
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

// countTry counts a start that gave no result. An item that has used up its
// tries ends as failed; any other waits again. It tells which.
func (j *job) countTry(now int64, l *lease, item uint32) (ended bool) {
	tries := j.tries[item] + 1
	if tries < j.definition.Tries {
		j.tries[item] = tries
		j.giveBack(l, item)
		return false
	}
	failed := &rockwindpb.ItemCompletion{Item: item, Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_FAILED}
	j.record(now, l, failed, tries)
	return true
}

// heldItems returns the items that a lease still holds, in order.
func (l *lease) heldItems() []uint32 {
	items := make([]uint32, 0, l.held.count())
	l.held.each(func(offset uint32) { items = append(items, l.firstItem+offset) })
	return items
}

// holds tells whether the lease's holder may still report the item.
func (l *lease) holds(item uint32) bool {
	return item >= l.firstItem && item-l.firstItem < l.itemCount && l.held.has(item-l.firstItem)
}
