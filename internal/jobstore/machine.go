// Package jobstore is the replicated state machine of one shard of a site's batch jobs. A job
// is stored as a whole, with the bodies of its items. Results are appended in the order in
// which they are recorded, so positions never change. The package is deterministic: times are
// part of the commands, and replicas that apply the same commands have the same state.
package jobstore

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/protobytes"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// ShardOf returns the shard of a job, numbered from zero.
func ShardOf(id string, shards int) uint32 {
	if shards <= 1 {
		return 0
	}
	return uint32(hash(id) % uint64(shards))
}

// RegionOf returns the region whose shard takes a job, or an empty string if there are no regions. It is
// the region with the highest hash of job and region (rendezvous hashing): the choice does not depend on the
// order of the regions, and adding or removing a region moves as few jobs as possible.
func RegionOf(id string, regions []string) string {
	chosen, highest := "", uint64(0)
	for _, region := range regions {
		score := hash(region + "\x00" + id)
		if chosen == "" || score > highest || (score == highest && region < chosen) {
			chosen, highest = region, score
		}
	}
	return chosen
}

// job is a stored job with derived indexes.
type job struct {
	stored *rockwindpb.StoredJob
	// resultNumber is the position of an item's result plus one, by item; zero if there is no
	// result.
	resultNumber []uint32
	indexByID    map[string]uint32
	// waitingTokens is the sum of the tokens of the items without a result.
	waitingTokens uint64
	// sharedBytes is the size of the bodies that share memory with the command that submitted the job, and
	// openBytes that of those among them that are still needed.
	sharedBytes, openBytes int
}

func newJob(stored *rockwindpb.StoredJob) *job {
	created := &job{
		stored:       stored,
		resultNumber: make([]uint32, len(stored.GetItems())),
		indexByID:    make(map[string]uint32, len(stored.GetItems())),
	}
	for i, item := range stored.GetItems() {
		created.indexByID[item.GetId()] = uint32(i)
		created.waitingTokens += item.GetTokens()
	}
	for i, result := range stored.GetResults() {
		created.resultNumber[result.GetItem()] = uint32(i) + 1
		created.waitingTokens -= stored.GetItems()[result.GetItem()].GetTokens()
	}
	created.waitingTokens += stored.GetMove().GetWaitingTokens()
	created.dropStaleProgress()
	return created
}

// failuresOf returns the failure count of an item, or nil.
func (j *job) failuresOf(item uint32) *rockwindpb.ItemFailures {
	for _, f := range j.stored.GetFailures() {
		if f.GetItem() == item {
			return f
		}
	}
	return nil
}

// open reports whether any item of the job may still run, here or in the shard that the job moves to or from.
func (j *job) open() bool {
	return !j.stored.GetEnded() && len(j.stored.GetResults()) < len(j.stored.GetItems())
}

// Machine is the replicated state of one shard. It is not safe for concurrent use.
type Machine struct {
	jobs map[string]*job
}

// New returns a state machine without jobs.
func New() *Machine {
	return &Machine{jobs: make(map[string]*job)}
}

// Outcome is the result of a command.
type Outcome struct {
	// Resent reports that the same job had been submitted before.
	Resent bool
	// Fault is nil if the command was applied.
	Fault *fault.Fault
}

// Apply implements replica.StateMachine. The command is an encoded JobStoreCommand; the result
// is an Outcome. The state shares memory with the command.
func (m *Machine) Apply(_ uint64, command []byte) any {
	decoded := &rockwindpb.JobStoreCommand{}
	if err := protobytes.Unmarshal(command, decoded, sharedBytes); err != nil {
		return Outcome{Fault: fault.Newf(fault.Internal, "run the same version on all stores", "cannot decode a command of a job shard: %v", err)}
	}
	switch content := decoded.GetCommand().(type) {
	case *rockwindpb.JobStoreCommand_Submit:
		return m.submit(content.Submit)
	case *rockwindpb.JobStoreCommand_Record:
		return m.record(content.Record)
	case *rockwindpb.JobStoreCommand_Failure:
		return m.fail(content.Failure)
	case *rockwindpb.JobStoreCommand_Progress:
		m.addProgress(content.Progress)
	case *rockwindpb.JobStoreCommand_End:
		return m.end(content.End)
	case *rockwindpb.JobStoreCommand_Drop:
		for _, id := range content.Drop.GetIds() {
			if j, found := m.jobs[id]; found && j.mayDrop() {
				delete(m.jobs, id)
			}
		}
	case *rockwindpb.JobStoreCommand_Stage:
		return m.stage(content.Stage)
	case *rockwindpb.JobStoreCommand_Move:
		return m.move(content.Move)
	}
	return Outcome{}
}

