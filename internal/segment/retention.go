package segment

import (
	"slices"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// reportFresh is how old a shard's report may be when a segment is removed.
	reportFresh = 5 * time.Minute
	// unpinnedFor is how long a segment must not have been named by any report,
	// so that an input which passes from a file to a job in between is not lost.
	unpinnedFor = time.Hour
	// openAgeSlack covers a commit that began just before its segment grew too
	// old.
	openAgeSlack = time.Minute
)

// retention is what the job shards said they still refer to. It is not kept on
// disk: after a start nothing is removed for unpinnedFor.
type retention struct {
	shards  uint32
	reports map[uint32]shardReport
	// pinned holds when each segment was last named as holding inputs.
	pinned map[uint64]time.Time
}

type shardReport struct {
	first        time.Time
	last         time.Time
	oldestUnixMs int64
}

// retain takes the report of one shard.
func (n *Node) retain(request *rockwindpb.RetainSegmentsRequest) {
	now := n.options.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.retention.shards = max(n.retention.shards, request.GetShards())
	report := n.retention.reports[request.GetShard()]
	if now.Sub(report.last) > reportFresh {
		report.first = now
	}
	report.last = now
	report.oldestUnixMs = request.GetOldestUnixMs()
	n.retention.reports[request.GetShard()] = report
	for _, segment := range request.GetInputSegments() {
		n.retention.pinned[segment] = now
	}
	for segment, last := range n.retention.pinned {
		if now.Sub(last) > unpinnedFor {
			delete(n.retention.pinned, segment)
		}
	}
}

// removable tells whether no live reference into a segment can exist: all shards
// have reported without a break for as long as a segment must be unpinned, none
// of them named it, and its last append lies before the oldest reference of each.
func (n *Node) removable(segment uint64, createdUnixMs int64) bool {
	now := n.options.Now()
	lastAppend := time.UnixMilli(createdUnixMs).Add(n.options.OpenAge + openAgeSlack)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.retention.shards == 0 {
		return false
	}
	if pinned, named := n.retention.pinned[segment]; named && now.Sub(pinned) <= unpinnedFor {
		return false
	}
	for shard := uint32(1); shard <= n.retention.shards; shard++ {
		report := n.retention.reports[shard]
		current := now.Sub(report.last) <= reportFresh && now.Sub(report.first) > unpinnedFor
		if !current || lastAppend.UnixMilli() >= report.oldestUnixMs {
			return false
		}
	}
	return true
}

// removeUnused removes the sealed segments into which no live reference exists.
// Every machine goes by the same reports and by the creation time, which is part
// of the segment, so a removed segment is not copied back for long.
func (n *Node) removeUnused() {
	unused := slices.DeleteFunc(n.store.all(), func(held *localSegment) bool {
		return !held.extent().sealed || !n.removable(held.header.segment, held.header.createdUnixMs)
	})
	for _, held := range unused {
		if err := n.store.remove(held); err != nil {
			log.WithError(err).Warn("cannot remove a segment")
			continue
		}
		n.count(func(counted *statistics) { counted.removed++ })
	}
}
