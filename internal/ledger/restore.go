package ledger

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// maximumFence is above any fence that a shard can reach by granting leases.
const maximumFence = 1 << 62

// Restore replaces the whole state by the one in a snapshot. It checks all that
// later commands rely on, fails with fault.Corrupt, and then changes nothing.
func (l *Ledger) Restore(snapshot []byte) error {
	decoded := &rockwindpb.LedgerSnapshot{}
	if err := proto.Unmarshal(snapshot, decoded); err != nil {
		return corrupt(err)
	}
	restored, err := l.restoreState(decoded)
	if err != nil {
		return corrupt(err)
	}
	l.state = restored
	return nil
}

func corrupt(cause error) error {
	return errors.WithStack(fault.New(fault.Corrupt, "the snapshot of a job shard is damaged: "+cause.Error(),
		"remove this replica's data and let it join anew"))
}

func (l *Ledger) restoreState(decoded *rockwindpb.LedgerSnapshot) (state, error) {
	restored := newState()
	if decoded.Version != snapshotVersion || decoded.Shard != l.shard {
		return restored, errors.Newf("it has version %d and shard %d", decoded.Version, decoded.Shard)
	}
	if decoded.Fence > maximumFence {
		return restored, errors.Newf("fence %d", decoded.Fence)
	}
	restored.fence = decoded.Fence
	restored.lastGroup = decoded.LastGroup
	for _, kept := range decoded.Jobs {
		if err := l.restoreJob(&restored, kept); err != nil {
			return restored, errors.Wrapf(err, "job %q", kept.GetJob().GetId())
		}
	}
	for _, kept := range decoded.Files {
		if err := restored.restoreFile(kept); err != nil {
			return restored, err
		}
	}
	for _, kept := range decoded.Records {
		if err := restored.restoreRecord(kept); err != nil {
			return restored, err
		}
	}
	return restored, nil
}

// restoreJob checks a job, adds it to the state and rebuilds the indexes over it.
func (l *Ledger) restoreJob(into *state, kept *rockwindpb.LedgerJob) error {
	if refused := l.checkSubmitted(kept.GetJob()); refused != nil {
		return refused
	}
	if _, exists := into.jobs[kept.Job.Id]; exists {
		return errors.New("it is there twice")
	}
	restored, err := restoredJob(kept, into.fence)
	if err != nil {
		return err
	}
	into.addJob(restored)
	into.waiting.update(restored)
	if !restored.running() {
		into.jobDue.add(restored.definition.EndedUnixMs, restored.definition.Id)
	}
	for fence, current := range restored.leases {
		into.leaseDue.add(current.expires, leaseKey{jobID: restored.definition.Id, fence: fence})
	}
	return nil
}

func restoredJob(kept *rockwindpb.LedgerJob, lastFence uint64) (*job, error) {
	restored := newJob(kept.Job)
	for _, step := range []func() error{
		func() error { return restored.restoreResults(kept) },
		func() error { return restored.restoreItems(kept, lastFence) },
		func() error { return restored.restoreSamples(kept.Samples) },
	} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return restored, nil
}

