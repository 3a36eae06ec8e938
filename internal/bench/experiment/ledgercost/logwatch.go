package ledgercost

import (
	"context"
	"os"
	"path/filepath"

	"rockwind.example/rockwind/internal/bench/fleet"
)

// logWatch sums the bytes that a process appends to its log, segments that are
// removed meanwhile included.
type logWatch struct {
	folder string
	before map[string]int64
	sizes  map[string]int64
	cancel context.CancelFunc
	done   chan struct{}
}

// startLogWatch looks at the folder until stop is called.
func startLogWatch(ctx context.Context, process *fleet.Process) *logWatch {
	ctx, cancel := context.WithCancel(ctx)
	w := &logWatch{
		folder: filepath.Join(process.Folder, groupsFolder, logFolder),
		before: map[string]int64{},
		sizes:  map[string]int64{},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	w.look(w.before)
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			w.look(w.sizes)
			pause(ctx)
		}
		w.look(w.sizes)
	}()
	return w
}

// look notes the sizes of the segments. Segments only grow.
func (w *logWatch) look(sizes map[string]int64) {
	// A folder that cannot be read leaves the sizes as they are.
	entries, _ := os.ReadDir(w.folder)
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil {
			sizes[entry.Name()] = max(sizes[entry.Name()], info.Size())
		}
	}
}

// stop returns the bytes appended since the start.
func (w *logWatch) stop() int64 {
	w.cancel()
	<-w.done
	total := int64(0)
	for name, size := range w.sizes {
		total += size - w.before[name]
	}
	return total
}
