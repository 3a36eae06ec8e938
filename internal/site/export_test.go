package site

import (
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Constants for tests.
const (
	WatchWait  = watchWait
	WatchGrace = watchGrace

	RouterGCPercent = routerGCPercent
	StoreGCPercent  = storeGCPercent
)

// Avoid is avoid for tests.
func (w *Watcher) Avoid(address string) { w.avoid(address) }

// Hint passes a hint to the follower of the configuration.
func (w *Watcher) Hint(number uint64) { w.follower.Hint(number) }

// PreferNearest is clearPreferred for tests.
func (w *Watcher) PreferNearest() { w.clearPreferred() }

// SetDirectory replaces the watcher's directory.
func (w *Watcher) SetDirectory(view *directory.View) { w.directory.Store(view) }

// GCPercent is gcPercent for tests.
func GCPercent(settings *rockwindpb.SiteSettings) int { return gcPercent(settings) }
