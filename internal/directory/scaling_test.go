package directory_test

import (
	"fmt"
	"runtime"
	"testing"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// sizes are the numbers of servers in the benchmarks.
var sizes = []int{300, 1000, 3000, 10_000, 20_000}

func serverAt(place int, revision uint64) *rockwindpb.Server {
	return &rockwindpb.Server{
		Id: fmt.Sprint("server-", place), Service: "app", Address: fmt.Sprintf("10.%d.%d.1:80", place/250, place%250),
		State: ready, Revision: revision, Sequence: revision,
	}
}

// newWatcherView returns the view of a watcher that knows size servers.
func newWatcherView(size int) *directory.View {
	full := &rockwindpb.WatchDirectoryResponse{Revision: uint64(size), Full: true}
	for place := range size {
		full.Servers = append(full.Servers, serverAt(place, uint64(place)+1))
	}
	return directory.Merge(nil, full)
}

// applyChange merges a change of one server into a watcher's view and computes the difference.
func applyChange(held *directory.View, place int) *directory.View {
	revision := held.Revision() + 1
	news := &rockwindpb.WatchDirectoryResponse{Revision: revision, Servers: []*rockwindpb.Server{serverAt(place, revision)}}
	merged := directory.Merge(held, news)
	if len(merged.ChangeFrom(held).Servers()) != 1 {
		panic("expected one changed server")
	}
	return merged
}

// TestAChangeCostsAWatcherTheSameAtAnySize guards against watcher cost per change that grows
// with the number of servers.
func TestAChangeCostsAWatcherTheSameAtAnySize(t *testing.T) {
	const changes = 200
	bytesOf := func(size int) uint64 {
		held := newWatcherView(size)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for change := range changes {
			held = applyChange(held, change*size/changes)
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / changes
	}
	small, large := bytesOf(1000), bytesOf(20_000)
	t.Logf("bytes allocated per change: %d at 1,000 servers, %d at 20,000", small, large)
	if large > 2*small {
		t.Errorf("a change allocates %d bytes at 1,000 servers and %d at 20,000", small, large)
	}
}

// BenchmarkChangeAtWatcher measures a change of one server at a watcher.
func BenchmarkChangeAtWatcher(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			held := newWatcherView(size)
			b.ReportAllocs()
			for place := 0; b.Loop(); place++ {
				held = applyChange(held, place%size)
			}
		})
	}
}

// BenchmarkChangeAtCoordinator measures a report that changes a server, the resulting view, and
// the response to one watcher.
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
				if response := next.Since(view.Revision(), ""); len(response.GetServers()) != 1 {
					b.Fatalf("the response has %d servers, want 1", len(response.GetServers()))
				}
				view = next
			}
		})
	}
}

// TestLaggingReplicaSendsNoDirectory guards against a lagging replica sending the whole
// directory to a watcher that knows a newer revision.
func TestLaggingReplicaSendsNoDirectory(t *testing.T) {
	behind, held := newWatcherView(100), applyChange(newWatcherView(100), 7)
	response := behind.Since(held.Revision(), "")
	if response.GetFull() || len(response.GetServers()) > 0 || response.GetRevision() != behind.Revision() {
		t.Errorf("replica at revision %d sends a watcher at revision %d: full %v, %d servers", behind.Revision(), held.Revision(), response.GetFull(), len(response.GetServers()))
	}
	if directory.Merge(held, response) != held {
		t.Error("the watcher accepted an older revision")
	}
}
