package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// snapshotVersion is the version of the form of snapshots.
const snapshotVersion = 1

// Snapshot returns the whole state. Equal states give equal bytes.
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
		snapshot.Files = append(snapshot.Files, &rockwindpb.LedgerFile{File: file.definition, KeptUnixMs: file.kept})
	}
	for _, key := range slices.SortedFunc(maps.Keys(l.records), compareRecordKeys) {
		kept := l.records[key]
		snapshot.Records = append(snapshot.Records, &rockwindpb.LedgerRecord{Record: kept.definition, EndedUnixMs: kept.ended})
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return encoded, errors.Wrap(err, "encode the snapshot of a job shard")
}

func compareRecordKeys(a, b recordKey) int {
	return cmp.Or(cmp.Compare(a.tenant, b.tenant), cmp.Compare(a.key, b.key))
}

func (j *job) snapshot() *rockwindpb.LedgerJob {
	kept := &rockwindpb.LedgerJob{Job: j.definition, Done: j.done}
	for _, fence := range slices.Sorted(maps.Keys(j.leases)) {
		kept.Leases = append(kept.Leases, j.leases[fence].snapshot())
	}
	for _, item := range slices.Sorted(maps.Keys(j.tries)) {
		kept.Tries = append(kept.Tries, &rockwindpb.LedgerTries{Item: item, Tries: j.tries[item]})
	}
	for number := range j.results.blocks {
		j.snapshotBlock(uint32(number), kept)
	}
	for _, taken := range j.samples.samples {
		kept.Samples = append(kept.Samples, &rockwindpb.LedgerSample{UnixMs: taken.unixMs, Recorded: taken.recorded})
	}
	return kept
}

// snapshotBlock adds a block's reference, or its chunks that hold results.
func (j *job) snapshotBlock(number uint32, kept *rockwindpb.LedgerJob) {
	block := &j.results.blocks[number]
	if block.sealed != nil {
		kept.Sealed = append(kept.Sealed, j.results.describeSealed(number))
		return
	}
	for place := range block.chunks {
		chunk := &block.chunks[place]
		if chunk.recorded == 0 {
			continue
		}
		size := j.results.chunkSize(number, uint32(place))
		kept.Results = append(kept.Results, &rockwindpb.LedgerResults{
			FirstItem: number*BlockItems + uint32(place)*chunkItems,
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