// restoreResults restores chunks and sealed blocks.
func (j *job) restoreResults(kept *rockwindpb.LedgerJob) error {
	for _, sealed := range kept.Sealed {
		if err := j.restoreSealed(sealed); err != nil {
			return err
		}
	}
	for _, chunk := range kept.Results {
		if err := j.restoreChunk(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (j *job) restoreSealed(sealed *rockwindpb.SealedResults) error {
	number := sealed.FirstItem / BlockItems
	wrong := sealed.FirstItem%BlockItems != 0 || sealed.FirstItem >= j.definition.ItemCount ||
		sealed.ItemCount != j.results.blockSize(number) || sealed.Index == nil
	if wrong || j.results.blocks[number].sealed != nil {
		return errors.Newf("sealed block at item %d", sealed.FirstItem)
	}
	j.results.blocks[number].sealed = sealed.Index
	return nil
}

func (j *job) restoreChunk(chunk *rockwindpb.LedgerResults) error {
	wrong := func() error { return errors.Newf("results at item %d", chunk.FirstItem) }
	if chunk.FirstItem%chunkItems != 0 || chunk.FirstItem >= j.definition.ItemCount {
		return wrong()
	}
	block := chunk.FirstItem / BlockItems
	place := chunk.FirstItem % BlockItems / chunkItems
	if chunk.ItemCount != j.results.chunkSize(block, place) || j.results.blocks[block].sealed != nil {
		return wrong()
	}
	if existing := j.results.blocks[block].chunks; existing != nil && existing[place].recorded > 0 {
		return wrong()
	}
	results, err := unpackResults(chunk.Packed, chunk.ItemCount)
	if err != nil {
		return err
	}
	for offset, stored := range results {
		if stored.recorded() && !stored.final() {
			return wrong()
		}
		if stored.recorded() {
			j.results.put(chunk.FirstItem+uint32(offset), stored)
		}
	}
	return nil
}

// restoreItems restores the sets of items and the leases of a running job, and
// drops them for an ended one.
func (j *job) restoreItems(kept *rockwindpb.LedgerJob, lastFence uint64) error {
	if j.definition.Completed > j.definition.ItemCount || j.definition.Failed > j.definition.ItemCount {
		return errors.New("counts of items")
	}
	if !j.running() {
		return j.restoreEnded(kept)
	}
	j.done = append(j.done[:0], kept.Done...)
	if !j.done.valid(j.definition.ItemCount) || j.done.count() != j.recorded() || j.recorded() >= j.definition.ItemCount {
		return errors.New("set of items with results")
	}
	if err := j.checkDone(); err != nil {
		return err
	}
	for _, current := range kept.Leases {
		if err := j.restoreLease(current, lastFence); err != nil {
			return err
		}
	}
	for _, tried := range kept.Tries {
		if tried.Item >= j.definition.ItemCount || j.done.has(tried.Item) {
			return errors.Newf("tries of item %d", tried.Item)
		}
		j.tries[tried.Item] = tried.Tries
	}
	j.waiting = j.definition.ItemCount - j.recorded() - j.leased.count()
	return nil
}

func (j *job) restoreEnded(kept *rockwindpb.LedgerJob) error {
	known := j.definition.State == rockwindpb.JobState_JOB_STATE_COMPLETED ||
		j.definition.State == rockwindpb.JobState_JOB_STATE_CANCELLED
	if !known || len(kept.Done)+len(kept.Leases)+len(kept.Tries) > 0 {
		return errors.New("state of an ended job")
	}
	j.done = nil
	j.leased = nil
	j.leases = nil
	j.tries = nil
	j.waiting = 0
	return nil
}

// checkDone compares the set of done items with the results.
func (j *job) checkDone() error {
	for number := range j.results.blocks {
		block := &j.results.blocks[number]
		first := uint32(number) * BlockItems
		size := j.results.blockSize(uint32(number))
		held := block.recorded
		if block.sealed != nil {
			held = size
			block.recorded = size
		}
		if j.done.countBlock(first, size) != held {
			return errors.Newf("results from item %d on", first)
		}
	}
	return j.checkResultItems()
}

// checkResultItems checks that each result in memory is of a done item.
func (j *job) checkResultItems() error {
	for number := range j.results.blocks {
		for place := range j.results.blocks[number].chunks {
			size := j.results.chunkSize(uint32(number), uint32(place))
			first := uint32(number)*BlockItems + uint32(place)*chunkItems
			for offset, stored := range j.results.blocks[number].chunks[place].read(size) {
				if stored.recorded() && !j.done.has(first+uint32(offset)) {
					return errors.Newf("result of item %d", first+uint32(offset))
				}
			}
		}
	}
	return nil
}

func (j *job) restoreLease(kept *rockwindpb.LedgerLease, lastFence uint64) error {
	wrong := errors.Newf("lease %d", kept.Fence)
	end := uint64(kept.FirstItem) + uint64(kept.ItemCount)
	if kept.Fence > lastFence || end > uint64(j.definition.ItemCount) || kept.ItemCount == 0 {
		return wrong
	}
	held := bitmap(kept.Held)
	if _, exists := j.leases[kept.Fence]; exists || !held.valid(kept.ItemCount) {
		return wrong
	}
	restored := &lease{
		fence:     kept.Fence,
		firstItem: kept.FirstItem,
		itemCount: kept.ItemCount,
		holder:    kept.Holder,
		expires:   kept.ExpiresUnixMs,
		held:      held.clone(),
	}
	for _, item := range restored.heldItems() {
		if j.done.has(item) || j.leased.has(item) {
			return wrong
		}
		j.leased.add(item)
	}
	j.leases[kept.Fence] = restored
	return nil
}

func (j *job) restoreSamples(kept []*rockwindpb.LedgerSample) error {
	if len(kept) > 2 {
		return errors.New("samples")
	}
	for _, taken := range kept {
		j.samples.samples = append(j.samples.samples, sample{unixMs: taken.UnixMs, recorded: taken.Recorded})
	}
	return nil
}

func (s *state) restoreFile(kept *rockwindpb.LedgerFile) error {
	id := kept.GetFile().GetId()
	if _, exists := s.files[id]; exists || id == "" {
		return errors.Newf("file %q", id)
	}
	s.files[id] = &storedFile{definition: kept.File, kept: kept.KeptUnixMs}
	s.fileDue.add(kept.KeptUnixMs, id)
	return nil
}

func (s *state) restoreRecord(kept *rockwindpb.LedgerRecord) error {
	definition := kept.GetRecord()
	key := recordKey{tenant: definition.GetTenant(), key: definition.GetKey()}
	if _, exists := s.records[key]; exists || definition == nil {
		return errors.Newf("idempotency record %q", key.key)
	}
	s.records[key] = &record{definition: definition, ended: kept.EndedUnixMs}
	if definition.State == rockwindpb.RecordState_RECORD_STATE_STARTED {
		s.startedDue.add(definition.StartedUnixMs, key)
	} else {
		s.endedDue.add(kept.EndedUnixMs, key)
	}
	return nil
}
