package control

import (
	"context"
	"slices"
	"strings"
	"sync"

	"rockwind.example/rockwind/internal/ledger"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// demandNotifier publishes the demand of a shard, so that calls that wait for work
// do not read the ledger.
type demandNotifier struct {
	mutex    sync.Mutex
	snapshot *demandSnapshot
	changed  chan struct{}
}

// demandSnapshot is the demand of a shard at one time. It is immutable.
type demandSnapshot struct {
	entries []ledger.Demand
}

func newDemandNotifier() *demandNotifier {
	return &demandNotifier{snapshot: &demandSnapshot{}, changed: make(chan struct{})}
}

// publish replaces the snapshot and notifies waiting calls if there is more work
// than before.
func (n *demandNotifier) publish(next *demandSnapshot) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	hasMore := next.hasMoreWorkThan(n.snapshot)
	n.snapshot = next
	if hasMore {
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

// current returns the latest snapshot.
func (n *demandNotifier) current() *demandSnapshot {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.snapshot
}

// nextChange returns a channel that is closed when work is added.
func (n *demandNotifier) nextChange() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.changed
}

// forwardChanges sends to wake after each change until ctx is done. It gets the
// channel of the next change before it sends, so that no change is missed.
func (n *demandNotifier) forwardChanges(ctx context.Context, changed <-chan struct{}, wake chan<- struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		changed = n.nextChange()
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// waiting returns the number of waiting items of a group and model.
func (s *demandSnapshot) waiting(group, model string) uint64 {
	for _, entry := range s.entries {
		if entry.Group == group && entry.Model == model {
			return entry.Waiting
		}
	}
	return 0
}

// hasMoreWorkThan reports whether any group and model has more waiting items than
// before.
func (s *demandSnapshot) hasMoreWorkThan(before *demandSnapshot) bool {
	return slices.ContainsFunc(s.entries, func(entry ledger.Demand) bool {
		return entry.Waiting > before.waiting(entry.Group, entry.Model)
	})
}

// matches reports whether there may be work for a request.
func (s *demandSnapshot) matches(request *rockwindpb.AcquireLeasesRequest) bool {
	return slices.ContainsFunc(s.entries, func(entry ledger.Demand) bool {
		return entry.Waiting > 0 && allowsGroup(request, entry.Group) && allowsModel(request, entry.Model)
	})
}

func allowsGroup(request *rockwindpb.AcquireLeasesRequest, group string) bool {
	return len(request.GetGroups()) == 0 || slices.Contains(request.GetGroups(), group)
}

func allowsModel(request *rockwindpb.AcquireLeasesRequest, model string) bool {
	base, _, _ := strings.Cut(model, ":")
	return slices.Contains(request.GetModels(), model) || slices.Contains(request.GetModels(), base)
}
