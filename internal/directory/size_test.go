package directory_test

import (
	"fmt"
	"runtime"
	"testing"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// sizes are how many servers the directories of the benchmarks have.
var sizes = []int{300, 1000, 3000, 10_000, 20_000}

func serverAt(place int, revision uint64) *rockwindpb.Server {
	return &rockwindpb.Server{
		Id: fmt.Sprint("server-", place), Service: "app", Address: fmt.Sprintf("10.%d.%d.1:80", place/250, place%250),
		State: ready, Revision: revision, Sequence: revision,
	}
}

// watched is what a watcher of so many servers holds.
func watched(size int) *directory.View {
	full := &rockwindpb.WatchDirectoryResponse{Revision: uint64(size), Full: true}
	for place := range size {
		full.Servers = append(full.Servers, serverAt(place, uint64(place)+1))
	}
	return directory.Merge(nil, full)
}

// follow has a watcher take a change of one server, and look what is other than before.
func follow(held *directory.View, place int) *directory.View {
	revision := held.Revision() + 1
	news := &rockwindpb.WatchDirectoryResponse{Revision: revision, Servers: []*rockwindpb.Server{serverAt(place, revision)}}
	merged := directory.Merge(held, news)
	if len(merged.ChangeFrom(held).Servers()) != 1 {
		panic("a change of one server is not seen as one")
	}
	return merged
}

// TestAChangeCostsAWatcherTheSameAtAnySize: a site of 1,000 processes has each change of its
// servers taken by all of them, so that what each spends must not grow with the servers.
func TestAChangeCostsAWatcherTheSameAtAnySize(t *testing.T) {
	const changes = 200
	bytesOf := func(size int) uint64 {
		held := watched(size)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for change := range changes {
			held = follow(held, change*size/changes)
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / changes
	}
	small, large := bytesOf(1000), bytesOf(20_000)
	t.Logf("bytes a change: %d at 1,000 servers, %d at 20,000", small, large)
	if large > 2*small {
		t.Errorf("a change allocates %d bytes at 1,000 servers and %d at 20,000", small, large)
	}
}

// BenchmarkChangeAtWatcher is a change of one server at a watcher.
func BenchmarkChangeAtWatcher(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			held := watched(size)
			b.ReportAllocs()
			for place := 0; b.Loop(); place++ {
				held = follow(held, place%size)
			}
		})
	}
}

// BenchmarkChangeAtCoordinator is a report that changes a server, the view of it, and what one
// watcher is told.
func BenchmarkChangeAtCoordinator(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			d := directory.New()
			for place := range size {
				d.Apply(report(fmt.Sprint("server-", place), fmt.Sprint("address-", place), ready, 1))
			}
			view := d.View()
			b.ReportAllocs()
			for change := 0; b.Loop(); change++ {
				command := report(fmt.Sprint("server-", change%size), fmt.Sprint("address-", change%size), ready, uint64(change)+2)
				command.GetReport().Slots = uint32(change) + 1
				d.Apply(command)
				next := d.View()
				if told := next.Since(view.Revision(), ""); len(told.GetServers()) != 1 {
					b.Fatalf("a watcher is told %d servers", len(told.GetServers()))
				}
				view = next
			}
		})
	}
}

// TestReplicaThatIsBehindTellsNothing: watchers that look for a nearer coordinator ask several, of which
// some are a commit behind while servers come and go. Each of them told the whole directory, which the
// watcher did not take: 1 MB at 10,000 servers.
func TestReplicaThatIsBehindTellsNothing(t *testing.T) {
	behind, held := watched(100), follow(watched(100), 7)
	told := behind.Since(held.Revision(), "")
	if told.GetFull() || len(told.GetServers()) > 0 || told.GetRevision() != behind.Revision() {
		t.Errorf("a replica at revision %d tells a watcher at %d: full %v, %d servers", behind.Revision(), held.Revision(), told.GetFull(), len(told.GetServers()))
	}
	if directory.Merge(held, told) != held {
		t.Error("a watcher takes what is older than what it holds")
	}
}
