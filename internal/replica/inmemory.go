package replica

import (
	"context"
	"sync"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// InMemoryGroup is a group with a single replica in memory, for tests and the
// simulator. Nothing survives a restart.
type InMemoryGroup struct {
	mutex   sync.Mutex
	machine StateMachine
	index   uint64
	applied chan struct{}
}

// NewInMemoryGroup returns a group that applies commands to machine immediately.
func NewInMemoryGroup(machine StateMachine) *InMemoryGroup {
	return &InMemoryGroup{machine: machine, applied: make(chan struct{})}
}

// Propose implements Group.
func (l *InMemoryGroup) Propose(_ context.Context, command []byte) (any, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.index++
	result := l.machine.Apply(l.index, command)
	publishState(l.machine)
	close(l.applied)
	l.applied = make(chan struct{})
	return result, nil
}

// AwaitSynced implements Group.
func (l *InMemoryGroup) AwaitSynced(context.Context) error { return nil }

// Read implements Group.
func (l *InMemoryGroup) Read(_ context.Context, view func()) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	view()
	return nil
}

// ReadLocal implements Group.
func (l *InMemoryGroup) ReadLocal(ctx context.Context, view func()) error {
	return l.Read(ctx, view)
}

// Leading implements Group.
func (l *InMemoryGroup) Leading() (uint64, bool) {
	return 1, true
}

// Following implements Group.
func (l *InMemoryGroup) Following() bool { return false }

// Status implements Group.
func (l *InMemoryGroup) Status() *rockwindpb.GroupStatus {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return &rockwindpb.GroupStatus{Term: 1, Commit: l.index, Applied: l.index, Last: l.index, Voter: true}
}

// Applied implements Group.
func (l *InMemoryGroup) Applied() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.applied
}

var _ Group = (*InMemoryGroup)(nil)
