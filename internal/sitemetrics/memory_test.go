package sitemetrics_test

import (
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/sitemetrics"
)

// TestScrapeShowsTheMemoryOfAStore guards against sizes that a scrape exchanges or leaves out.
func TestScrapeShowsTheMemoryOfAStore(t *testing.T) {
	set := newSet("store")
	set.StoreMemory(func() sitemetrics.StoreMemory {
		return sitemetrics.StoreMemory{
			MemoryUse: replica.MemoryUse{Log: map[uint32]int64{3: 10}, Encoded: 11, Sent: 12, Received: 13},
			Shards:    map[uint32]sitemetrics.ShardMemory{3: {Bodies: 14, Results: 15, PartialOutputs: 16}},
		}
	})
	page := scrape(set)
	for _, want := range []string{
		`rockwind_log_memory_bytes{group="3"} 10`, `rockwind_snapshot_memory_bytes{use="saved"} 11`,
		`rockwind_snapshot_memory_bytes{use="sent"} 12`, `rockwind_snapshot_memory_bytes{use="received"} 13`,
		`rockwind_job_memory_bytes{content="bodies",group="3"} 14`, `rockwind_job_memory_bytes{content="results",group="3"} 15`,
		`rockwind_job_memory_bytes{content="partial_outputs",group="3"} 16`,
	} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
}
