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
	// resultBytes is the size of a typical result.
	resultBytes = 2048
	// longLeaseMs exceeds the duration of the measurement.
	longLeaseMs = 24 * 60 * 60 * 1000
	// warmupJobItems is the size of the job in the warm-up run.
	warmupJobItems = 128
	// maxBlocksPerSeal bounds the blocks fetched at a time.
	maxBlocksPerSeal = 64
)

// benchLedger is a ledger in this process whose memory is measured.
type benchLedger struct {
	ledger *ledger.Ledger
	now    int64
	offset uint64
	err    error
}

// measureMemory measures the heap per item in each state of its life cycle.
func measureMemory(jobs int, jobItems, leaseItems uint32) (Memory, error) {
	// A warm-up run allocates what exists once per process, such as message
	// descriptors.
	if _, err := measureStates(1, warmupJobItems, warmupJobItems); err != nil {
		return Memory{}, err
	}
	return measureStates(jobs, jobItems, leaseItems)
}

func measureStates(jobs int, jobItems, leaseItems uint32) (Memory, error) {
	bench := &benchLedger{ledger: ledger.New(benchShard), now: 1}
	items := float64(jobs) * float64(jobItems)
	before := heapBytes()
	perItem := func() float64 { return (heapBytes() - before) / items }

	memory := Memory{Jobs: jobs, JobItems: jobItems}
	for number := range jobs {
		bench.submit(number, jobItems)
	}
	memory.Waiting = perItem()
	// The last item of each job stays open, so that the jobs keep running.
	var last []*rockwindpb.Lease
	for number := range jobs {
		last = append(last, bench.completeAllButLastItem(number, jobItems, leaseItems))
	}
	memory.Done = perItem()
	bench.sealAll()
	memory.Sealed = perItem()
	for _, lease := range last {
		bench.report(lease, lease.GetFirstItem(), lease.GetFirstItem()+lease.GetItemCount())
	}
	bench.sealAll()
	memory.Ended = perItem()
	if stats := bench.ledger.Stats(); stats.JobsCompleted != jobs || stats.ItemsUnsealed != 0 {
		bench.err = errors.CombineErrors(bench.err, errors.Newf("jobs have not ended: %+v", stats))
	}
	snapshot, err := bench.ledger.Snapshot()
	memory.SnapshotPerItem = float64(len(snapshot)) / items
	runtime.KeepAlive(bench)
	return memory, errors.CombineErrors(bench.err, err)
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// apply applies an encoded command, as a replica does.
func (b *benchLedger) apply(command *rockwindpb.JobCommand) any {
	b.now++
	command.NowUnixMs = b.now
	encoded, err := ledger.EncodeCommand(command)
	if err != nil {
		b.err = errors.CombineErrors(b.err, err)
		return nil
	}
	result := b.ledger.Apply(0, encoded)
	if refused, is := result.(error); is {
		b.err = errors.CombineErrors(b.err, refused)
	}
	return result
}

func (b *benchLedger) submit(number int, items uint32) {
	b.apply(&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Submit{Submit: &rockwindpb.SubmitJobRequest{
		Job: &rockwindpb.Job{
			Id:     sharding.FormatIdentifier("job", benchShard, uint64(number)+1),
			Tenant: benchTenant, Group: jobGroup(number), Model: benchModel,
			ClientKey: fmt.Sprint(number), ItemCount: items,
		},
	}}})
}

// jobGroup returns a separate group for each job, so that a lease selects that job.
func jobGroup(number int) string {
	return fmt.Sprint("group-", number)
}

// completeAllButLastItem completes all items of a job except the last, and returns a
// lease of that item.
func (b *benchLedger) completeAllButLastItem(number int, items, leaseItems uint32) *rockwindpb.Lease {
	for {
		answer := b.apply(&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Acquire{Acquire: &rockwindpb.AcquireLeasesRequest{
			Holder: benchTenant, MaxItems: leaseItems, Models: []string{benchModel}, Groups: []string{jobGroup(number)},
			LeaseMs: longLeaseMs,
		}}})
		acquired, granted := answer.(*rockwindpb.AcquireLeasesResponse)
		if !granted || len(acquired.GetGrants()) != 1 {
			b.err = errors.CombineErrors(b.err, errors.Newf("job %d was not granted one lease", number))
			return nil
		}
		lease := acquired.GetGrants()[0].GetLease()
		end := lease.GetFirstItem() + lease.GetItemCount()
		if end == items {
			b.report(lease, lease.GetFirstItem(), end-1)
			return &rockwindpb.Lease{JobId: lease.GetJobId(), Fence: lease.GetFence(), FirstItem: end - 1, ItemCount: 1}
		}
		b.report(lease, lease.GetFirstItem(), end)
	}
}

// report completes the items of a lease from first to before end, and releases the
// lease with its last item.
func (b *benchLedger) report(lease *rockwindpb.Lease, first, end uint32) {
	if lease == nil {
		return
	}
	completion := &rockwindpb.LeaseCompletion{
		JobId: lease.GetJobId(), Fence: lease.GetFence(),
		Release: end == lease.GetFirstItem()+lease.GetItemCount(),
	}
	for item := first; item < end; item++ {
		b.offset += resultBytes
		completion.Items = append(completion.Items, &rockwindpb.ItemCompletion{
			Item: item, Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED,
			Result: &rockwindpb.BodyReference{Segment: 1, Offset: b.offset, Length: resultBytes, Checksum: item * 2654435761},
		})
	}
	b.apply(&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Complete{Complete: &rockwindpb.CompleteItemsRequest{
		Holder: benchTenant, Completions: []*rockwindpb.LeaseCompletion{completion},
	}}})
}

// sealAll seals all sealable blocks, which moves their result references out of memory.
func (b *benchLedger) sealAll() {
	for b.err == nil {
		blocks := b.ledger.SealableBlocks(maxBlocksPerSeal)
		if len(blocks) == 0 {
			return
		}
		for _, block := range blocks {
			b.offset += uint64(len(block.Body))
			reference := &rockwindpb.BodyReference{
				Segment: 1, Offset: b.offset, Length: uint32(len(block.Body)),
				Checksum: crc32.Checksum(block.Body, crc32.MakeTable(crc32.Castagnoli)),
			}
			b.apply(&rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Seal{Seal: block.Command(reference)}})
		}
	}
}
