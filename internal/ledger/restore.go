package ledger

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// maximumFence is larger than any fence that a shard reaches by granting leases.
const maximumFence = 1 << 62

// Restore replaces the state with that of a snapshot. It validates the invariants that
// commands rely on. If the snapshot is invalid, it fails with fault.Corrupt and leaves
// the state unchanged.
func (l *Ledger) Restore(snapshot []byte) error {
	decoded := &rockwindpb.LedgerSnapshot{}
	if err := proto.Unmarshal(snapshot, decoded); err != nil {
		return corruptSnapshot(err)
	}
	restored, err := l.restoreState(decoded)
	if err != nil {
		return corruptSnapshot(err)
	}
	l.state = restored
	return nil
}

func corruptSnapshot(cause error) error {
	return errors.WithStack(fault.New(fault.Corrupt, "the snapshot of a job shard is corrupt: "+cause.Error(),
		"delete the data of this replica and let it rejoin"))
}

func (l *Ledger) restoreState(decoded *rockwindpb.LedgerSnapshot) (state, error) {
	restored := newState()
	if decoded.Version != snapshotVersion || decoded.Shard != l.shard {
		return restored, errors.Newf("unexpected version %d or shard %d", decoded.Version, decoded.Shard)
	}
	if decoded.Fence > maximumFence {
		return restored, errors.Newf("fence %d", decoded.Fence)
	}
	restored.fence = decoded.Fence
	restored.lastGroup = decoded.LastGroup
	for _, saved := range decoded.Jobs {
		if err := l.restoreJob(&restored, saved); err != nil {
			return restored, errors.Wrapf(err, "job %q", saved.GetJob().GetId())
		}
	}
	for _, saved := range decoded.Files {
		if err := restored.restoreFile(saved); err != nil {
			return restored, err
		}
	}
	for _, saved := range decoded.Records {
		if err := restored.restoreRecord(saved); err != nil {
			return restored, err
		}
	}
	return restored, nil
}

// restoreJob validates a job and adds it to the state and the indexes.
func (l *Ledger) restoreJob(into *state, saved *rockwindpb.LedgerJob) error {
	if failure := l.checkSubmitted(saved.GetJob()); failure != nil {
		return failure
	}
	if _, exists := into.jobs[saved.Job.Id]; exists {
		return errors.New("duplicate job")
	}
	restored, err := buildJob(saved, into.fence)
	if err != nil {
		return err
	}
	into.addJob(restored)
	into.waiting.update(restored)
	if !restored.running() {
		into.endedJobs.add(restored.definition.EndedUnixMs, restored.definition.Id)
	}
	for fence, current := range restored.leases {
		into.leaseExpiries.add(current.expires, leaseKey{jobID: restored.definition.Id, fence: fence})
	}
	return nil
}

func buildJob(saved *rockwindpb.LedgerJob, lastFence uint64) (*job, error) {
	restored := newJob(saved.Job)
	for _, step := range []func() error{
		func() error { return restored.restoreResults(saved) },
		func() error { return restored.restoreItems(saved, lastFence) },
		func() error { return restored.restoreSamples(saved.Samples) },
	} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return restored, nil
}

