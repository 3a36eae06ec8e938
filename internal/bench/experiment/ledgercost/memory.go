package ledgercost

import (
	"fmt"
	"hash/crc32"
	"runtime"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/ledger"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharding"
)

const (
	benchShard  = 1
	benchModel  = "assistant-7b"
	benchTenant = "tenant"
	// resultBytes is about the size of a result.
	resultBytes = 2048
	// longLease outlasts the measurement, in ms.
	longLease = 24 * 60 * 60 * 1000
	// minimumJob is the size of a job with all parts that larger ones have.
	minimumJob = 128
	// sealBatch is how many blocks are looked for in one go.
	sealBatch = 64
)

// heldLedger is a ledger in this process under measurement.
type heldLedger struct {
	ledger *ledger.Ledger
	now    int64
	offset uint64
	err    error
}

// measureMemory works out the heap of an item in the states of its life.
func measureMemory(jobs int, jobItems, leaseItems uint32) (Memory, error) {
	// What is made once, such as the descriptors of messages, is no item's.
	if _, err := measureStates(1, minimumJob, minimumJob); err != nil {
		return Memory{}, err
	}
	return measureStates(jobs, jobItems, leaseItems)
}

func measureStates(jobs int, jobItems, leaseItems uint32) (Memory, error) {
	held := &heldLedger{ledger: ledger.New(benchShard), now: 1}
	items := float64(jobs) * float64(jobItems)
	before := heapBytes()
	perItem := func() float64 { return (heapBytes() - before) / items }

	measured := Memory{Jobs: jobs, JobItems: jobItems}
	for number := range jobs {
		held.submit(number, jobItems)
	}
	measured.Waiting = perItem()
	// The last item of each job stays open, so that the jobs run on.
	var last []*rockwindpb.Lease
	for number := range jobs {
		last = append(last, held.runJob(number, jobItems, leaseItems))
	}
	measured.Done = perItem()
	held.seal()
	measured.Sealed = perItem()
	for _, lease := range last {
		held.report(lease, lease.GetFirstItem(), lease.GetFirstItem()+lease.GetItemCount())
	}
	held.seal()
	measured.Ended = perItem()
	if stats := held.ledger.Stats(); stats.JobsCompleted != jobs || stats.ItemsUnsealed != 0 {
		held.err = errors.CombineErrors(held.err, errors.Newf("jobs have not ended: %+v", stats))
	}
	snapshot, err := held.ledger.Snapshot()
	measured.SnapshotPerItem = float64(len(snapshot)) / items
	runtime.KeepAlive(held)
	return measured, errors.CombineErrors(held.err, err)
}

// heapBytes is the live heap after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// apply takes a command the way that a replica does.
func (h *heldLedger) apply(command *rockwindpb.JobCommand) any {
	h.now++
	command.NowUnixMs = h.now
	encoded, err := ledger.EncodeCommand(command)
	if err != nil {
		h.err = errors.CombineErrors(h.err, err)
		return nil
	}
	result := h.ledger.Apply(0, encoded)
	if refused, is := result.(error); is {
		h.err = errors.CombineErrors(h.err, refused)
	}
	return result
}

func (h *heldLedger) submit(number int, items uint32) {
	h.apply(&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Submit{Submit: &rockwindpb.SubmitJobRequest{
		Job: &rockwindpb.Job{
			Id:     sharding.FormatIdentifier("job", benchShard, uint64(number)+1),
			Tenant: benchTenant, Group: groupOf(number), Model: benchModel,
			ClientKey: fmt.Sprint(number), ItemCount: items,
		},
	}}})
}

// groupOf gives each job a group of its own, so that a lease is of the job meant.
func groupOf(number int) string {
	return fmt.Sprint("group-", number)
}

// runJob completes a job but for its last lease, which it returns.
func (h *heldLedger) runJob(number int, items, leaseItems uint32) *rockwindpb.Lease {
	for {
		answer := h.apply(&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Acquire{Acquire: &rockwindpb.AcquireLeasesRequest{
			Holder: benchTenant, MaxItems: leaseItems, Models: []string{benchModel}, Groups: []string{groupOf(number)},
			LeaseMs: longLease,
		}}})
		acquired, granted := answer.(*rockwindpb.AcquireLeasesResponse)
		if !granted || len(acquired.GetGrants()) != 1 {
			h.err = errors.CombineErrors(h.err, errors.Newf("job %d was not granted one lease", number))
			return nil
		}
		lease := acquired.GetGrants()[0].GetLease()
		end := lease.GetFirstItem() + lease.GetItemCount()
		if end == items {
			h.report(lease, lease.GetFirstItem(), end-1)
			return &rockwindpb.Lease{JobId: lease.GetJobId(), Fence: lease.GetFence(), FirstItem: end - 1, ItemCount: 1}
		}
		h.report(lease, lease.GetFirstItem(), end)
	}
}

// report completes items of a lease, and ends the lease with its last item.
func (h *heldLedger) report(lease *rockwindpb.Lease, first, end uint32) {
	if lease == nil {
		return
	}
	completion := &rockwindpb.LeaseCompletion{
		JobId: lease.GetJobId(), Fence: lease.GetFence(),
		Release: end == lease.GetFirstItem()+lease.GetItemCount(),
	}
	for item := first; item < end; item++ {
		h.offset += resultBytes
		completion.Items = append(completion.Items, &rockwindpb.ItemCompletion{
			Item: item, Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED,
			Result: &rockwindpb.BodyReference{Segment: 1, Offset: h.offset, Length: resultBytes, Checksum: item * 2654435761},
		})
	}
	h.apply(&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Complete{Complete: &rockwindpb.CompleteItemsRequest{
		Holder: benchTenant, Completions: []*rockwindpb.LeaseCompletion{completion},
	}}})
}

// seal moves the references of all settled blocks out of memory.
func (h *heldLedger) seal() {
	for h.err == nil {
		blocks := h.ledger.SealableBlocks(sealBatch)
		if len(blocks) == 0 {
			return
		}
		for _, block := range blocks {
			h.offset += uint64(len(block.Body))
			reference := &rockwindpb.BodyReference{
				Segment: 1, Offset: h.offset, Length: uint32(len(block.Body)),
				Checksum: crc32.Checksum(block.Body, crc32.MakeTable(crc32.Castagnoli)),
			}
			h.apply(&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Seal{Seal: block.Command(reference)}})
		}
	}
}
