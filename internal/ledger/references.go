package ledger

import (
	"maps"
	"math"
	"slices"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// References describes which stored bodies a ledger may still refer to.
type References struct {
	// OldestJobUnixMs is the time at which the oldest retained job was accepted. All
	// results of retained jobs are newer. It is math.MaxInt64 if there are no jobs.
	OldestJobUnixMs int64
	// InputSegments is the sorted list of segments with inputs of jobs or files.
	InputSegments []uint64
}

// References returns the references of the retained jobs and files. It omits the bodies
// of idempotency records, which are kept for a fixed retention.
func (l *Ledger) References() References {
	oldest := int64(math.MaxInt64)
	segments := make(map[uint64]struct{})
	for _, retained := range l.jobs {
		oldest = min(oldest, retained.definition.GetAcceptedUnixMs())
		addSegments(segments, retained.definition.GetInput())
	}
	for _, retained := range l.files {
		addSegments(segments, retained.definition.GetChunks())
	}
	return References{OldestJobUnixMs: oldest, InputSegments: slices.Sorted(maps.Keys(segments))}
}

func addSegments(to map[uint64]struct{}, chunks []*rockwindpb.InputChunk) {
	for _, chunk := range chunks {
		to[chunk.GetBody().GetSegment()] = struct{}{}
	}
}
