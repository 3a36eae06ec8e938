package segment

import (
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// holding is what one machine holds.
type holding struct {
	machine  string
	disk     string
	segments []*rockwindpb.SegmentSummary
}

// Copies counts the synced copies of the bodies on all machines. What it says
// holds for everything that was acknowledged before the call.
//
// It lists all machines twice. The first lists tell how long each segment must
// be: all bytes that were written anywhere, so that a body that is acknowledged
// meanwhile, on the strength of a disk that was lost before, is among them. The
// second lists tell which machines hold so much, synced and not known to be
// damaged, on the same disk as at first.
func (n *Node) Copies(ctx context.Context) *rockwindpb.CopiesResponse {
	before, _ := n.holdings(ctx)
	after, silent := n.holdings(ctx)
	counted := countCopies(before, after, n.fullCopies(), n.removable)
	counted.SilentMachines = silent
	for _, machine := range n.unsteady(before, after) {
		if !slices.Contains(silent, machine) {
			counted.SilentMachines = append(counted.SilentMachines, machine)
		}
	}
	counted.Repaired = counted.GetShortSegments() == 0 && len(counted.GetSilentMachines()) == 0
	return counted
}

// holdings lists what this machine and its peers hold, and names the peers that
// did not answer.
func (n *Node) holdings(ctx context.Context) (holdings []holding, silent []string) {
	var mutex sync.Mutex
	var calls errgroup.Group
	for _, candidate := range n.peers {
		calls.Go(func() error {
			disk, segments, err := candidate.listAll(ctx)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				silent = append(silent, candidate.Machine)
				return nil
			}
			holdings = append(holdings, holding{machine: candidate.Machine, disk: disk, segments: segments})
			return nil
		})
	}
	_ = calls.Wait()
	holdings = append(holdings, holding{machine: n.options.Machine, disk: n.options.DiskID, segments: n.summaries()})
	slices.Sort(silent)
	return holdings, silent
}

// unsteady names the peers that answered with one disk before and not, or with
// another one, after.
func (n *Node) unsteady(before, after []holding) []string {
	disks := make(map[string]string, len(before))
	for _, listed := range before {
		disks[listed.machine] = listed.disk
	}
	var changed []string
	for _, listed := range after {
		if disk, known := disks[listed.machine]; !known || disk != listed.disk {
			changed = append(changed, listed.machine)
		}
	}
	return changed
}

// countCopies compares the lengths that segments must have by the first lists
// with the copies in the second ones.
func countCopies(before, after []holding, wanted int, removable func(segment uint64, createdUnixMs int64) bool) *rockwindpb.CopiesResponse {
	lengths := make(map[uint64]int64)
	irreparable := make(map[uint64]bool)
	for _, listed := range before {
		for _, summary := range listed.segments {
			id := summary.GetSegment()
			if removable(id, summary.GetCreatedUnixMs()) {
				continue
			}
			lengths[id] = max(lengths[id], reparable(summary, summary.GetWrittenLength()))
			irreparable[id] = irreparable[id] || summary.GetIrreparableFrom() > 0
		}
	}
	copies := make(map[uint64][]int64, len(lengths))
	for _, listed := range after {
		for _, summary := range listed.segments {
			if !summary.GetDamaged() {
				id := summary.GetSegment()
				copies[id] = append(copies[id], reparable(summary, summary.GetLength()))
			}
		}
	}
	result := &rockwindpb.CopiesResponse{WantedCopies: uint32(wanted), FewestCopies: uint32(wanted)}
	for id, length := range lengths {
		whole, missing := wholeCopies(copies[id], length, wanted)
		result.Segments++
		if irreparable[id] {
			result.IrreparableSegments++
		}
		result.MissingBytes += uint64(missing)
		result.FewestCopies = min(result.FewestCopies, uint32(whole))
		if whole < wanted {
			result.ShortSegments++
		}
	}
	return result
}

// wholeCopies counts the copies of at least a length, up to the wanted number,
// and the bytes that the longest others lack.
func wholeCopies(copies []int64, length int64, wanted int) (whole int, missing int64) {
	slices.Sort(copies)
	slices.Reverse(copies)
	for position := range wanted {
		have := int64(0)
		if position < len(copies) {
			have = min(copies[position], length)
		}
		if have == length {
			whole++
		}
		missing += length - have
	}
	return whole, missing
}