// submit stores a job. Submitting the same content again succeeds; other content under the same
// identifier is refused.
func (m *Machine) submit(submitted *rockwindpb.StoredJob) Outcome {
	if j, taken := m.jobs[submitted.GetId()]; taken {
		if bytes.Equal(j.stored.GetDigest(), submitted.GetDigest()) {
			if j.moveState() == arriving {
				// The copy may be discarded, so it is no proof that the job is stored.
				return Outcome{Fault: fault.Newf(fault.Unavailable, "send the job again", "job %q is being moved to this shard", submitted.GetId()).
					WithRan(fault.NotRun).WithRetryAfter(arrivingRetryAfter)}
			}
			return Outcome{Resent: true}
		}
		return Outcome{Fault: fault.Newf(fault.Conflict, "use a unique identifier for each job",
			"identifier %q is in use by another job", submitted.GetId())}
	}
	j := newJob(submitted)
	j.countSharedBodies()
	m.jobs[submitted.GetId()] = j
	return Outcome{}
}

// record appends results. Only the first result of an item is kept.
func (m *Machine) record(recorded *rockwindpb.RecordResults) Outcome {
	j, found := m.jobHere(recorded.GetJob())
	if !found {
		return Outcome{Fault: unknownJob(recorded.GetJob())}
	}
	j.changed()
	for _, result := range recorded.GetResults() {
		item := result.GetItem()
		if int(item) >= len(j.resultNumber) || j.resultNumber[item] != 0 {
			continue
		}
		j.stored.Results = append(j.stored.Results, result)
		j.resultNumber[item] = uint32(len(j.stored.GetResults()))
		j.waitingTokens -= j.stored.GetItems()[item].GetTokens()
		// An item with a result needs no body, failure count or progress.
		j.dropBody(item)
		j.dropProgress(item)
		j.stored.Failures = slices.DeleteFunc(j.stored.GetFailures(), func(f *rockwindpb.ItemFailures) bool { return f.GetItem() == item })
	}
	return Outcome{}
}

// fail counts a failed attempt of an item in the replicated state, so that the count survives a
// change of leader.
func (m *Machine) fail(failed *rockwindpb.RecordFailure) Outcome {
	j, found := m.jobHere(failed.GetJob())
	if !found {
		return Outcome{Fault: unknownJob(failed.GetJob())}
	}
	j.changed()
	item := failed.GetItem()
	if int(item) >= len(j.resultNumber) || j.resultNumber[item] != 0 {
		return Outcome{}
	}
	// The next attempt starts over.
	j.dropProgress(item)
	if counted := j.failuresOf(item); counted != nil {
		counted.Count++
		return Outcome{}
	}
	j.stored.Failures = append(j.stored.Failures, &rockwindpb.ItemFailures{Item: item, Count: 1})
	return Outcome{}
}

func (m *Machine) end(request *rockwindpb.EndStoredJobRequest) Outcome {
	j, failure := m.jobOfTenant(request.GetId(), request.GetTenant())
	if failure != nil {
		return Outcome{Fault: failure}
	}
	j.changed()
	j.stored.Ended = true
	j.stored.Progress = nil
	for _, item := range j.stored.GetItems() {
		item.Body = nil
	}
	return Outcome{}
}

func unknownJob(id string) *fault.Fault {
	return fault.Newf(fault.NotFound, "check the identifier; jobs are deleted after their retention time", "job %q not found", id)
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	snapshot := &rockwindpb.JobStoreSnapshot{}
	for _, j := range slices.SortedFunc(maps.Values(m.jobs), func(a, b *job) int {
		return cmp.Compare(a.stored.GetId(), b.stored.GetId())
	}) {
		snapshot.Jobs = append(snapshot.Jobs, j.stored)
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

// Restore implements replica.StateMachine.
func (m *Machine) Restore(snapshot []byte) error {
	decoded := &rockwindpb.JobStoreSnapshot{}
	if err := proto.Unmarshal(snapshot, decoded); err != nil {
		return fault.Newf(fault.Corrupt, "let the replica join again with an empty disk", "cannot decode a snapshot of a job shard: %v", err)
	}
	m.jobs = make(map[string]*job, len(decoded.GetJobs()))
	for _, stored := range decoded.GetJobs() {
		m.jobs[stored.GetId()] = newJob(stored)
	}
	return nil
}
