package control

import (
	"context"
	"slices"
	"strings"
	"sync"

	"rockwind.example/rockwind/internal/ledger"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// workBoard shows what work a shard has, so that calls that wait for work need
// not ask the ledger. Its keeper replaces what it shows.
type workBoard struct {
	mutex   sync.Mutex
	shown   *workView
	changed chan struct{}
}

// workView is the work of a shard at one moment; it is immutable.
type workView struct {
	demand []ledger.Demand
}

func newWorkBoard() *workBoard {
	return &workBoard{shown: &workView{}, changed: make(chan struct{})}
}

// show replaces the view and wakes the calls that wait where work was added.
func (b *workBoard) show(next *workView) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	grown := next.grewSince(b.shown)
	b.shown = next
	if grown {
		close(b.changed)
		b.changed = make(chan struct{})
	}
}

// current returns the view.
func (b *workBoard) current() *workView {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.shown
}

func (b *workBoard) next() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.changed
}

// follow passes changes after the given one on to wake until the context ends.
// It takes the next channel before it wakes, so that no change is missed.
func (b *workBoard) follow(ctx context.Context, changed <-chan struct{}, wake chan<- struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		changed = b.next()
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// waiting returns the items that wait for a group and model.
func (v *workView) waiting(group, model string) uint64 {
	for _, entry := range v.demand {
		if entry.Group == group && entry.Model == model {
			return entry.Waiting
		}
	}
	return 0
}

// grewSince tells whether some kind of work has more items than before.
func (v *workView) grewSince(before *workView) bool {
	return slices.ContainsFunc(v.demand, func(entry ledger.Demand) bool {
		return entry.Waiting > before.waiting(entry.Group, entry.Model)
	})
}

// matches tells whether there may be work for a request.
func (v *workView) matches(request *rockwindpb.AcquireLeasesRequest) bool {
	return slices.ContainsFunc(v.demand, func(entry ledger.Demand) bool {
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
