package store

import (
	"context"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/store/output"
)

const (
	// progressInterval is the time between progress records of running items. After the loss of
	// a leader, the output received since the last applied record has to be generated again.
	progressInterval = 500 * time.Millisecond
	// progressBytes is the approximate maximum size of one progress command. Commands of a
	// shard are applied one after the other, so a large command delays other requests. This one takes 2 ms
	// on a link of 600 Mbit/s; a new leader records the outputs of all its running items at once.
	progressBytes = 128 << 10
)

// progressDue reports whether to record the progress of items now.
func (e *executor) progressDue(now time.Time) bool {
	return !e.recordingProgress && now.Sub(e.lastProgress) >= progressInterval
}

// progressRecord is a command and the parts of outputs that it records.
type progressRecord struct {
	command *rockwindpb.RecordProgress
	parts   []output.Unrecorded
	size    int
}

// recordProgress records the events received since the last record, in few commands for all
// items. Only one record is in flight at a time, so the events of an item stay in order.
func (e *executor) recordProgress(ctx context.Context, now time.Time) {
	e.recordProgressThen(ctx, now, func() {})
}

// recordProgressThen is like recordProgress and calls done once the records are applied or have
// failed.
func (e *executor) recordProgressThen(ctx context.Context, now time.Time, done func()) {
	e.lastProgress = now
	var records []*progressRecord
	if e.store.gates.On(featuregate.ItemProgress) {
		records = e.pendingProgress()
	}
	if len(records) == 0 {
		done()
		return
	}
	e.recordingProgress = true
	go func() {
		for _, record := range records {
			e.proposeProgress(ctx, record)
		}
		done()
		e.progressDone <- struct{}{}
	}()
}

// pendingProgress returns the commands to propose. Items whose results are being recorded are
// left out.
func (e *executor) pendingProgress() []*progressRecord {
	byJob := make(map[string][]output.Unrecorded)
	for key, h := range e.history {
		if e.active[key] == nil && e.claims.Held(key) {
			continue
		}
		part, found := h.output.Unrecorded()
		if !found {
			continue
		}
		part.Events().Progress.Item = key.Index()
		part.Events().Progress.Term = e.term
		byJob[key.Job()] = append(byJob[key.Job()], part)
	}
	var records []*progressRecord
	var current *progressRecord
	for job, parts := range byJob {
		for _, part := range parts {
			if current == nil || current.size >= progressBytes {
				current = &progressRecord{command: &rockwindpb.RecordProgress{}}
				records = append(records, current)
			}
			current.add(job, part)
		}
	}
	return records
}

func (r *progressRecord) add(job string, part output.Unrecorded) {
	jobs := r.command.GetJobs()
	if len(jobs) == 0 || jobs[len(jobs)-1].GetJob() != job {
		r.command.Jobs = append(jobs, &rockwindpb.JobProgress{Job: job})
	}
	last := r.command.GetJobs()[len(r.command.GetJobs())-1]
	last.Items = append(last.Items, part.Events())
	r.parts = append(r.parts, part)
	r.size += proto.Size(part.Events())
}

// proposeProgress replicates a record. After an error the whole output is recorded again.
func (e *executor) proposeProgress(parent context.Context, record *progressRecord) {
	ctx, cancel := context.WithTimeout(parent, recordTimeout)
	defer cancel()
	_, err := propose(ctx, e.group, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Progress{Progress: record.command}})
	if err != nil {
		log.WithError(err).WithField("items", len(record.parts)).Info("progress of items was not recorded")
	}
	for _, part := range record.parts {
		if err != nil {
			part.MarkLost()
		} else {
			part.MarkRecorded()
		}
	}
}