func (j *job) restoreResults(saved *rockwindpb.LedgerJob) error {
	for _, sealed := range saved.Sealed {
		if err := j.restoreSealed(sealed); err != nil {
			return err
		}
	}
	for _, chunk := range saved.Results {
		if err := j.restoreChunk(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (j *job) restoreSealed(sealed *rockwindpb.SealedResults) error {
	number := sealed.FirstItem / BlockItems
	invalid := sealed.FirstItem%BlockItems != 0 || sealed.FirstItem >= j.definition.ItemCount ||
		sealed.ItemCount != j.results.blockSize(number) || sealed.Index == nil
	if invalid || j.results.blocks[number].sealed != nil {
		return errors.Newf("invalid sealed block at item %d", sealed.FirstItem)
	}
	j.results.blocks[number].sealed = sealed.Index
	return nil
}

func (j *job) restoreChunk(chunk *rockwindpb.LedgerResults) error {
	invalid := func() error { return errors.Newf("invalid results at item %d", chunk.FirstItem) }
	if chunk.FirstItem%chunkItems != 0 || chunk.FirstItem >= j.definition.ItemCount {
		return invalid()
	}
	block := chunk.FirstItem / BlockItems
	index := chunk.FirstItem % BlockItems / chunkItems
	if chunk.ItemCount != j.results.chunkSize(block, index) || j.results.blocks[block].sealed != nil {
		return invalid()
	}
	if existing := j.results.blocks[block].chunks; existing != nil && existing[index].recorded > 0 {
		return invalid()
	}
	results, err := unpackResults(chunk.Packed, chunk.ItemCount)
	if err != nil {
		return err
	}
	for offset, stored := range results {
		if stored.recorded() && !stored.final() {
			return invalid()
		}
		if stored.recorded() {
			j.results.put(chunk.FirstItem+uint32(offset), stored)
		}
	}
	return nil
}

// restoreItems restores the item sets, leases and tries of a running job. An ended job
// has none of them.
func (j *job) restoreItems(saved *rockwindpb.LedgerJob, lastFence uint64) error {
	if j.definition.Completed > j.definition.ItemCount || j.definition.Failed > j.definition.ItemCount {
		return errors.New("invalid number of results")
	}
	if !j.running() {
		return j.restoreEnded(saved)
	}
	j.done = append(j.done[:0], saved.Done...)
	if !j.done.valid(j.definition.ItemCount) || j.done.count() != j.recorded() || j.recorded() >= j.definition.ItemCount {
		return errors.New("invalid set of done items")
	}
	if err := j.checkDoneItems(); err != nil {
		return err
	}
	for _, current := range saved.Leases {
		if err := j.restoreLease(current, lastFence); err != nil {
			return err
		}
	}
	for _, tried := range saved.Tries {
		if tried.Item >= j.definition.ItemCount || j.done.has(tried.Item) {
			return errors.Newf("invalid tries of item %d", tried.Item)
		}
		j.tries[tried.Item] = tried.Tries
	}
	j.waiting = j.definition.ItemCount - j.recorded() - j.leased.count()
	return nil
}

func (j *job) restoreEnded(saved *rockwindpb.LedgerJob) error {
	ended := j.definition.State == rockwindpb.JobState_JOB_STATE_COMPLETED ||
		j.definition.State == rockwindpb.JobState_JOB_STATE_CANCELLED
	if !ended || len(saved.Done)+len(saved.Leases)+len(saved.Tries) > 0 {
		return errors.New("invalid state of an ended job")
	}
	j.done = nil
	j.leased = nil
	j.leases = nil
	j.tries = nil
	j.waiting = 0
	return nil
}

// checkDoneItems checks that the set of done items matches the results.
func (j *job) checkDoneItems() error {
	for number := range j.results.blocks {
		block := &j.results.blocks[number]
		first := uint32(number) * BlockItems
		size := j.results.blockSize(uint32(number))
		recorded := block.recorded
		if block.sealed != nil {
			recorded = size
			block.recorded = size
		}
		if j.done.countBlock(first, size) != recorded {
			return errors.Newf("the results of the block at item %d do not match the set of done items", first)
		}
	}
	return j.checkResultItems()
}

// checkResultItems checks that each item with a result in memory is marked as done.
func (j *job) checkResultItems() error {
	for number := range j.results.blocks {
		for index := range j.results.blocks[number].chunks {
			size := j.results.chunkSize(uint32(number), uint32(index))
			first := uint32(number)*BlockItems + uint32(index)*chunkItems
			for offset, stored := range j.results.blocks[number].chunks[index].read(size) {
				if stored.recorded() && !j.done.has(first+uint32(offset)) {
					return errors.Newf("item %d has a result but is not marked as done", first+uint32(offset))
				}
			}
		}
	}
	return nil
}

func (j *job) restoreLease(saved *rockwindpb.LedgerLease, lastFence uint64) error {
	invalid := errors.Newf("lease %d", saved.Fence)
	end := uint64(saved.FirstItem) + uint64(saved.ItemCount)
	if saved.Fence > lastFence || end > uint64(j.definition.ItemCount) || saved.ItemCount == 0 {
		return invalid
	}
	held := bitmap(saved.Held)
	if _, exists := j.leases[saved.Fence]; exists || !held.valid(saved.ItemCount) {
		return invalid
	}
	restored := &lease{
		fence:     saved.Fence,
		firstItem: saved.FirstItem,
		itemCount: saved.ItemCount,
		holder:    saved.Holder,
		expires:   saved.ExpiresUnixMs,
		held:      held.clone(),
	}
	for _, item := range restored.heldItems() {
		if j.done.has(item) || j.leased.has(item) {
			return invalid
		}
		j.leased.add(item)
	}
	j.leases[saved.Fence] = restored
	return nil
}

func (j *job) restoreSamples(saved []*rockwindpb.LedgerSample) error {
	if len(saved) > 2 {
		return errors.New("samples")
	}
	for _, measured := range saved {
		j.samples.samples = append(j.samples.samples, sample{unixMs: measured.UnixMs, recorded: measured.Recorded})
	}
	return nil
}

func (s *state) restoreFile(saved *rockwindpb.LedgerFile) error {
	id := saved.GetFile().GetId()
	if _, exists := s.files[id]; exists || id == "" {
		return errors.Newf("duplicate or empty file identifier %q", id)
	}
	s.files[id] = &storedFile{definition: saved.File, retentionStart: saved.KeptUnixMs}
	s.fileRetention.add(saved.KeptUnixMs, id)
	return nil
}

func (s *state) restoreRecord(saved *rockwindpb.LedgerRecord) error {
	definition := saved.GetRecord()
	key := recordKey{tenant: definition.GetTenant(), key: definition.GetKey()}
	if _, exists := s.records[key]; exists || definition == nil {
		return errors.Newf("duplicate or empty idempotency record %q", key.key)
	}
	s.records[key] = &record{definition: definition, ended: saved.EndedUnixMs}
	if definition.State == rockwindpb.RecordState_RECORD_STATE_STARTED {
		s.startedRecords.add(definition.StartedUnixMs, key)
	} else {
		s.endedRecords.add(saved.EndedUnixMs, key)
	}
	return nil
}
