package segment

import (
	"slices"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// maximumReportAge is how old a shard's last report may be when a segment is
	// removed.
	maximumReportAge = 5 * time.Minute
	// minimumUnpinnedTime is how long no report may have named a segment before it is
	// removed. It covers inputs that move from a file to a job between two reports.
	minimumUnpinnedTime = time.Hour
	// openAgeSlack covers commits that start just before their segment reaches
	// OpenAge.
	openAgeSlack = time.Minute
)

// retention holds the job shards' reports of what they still refer to. It is not
// stored on disk: after a start nothing is removed for minimumUnpinnedTime.
type retention struct {
	shards  uint32
	reports map[uint32]shardReport
	// pinned is when each segment was last reported to hold inputs.
	pinned map[uint64]time.Time
}

type shardReport struct {
	first        time.Time
	last         time.Time
	oldestUnixMs int64
}

// retain records the report of one shard.
func (n *Node) retain(request *rockwindpb.RetainSegmentsRequest) {
	now := n.options.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.retention.shards = max(n.retention.shards, request.GetShards())
	report := n.retention.reports[request.GetShard()]
	if now.Sub(report.last) > maximumReportAge {
		report.first = now
	}
	report.last = now
	report.oldestUnixMs = request.GetOldestUnixMs()
	n.retention.reports[request.GetShard()] = report
	for _, segment := range request.GetInputSegments() {
		n.retention.pinned[segment] = now
	}
	for segment, last := range n.retention.pinned {
		if now.Sub(last) > minimumUnpinnedTime {
			delete(n.retention.pinned, segment)
		}
	}
}

// removable reports whether no live reference into a segment can exist: all shards
// have reported without a break for minimumUnpinnedTime, none of them named it in
// that time, and its last append is older than the oldest reference of each.
func (n *Node) removable(segment uint64, createdUnixMs int64) bool {
	now := n.options.Now()
	lastAppend := time.UnixMilli(createdUnixMs).Add(n.options.OpenAge + openAgeSlack)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.retention.shards == 0 {
		return false
	}
	if pinned, named := n.retention.pinned[segment]; named && now.Sub(pinned) <= minimumUnpinnedTime {
		return false
	}
	for shard := uint32(1); shard <= n.retention.shards; shard++ {
		report := n.retention.reports[shard]
		current := now.Sub(report.last) <= maximumReportAge && now.Sub(report.first) > minimumUnpinnedTime
		if !current || lastAppend.UnixMilli() >= report.oldestUnixMs {
			return false
		}
	}
	return true
}

// removeUnused removes the sealed segments without live references. All machines
// decide by the same reports and the creation time in the segment header, so
// repair does not keep copying a removed segment back.
func (n *Node) removeUnused() {
	unused := slices.DeleteFunc(n.store.all(), func(local *localSegment) bool {
		return !local.state().sealed || !n.removable(local.header.segment, local.header.createdUnixMs)
	})
	for _, local := range unused {
		if err := n.store.remove(local); err != nil {
			log.WithError(err).Warn("cannot remove segment")
			continue
		}
		n.updateStatistics(func(counted *statistics) { counted.removed++ })
	}
}
