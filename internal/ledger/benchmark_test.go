package ledger

import (
	"fmt"
	"hash/crc32"
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharding"
)

const (
	benchmarkJobs     = 100
	benchmarkJobItems = 72_000
)

// BenchmarkRestore restores a shard of large running jobs with half of the items done
// and sealed.
func BenchmarkRestore(b *testing.B) {
	l := New(1)
	for number := range benchmarkJobs {
		mustApply(b, l, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Submit{Submit: &rockwindpb.SubmitJobRequest{
			Job: &rockwindpb.Job{Id: sharding.FormatIdentifier("job", 1, uint64(number)), Tenant: "t", Group: fmt.Sprint(number), Model: "m", ItemCount: benchmarkJobItems},
		}}})
		completeHalf(b, l, fmt.Sprint(number))
	}
	snapshot, err := l.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(snapshot)))
	for b.Loop() {
		if err := l.Restore(snapshot); err != nil {
			b.Fatal(err)
		}
	}
}

func completeHalf(b *testing.B, l *Ledger, group string) {
	for range benchmarkJobItems / 2 / MaxLeaseItems {
		granted := mustApply(b, l, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Acquire{Acquire: &rockwindpb.AcquireLeasesRequest{
			Holder: "h", MaxItems: MaxLeaseItems, Models: []string{"m"}, Groups: []string{group},
		}}}).(*rockwindpb.AcquireLeasesResponse)
		lease := granted.Grants[0].Lease
		completion := &rockwindpb.LeaseCompletion{JobId: lease.JobId, Fence: lease.Fence, Release: true}
		for item := range lease.ItemCount {
			completion.Items = append(completion.Items, &rockwindpb.ItemCompletion{
				Item: lease.FirstItem + item, Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED,
				Result: &rockwindpb.BodyReference{Segment: 1, Offset: uint64(item) * 2000, Length: 2000, Checksum: item},
			})
		}
		mustApply(b, l, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Complete{Complete: &rockwindpb.CompleteItemsRequest{
			Holder: "h", Completions: []*rockwindpb.LeaseCompletion{completion},
		}}})
	}
	for _, block := range l.SealableBlocks(benchmarkJobItems) {
		mustApply(b, l, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Seal{
			Seal: block.Command(&rockwindpb.BodyReference{Segment: 1, Length: uint32(len(block.Body)), Checksum: crc32.Checksum(block.Body, castagnoli)}),
		}})
	}
}

func mustApply(b *testing.B, l *Ledger, command *rockwindpb.JobCommand) any {
	result := l.apply(command)
	if failure, ok := result.(error); ok {
		b.Fatal(failure)
	}
	return result
}
