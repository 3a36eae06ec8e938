// Package jobstore is the state machine of one shard of a site's batch jobs. A
// job is taken whole, with the bodies of its items; the results of its items are
// appended in the order in which they are recorded, so that a position once
// read never changes. The package is pure: time comes in the commands, and
// replicas that apply the same commands hold the same state.
package jobstore

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Shards have numbers from zero; ShardOf tells which one holds a job.
func ShardOf(id string, shards int) uint32 {
	if shards <= 1 {
		return 0
	}
	return uint32(hash(id) % uint64(shards))
}

// job is a stored job with what is derived from it.
type job struct {
	stored *rockwindpb.StoredJob
	// position is one more than the place of an item's result, by item; zero
	// where the item has none.
	position []uint32
	// byID finds an item by its identifier.
	byID map[string]uint32
	// waiting is the tokens of the items without a result.
	waiting uint64
}

func newJob(stored *rockwindpb.StoredJob) *job {
	created := &job{
		stored:   stored,
		position: make([]uint32, len(stored.GetItems())),
		byID:     make(map[string]uint32, len(stored.GetItems())),
	}
	for i, item := range stored.GetItems() {
		created.byID[item.GetId()] = uint32(i)
		created.waiting += item.GetTokens()
	}
	for i, result := range stored.GetResults() {
		created.position[result.GetItem()] = uint32(i) + 1
		created.waiting -= stored.GetItems()[result.GetItem()].GetTokens()
	}
	created.cleanProgress()
	return created
}

// failuresOf finds the count of an item's failures, nil where there is none.
func (j *job) failuresOf(item uint32) *rockwindpb.ItemFailures {
	for _, each := range j.stored.GetFailures() {
		if each.GetItem() == item {
			return each
		}
	}
	return nil
}

// open tells whether items of the job may still run.
func (j *job) open() bool {
	return !j.stored.GetEnded() && len(j.stored.GetResults()) < len(j.stored.GetItems())
}

// Machine is the replicated state of one shard. Its owner goroutine alone may
// call it.
type Machine struct {
	jobs map[string]*job
}

// New returns a shard without jobs.
func New() *Machine {
	return &Machine{jobs: make(map[string]*job)}
}

// Outcome is the result of a command. Fault is set where it was refused.
type Outcome struct {
	// Resent tells that a submitted job had been taken before.
	Resent bool
	// Fault is nil where the command took effect.
	Fault *fault.Fault
}

// Apply implements replica.StateMachine. The command is an encoded
// JobStoreCommand; the result is an Outcome.
func (m *Machine) Apply(_ uint64, command []byte) any {
	decoded := &rockwindpb.JobStoreCommand{}
	if err := proto.Unmarshal(command, decoded); err != nil {
		return Outcome{Fault: fault.Newf(fault.Internal, "run the same version on all stores", "a command of a job shard cannot be read: %v", err)}
	}
	switch content := decoded.GetCommand().(type) {
	case *rockwindpb.JobStoreCommand_Submit:
		return m.submit(content.Submit)
	case *rockwindpb.JobStoreCommand_Record:
		return m.record(content.Record)
	case *rockwindpb.JobStoreCommand_Failure:
		return m.fail(content.Failure)
	case *rockwindpb.JobStoreCommand_Progress:
		m.progress(content.Progress)
	case *rockwindpb.JobStoreCommand_End:
		return m.end(content.End)
	case *rockwindpb.JobStoreCommand_Drop:
		for _, id := range content.Drop.GetIds() {
			delete(m.jobs, id)
		}
	}
	return Outcome{}
}

// submit takes a job once under its identifier. The same content again is
// acknowledged; other content is refused.
func (m *Machine) submit(submitted *rockwindpb.StoredJob) Outcome {
	if known, taken := m.jobs[submitted.GetId()]; taken {
		if bytes.Equal(known.stored.GetDigest(), submitted.GetDigest()) {
			return Outcome{Resent: true}
		}
		return Outcome{Fault: fault.Newf(fault.Conflict, "give each job an identifier of its own",
			"another job was taken as %q", submitted.GetId())}
	}
	m.jobs[submitted.GetId()] = newJob(submitted)
	return Outcome{}
}

// record appends results. An item keeps its first result.
func (m *Machine) record(recorded *rockwindpb.RecordResults) Outcome {
	known, found := m.jobs[recorded.GetJob()]
	if !found {
		return Outcome{Fault: unknownJob(recorded.GetJob())}
	}
	for _, result := range recorded.GetResults() {
		item := result.GetItem()
		if int(item) >= len(known.position) || known.position[item] != 0 {
			continue
		}
		known.stored.Results = append(known.stored.Results, result)
		known.position[item] = uint32(len(known.stored.GetResults()))
		known.waiting -= known.stored.GetItems()[item].GetTokens()
		// The body has served its purpose, and so have the failures and the progress.
		known.stored.Items[item].Body = nil
		known.dropProgress(item)
		known.stored.Failures = slices.DeleteFunc(known.stored.GetFailures(), func(each *rockwindpb.ItemFailures) bool { return each.GetItem() == item })
	}
	return Outcome{}
}

// fail counts a failed try of an item, so that a later leader does not begin anew.
func (m *Machine) fail(failed *rockwindpb.RecordFailure) Outcome {
	known, found := m.jobs[failed.GetJob()]
	if !found {
		return Outcome{Fault: unknownJob(failed.GetJob())}
	}
	item := failed.GetItem()
	if int(item) >= len(known.position) || known.position[item] != 0 {
		return Outcome{}
	}
	// The output of a failed run is not gone on with.
	known.dropProgress(item)
	if counted := known.failuresOf(item); counted != nil {
		counted.Count++
		return Outcome{}
	}
	known.stored.Failures = append(known.stored.Failures, &rockwindpb.ItemFailures{Item: item, Count: 1})
	return Outcome{}
}

func (m *Machine) end(request *rockwindpb.EndStoredJobRequest) Outcome {
	known, failure := m.owned(request.GetId(), request.GetTenant())
	if failure != nil {
		return Outcome{Fault: failure}
	}
	known.stored.Ended = true
	known.stored.Progress = nil
	for _, item := range known.stored.GetItems() {
		item.Body = nil
	}
	return Outcome{}
}

func unknownJob(id string) *fault.Fault {
	return fault.Newf(fault.NotFound, "check the identifier; jobs are kept for a bounded time", "there is no job %q", id)
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	snapshot := &rockwindpb.JobStoreSnapshot{}
	for _, known := range slices.SortedFunc(maps.Values(m.jobs), func(a, b *job) int {
		return cmp.Compare(a.stored.GetId(), b.stored.GetId())
	}) {
		snapshot.Jobs = append(snapshot.Jobs, known.stored)
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

// Restore implements replica.StateMachine.
func (m *Machine) Restore(snapshot []byte) error {
	decoded := &rockwindpb.JobStoreSnapshot{}
	if err := proto.Unmarshal(snapshot, decoded); err != nil {
		return fault.Newf(fault.Corrupt, "let the replica join again with an empty disk", "a snapshot of a job shard cannot be read: %v", err)
	}
	m.jobs = make(map[string]*job, len(decoded.GetJobs()))
	for _, stored := range decoded.GetJobs() {
		m.jobs[stored.GetId()] = newJob(stored)
	}
	return nil
}
