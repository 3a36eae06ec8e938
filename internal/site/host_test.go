package site_test

import (
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// TestLogsOfAllGroupsFitTheMemory verifies that the logs of the five shards of a large site's
// store, with the entries kept from before the snapshots, take less than a sixth of its memory.
func TestLogsOfAllGroupsFitTheMemory(t *testing.T) {
	const groups, megabyte = 5, 1 << 20
	for _, memory := range []uint32{64, 72, 83, 256, 304, 4096} {
		log := site.LogBytes(&rockwindpb.SiteSettings{MemoryMb: memory})
		if taken := groups * (log + log/2); taken > int64(memory)*megabyte/6 {
			t.Errorf("%d MB: the logs take %d bytes", memory, taken)
		}
		if log < megabyte {
			t.Errorf("%d MB: a snapshot every %d bytes", memory, log)
		}
	}
}
