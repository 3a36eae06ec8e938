package ledger

import (
	"maps"
	"math"
	"slices"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// References bounds the bodies that a ledger still refers to.
type References struct {
	// OldestJobUnixMs is when the oldest job that is kept was accepted; its
	// results were stored later. It is math.MaxInt64 where there is no job.
	OldestJobUnixMs int64
	// InputSegments are the segments that hold inputs of jobs or files, sorted.
	InputSegments []uint64
}

// References returns what the jobs and files that are kept refer to. Bodies of
// idempotency records are not counted: they are bounded by their retention.
func (l *Ledger) References() References {
	oldest := int64(math.MaxInt64)
	segments := make(map[uint64]struct{})
	for _, kept := range l.jobs {
		oldest = min(oldest, kept.definition.GetAcceptedUnixMs())
		addSegments(segments, kept.definition.GetInput())
	}
	for _, kept := range l.files {
		addSegments(segments, kept.definition.GetChunks())
	}
	return References{OldestJobUnixMs: oldest, InputSegments: slices.Sorted(maps.Keys(segments))}
}

func addSegments(to map[uint64]struct{}, chunks []*rockwindpb.InputChunk) {
	for _, chunk := range chunks {
		to[chunk.GetBody().GetSegment()] = struct{}{}
	}
}
