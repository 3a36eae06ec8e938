package store

import (
	"context"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/store/output"
)

const (
	// progressInterval is the time between records of what was received of running items: that
	// much of a run is done again where a leader is lost with its memory, and what came while
	// the last record was under way.
	progressInterval = 500 * time.Millisecond
	// progressBytes is how much goes into one command, about: commands of a shard go one after
	// the other, and callers wait behind them. It takes 2 ms on a link of 600 Mbit/s. A new leader
	// tells all outputs that it goes on with at once.
	progressBytes = 128 << 10
)

// noteDue tells whether the progress of items is to be recorded now.
func (e *executor) noteDue(now time.Time) bool {
	return !e.noting && now.Sub(e.noted) >= progressInterval
}

// progressRecord is a command with what it records.
type progressRecord struct {
	command *rockwindpb.RecordProgress
	parts   []output.Unrecorded
	size    int
}

// note records what was received of items since the last record, in few commands for all. One
// such record is under way at a time, so the events of an item come in their order.
func (e *executor) note(ctx context.Context, now time.Time) {
	e.noteThen(ctx, now, func() {})
}

// noteThen is note, and calls then once the records are applied or lost.
func (e *executor) noteThen(ctx context.Context, now time.Time, then func()) {
	e.noted = now
	var records []*progressRecord
	if e.store.gates.On(gate.ItemProgress) {
		records = e.unrecorded()
	}
	if len(records) == 0 {
		then()
		return
	}
	e.noting = true
	go func() {
		for _, record := range records {
			e.recordProgress(ctx, record)
		}
		then()
		e.notes <- struct{}{}
	}()
}

// unrecorded gathers the commands that are due. Items whose results are on their way are left
// out.
func (e *executor) unrecorded() []*progressRecord {
	byJob := make(map[string][]output.Unrecorded)
	for key, known := range e.history {
		if e.active[key] == nil && e.claims.Held(key) {
			continue
		}
		part, some := known.output.Unrecorded()
		if !some {
			continue
		}
		part.Events().Progress.Item = key.Index()
		part.Events().Progress.Term = e.term
		byJob[key.Job()] = append(byJob[key.Job()], part)
	}
	var records []*progressRecord
	var filling *progressRecord
	for job, parts := range byJob {
		for _, part := range parts {
			if filling == nil || filling.size >= progressBytes {
				filling = &progressRecord{command: &rockwindpb.RecordProgress{}}
				records = append(records, filling)
			}
			filling.add(job, part)
		}
	}
	return records
}

func (r *progressRecord) add(job string, part output.Unrecorded) {
	jobs := r.command.GetJobs()
	if len(jobs) == 0 || jobs[len(jobs)-1].GetJob() != job {
		r.command.Jobs = append(jobs, &rockwindpb.JobProgress{Job: job})
	}
	of := r.command.GetJobs()[len(r.command.GetJobs())-1]
	of.Items = append(of.Items, part.Events())
	r.parts = append(r.parts, part)
	r.size += proto.Size(part.Events())
}

// recordProgress hands a record to the log. Where that fails all of it is told again.
func (e *executor) recordProgress(parent context.Context, record *progressRecord) {
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
