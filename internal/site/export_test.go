package site

import "rockwind.example/rockwind/internal/directory"

// Its figures that the tests use.
const (
	WatchWait  = watchWait
	WatchGrace = watchGrace
)

// Avoid notes that a coordinator did not answer.
func (w *Watcher) Avoid(address string) { w.avoid(address) }

// Hint tells of a newer configuration.
func (w *Watcher) Hint(number uint64) { w.follower.Hint(number) }

// PreferNearest has the watcher forget which coordinator answered last.
func (w *Watcher) PreferNearest() { w.preferNearest() }

// SetDirectory replaces the directory that the watcher knows.
func (w *Watcher) SetDirectory(view *directory.View) { w.directory.Store(view) }
