package ledgercost

import (
	"context"
	"os"
	"path/filepath"

	"rockwind.example/rockwind/internal/bench/fleet"
)

// logWatcher sums the bytes that a process appends to its log, including segments
// deleted meanwhile.
type logWatcher struct {
	folder string
	before map[string]int64
	sizes  map[string]int64
	cancel context.CancelFunc
	done   chan struct{}
}

// startLogWatcher polls the log folder until stop is called.
func startLogWatcher(ctx context.Context, process *fleet.Process) *logWatcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &logWatcher{
		folder: filepath.Join(process.Folder, groupsFolder, logFolder),
		before: map[string]int64{},
		sizes:  map[string]int64{},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	w.scan(w.before)
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			w.scan(w.sizes)
			pause(ctx)
		}
		w.scan(w.sizes)
	}()
	return w
}

// scan records the sizes of the segments, which only grow.
func (w *logWatcher) scan(sizes map[string]int64) {
	// Without a readable folder the sizes stay as they are.
	entries, _ := os.ReadDir(w.folder)
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil {
			sizes[entry.Name()] = max(sizes[entry.Name()], info.Size())
		}
	}
}

// stop returns the bytes appended since the start.
func (w *logWatcher) stop() int64 {
	w.cancel()
	<-w.done
	total := int64(0)
	for name, size := range w.sizes {
		total += size - w.before[name]
	}
	return total
}
