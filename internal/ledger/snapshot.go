package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

// Snapshot returns the encoded state. Equal states have equal encodings.
func (l *Ledger) Snapshot() ([]byte, error) {
	snapshot := &rockwindpb.LedgerSnapshot{
		Version:   snapshotVersion,
		Shard:     l.shard,
		Fence:     l.fence,
		LastGroup: l.lastGroup,
	}
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		snapshot.Jobs = append(snapshot.Jobs, l.jobs[id].snapshot())
	}
	for _, id := range slices.Sorted(maps.Keys(l.files)) {
		file := l.files[id]
		snapshot.Files = append(snapshot.Files, &rockwindpb.LedgerFile{File: file.definition, KeptUnixMs: file.retentionStart})
	}
	for _, key := range slices.SortedFunc(maps.Keys(l.records), compareRecordKeys) {
		found := l.records[key]
		snapshot.Records = append(snapshot.Records, &rockwindpb.LedgerRecord{Record: found.definition, EndedUnixMs: found.ended})
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return encoded, errors.Wrap(err, "encode the snapshot of a job shard")
}

func compareRecordKeys(a, b recordKey) int {
	return cmp.Or(cmp.Compare(a.tenant, b.tenant), cmp.Compare(a.key, b.key))
}

func (j *job) snapshot() *rockwindpb.LedgerJob {
	saved := &rockwindpb.LedgerJob{Job: j.definition, Done: j.done}
	for _, fence := range slices.Sorted(maps.Keys(j.leases)) {
		saved.Leases = append(saved.Leases, j.leases[fence].snapshot())
	}
	for _, item := range slices.Sorted(maps.Keys(j.tries)) {
		saved.Tries = append(saved.Tries, &rockwindpb.LedgerTries{Item: item, Tries: j.tries[item]})
	}
	for number := range j.results.blocks {
		j.snapshotBlock(uint32(number), saved)
	}
	for _, measured := range j.samples.samples {
		saved.Samples = append(saved.Samples, &rockwindpb.LedgerSample{UnixMs: measured.unixMs, Recorded: measured.recorded})
	}
	return saved
}

// snapshotBlock adds the reference of a sealed block, or the non-empty chunks of an
// unsealed one.
func (j *job) snapshotBlock(number uint32, saved *rockwindpb.LedgerJob) {
	block := &j.results.blocks[number]
	if block.sealed != nil {
		saved.Sealed = append(saved.Sealed, j.results.sealedToProto(number))
		return
	}
	for index := range block.chunks {
		chunk := &block.chunks[index]
		if chunk.recorded == 0 {
			continue
		}
		size := j.results.chunkSize(number, uint32(index))
		saved.Results = append(saved.Results, &rockwindpb.LedgerResults{
			FirstItem: number*BlockItems + uint32(index)*chunkItems,
			ItemCount: size,
			Packed:    packResults(chunk.read(size)),
		})
	}
}

func (l *lease) snapshot() *rockwindpb.LedgerLease {
	return &rockwindpb.LedgerLease{
		Fence:         l.fence,
		FirstItem:     l.firstItem,
		ItemCount:     l.itemCount,
		Holder:        l.holder,
		ExpiresUnixMs: l.expires,
		Held:          l.held,
	}
}
