package segment

import (
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// listing is the list of segments on one machine's disk.
type listing struct {
	machine  string
	disk     string
	segments []*rockwindpb.SegmentSummary
}

// Copies counts the synced copies of all segments on all machines. The result
// covers every body that was acknowledged before the call.
//
// It lists all machines twice. The first lists give the required length of each
// segment: the longest written copy, synced or not, because a body may be
// acknowledged during the call by a copy whose disk is lost before the second
// lists. The second lists give the machines that have this length synced, not
// known to be damaged, on the same disk as in the first lists.
func (n *Node) Copies(ctx context.Context) *rockwindpb.CopiesResponse {
	before, _ := n.listMachines(ctx)
	after, silent := n.listMachines(ctx)
	counted := countCopies(before, after, n.targetCopies(), n.removable)
	counted.SilentMachines = silent
	for _, machine := range n.changedDisks(before, after) {
		if !slices.Contains(silent, machine) {
			counted.SilentMachines = append(counted.SilentMachines, machine)
		}
	}
	counted.Repaired = counted.GetShortSegments() == 0 && len(counted.GetSilentMachines()) == 0
	return counted
}

// listMachines lists the segments of this machine and its peers, and returns the
// names of the peers that did not answer.
func (n *Node) listMachines(ctx context.Context) (listings []listing, silent []string) {
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
			listings = append(listings, listing{machine: candidate.Machine, disk: disk, segments: segments})
			return nil
		})
	}
	_ = calls.Wait()
	listings = append(listings, listing{machine: n.options.Machine, disk: n.options.DiskID, segments: n.summaries()})
	slices.Sort(silent)
	return listings, silent
}

// changedDisks returns the machines of the second lists that are missing from the
// first ones, or that had another disk there.
func (n *Node) changedDisks(before, after []listing) []string {
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

// countCopies compares the required lengths of the first lists with the copies of
// the second ones.
func countCopies(before, after []listing, wanted int, removable func(segment uint64, createdUnixMs int64) bool) *rockwindpb.CopiesResponse {
	lengths := make(map[uint64]int64)
	irreparable := make(map[uint64]bool)
	for _, listed := range before {
		for _, summary := range listed.segments {
			id := summary.GetSegment()
			if removable(id, summary.GetCreatedUnixMs()) {
				continue
			}
			lengths[id] = max(lengths[id], repairableLength(summary, summary.GetWrittenLength()))
			irreparable[id] = irreparable[id] || summary.GetIrreparableFrom() > 0
		}
	}
	copies := make(map[uint64][]int64, len(lengths))
	for _, listed := range after {
		for _, summary := range listed.segments {
			if !summary.GetDamaged() {
				id := summary.GetSegment()
				copies[id] = append(copies[id], repairableLength(summary, summary.GetLength()))
			}
		}
	}
	result := &rockwindpb.CopiesResponse{WantedCopies: uint32(wanted), FewestCopies: uint32(wanted)}
	for id, length := range lengths {
		whole, missing := completeCopies(copies[id], length, wanted)
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

// completeCopies counts the copies of at least the given length, up to the wanted
// number, and the bytes missing from the longest incomplete ones.
func completeCopies(copies []int64, length int64, wanted int) (whole int, missing int64) {
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
