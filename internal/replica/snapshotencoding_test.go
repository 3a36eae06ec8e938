package replica

import (
	"testing"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/wal/faultfs"
)

// unencodable is a state machine whose state cannot be encoded.
type unencodable struct {
	StateMachine
	attempts int
}

// Snapshot implements StateMachine.
func (u *unencodable) Snapshot() ([]byte, error) {
	u.attempts++
	return nil, errors.New("not encodable")
}

// TestFailedEncodingDoesNotBlockSnapshots guards against a state that cannot be encoded and then prevents the
// snapshots of all groups of the host, so that their logs grow without a bound.
func TestFailedEncodingDoesNotBlockSnapshots(t *testing.T) {
	machine := &unencodable{}
	host, err := NewHost(Options{
		Machine: "a", Address: "a", Folder: "data", FileSystem: faultfs.New(),
		StateMachines: func(uint32) StateMachine { return machine },
	})
	if err != nil {
		t.Fatal(err)
	}
	for attempt := 1; attempt <= 2; attempt++ {
		o := &owner{host: host, id: uint32(attempt), machine: machine, stored: host.log.Group(uint32(attempt)), applied: 1}
		o.snapshotRequested.Store(true)
		if err := o.maybeSnapshot(); err == nil || machine.attempts != attempt {
			t.Fatalf("attempt %d: error %v after %d encodings", attempt, err, machine.attempts)
		}
	}
	if host.encodingSnapshot.Load() {
		t.Error("the host still encodes a snapshot")
	}
}
