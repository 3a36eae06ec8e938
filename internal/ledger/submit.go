package ledger

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// submit accepts a job, or answers the one that was accepted under its key.
func (l *Ledger) submit(now int64, request *rockwindpb.SubmitJobRequest) (*rockwindpb.SubmitJobResponse, *fault.Fault) {
	submitted := request.GetJob()
	if refused := l.checkSubmitted(submitted); refused != nil {
		return nil, refused
	}
	if earlier := l.earlierJob(submitted); earlier != nil {
		return answerEarlier(earlier, submitted)
	}
	accepted := newJob(l.acceptedDefinition(now, submitted))
	accepted.samples.add(now, 0)
	l.addJob(accepted)
	l.waiting.update(accepted)
	return &rockwindpb.SubmitJobResponse{Job: accepted.describe()}, nil
}

// checkSubmitted refuses a job that can never be run.
func (l *Ledger) checkSubmitted(submitted *rockwindpb.Job) *fault.Fault {
	if submitted == nil {
		return fault.New(fault.InvalidArgument, "no job was submitted", "give a job")
	}
	if shard, valid := ShardOfJob(submitted.Id); !valid || shard != l.shard {
		return fault.Newf(fault.InvalidArgument, "submit the job to the shard that its identifier names",
			"%q is no identifier of a job of shard %d", submitted.Id, l.shard)
	}
	if submitted.Tenant == "" {
		return fault.New(fault.InvalidArgument, "the job names no tenant", "name the tenant")
	}
	if submitted.ItemCount == 0 || submitted.ItemCount > MaxItems {
		return fault.Newf(fault.InvalidArgument, "split the input or give at least one item",
			"a job of %d items is not between 1 and %d items", submitted.ItemCount, MaxItems)
	}
	return checkInput(submitted)
}

// checkInput refuses input chunks that do not cover the items in order. A job
// without chunks is accepted: its holders know the input themselves.
func checkInput(submitted *rockwindpb.Job) *fault.Fault {
	next := uint64(0)
	for _, chunk := range submitted.Input {
		if uint64(chunk.FirstItem) != next || chunk.ItemCount == 0 || chunk.Body == nil {
			return fault.Newf(fault.InvalidArgument, "give the input as consecutive chunks from item 0",
				"the input chunk at item %d is out of order, empty or without a body", chunk.FirstItem)
		}
		next += uint64(chunk.ItemCount)
	}
	if len(submitted.Input) > 0 && next != uint64(submitted.ItemCount) {
		return fault.Newf(fault.InvalidArgument, "give one request line for each item",
			"the input covers %d items and the job has %d", next, submitted.ItemCount)
	}
	return nil
}

// earlierJob finds the job that a resend means.
func (l *Ledger) earlierJob(submitted *rockwindpb.Job) *job {
	if earlier, found := l.jobs[submitted.Id]; found {
		return earlier
	}
	if submitted.ClientKey == "" {
		return nil
	}
	return l.keys[clientKey{tenant: submitted.Tenant, key: submitted.ClientKey}]
}

func answerEarlier(earlier *job, submitted *rockwindpb.Job) (*rockwindpb.SubmitJobResponse, *fault.Fault) {
	first := earlier.definition
	same := first.Tenant == submitted.Tenant &&
		first.ClientKey == submitted.ClientKey &&
		bytes.Equal(first.BodyDigest, submitted.BodyDigest)
	if same {
		return &rockwindpb.SubmitJobResponse{Job: earlier.describe(), Resent: true}, nil
	}
	if first.Tenant != submitted.Tenant {
		return nil, fault.Newf(fault.Conflict, "submit the job under a new identifier",
			"the job identifier %s is taken", submitted.Id)
	}
	return nil, fault.Newf(fault.Conflict, "use another key for another body, or resend the first body",
		"key %q was accepted with another body as job %s", first.ClientKey, first.Id)
}

// acceptedDefinition is the submitted job with the fields that the ledger owns.
func (l *Ledger) acceptedDefinition(now int64, submitted *rockwindpb.Job) *rockwindpb.Job {
	definition := proto.CloneOf(submitted)
	definition.State = rockwindpb.JobState_JOB_STATE_RUNNING
	definition.Completed = 0
	definition.Failed = 0
	definition.AcceptedUnixMs = now
	definition.EndedUnixMs = 0
	definition.Shard = l.shard
	if definition.Tries == 0 {
		definition.Tries = DefaultTries
	}
	return definition
}

// addJob puts a job into the state and its indexes.
func (s *state) addJob(added *job) {
	definition := added.definition
	s.jobs[definition.Id] = added
	if definition.ClientKey != "" {
		s.keys[clientKey{tenant: definition.Tenant, key: definition.ClientKey}] = added
	}
	if definition.InputFile != "" {
		s.fileUse[definition.InputFile]++
	}
}

// dropJob removes a job from the state and its indexes.
func (s *state) dropJob(dropped *job) {
	definition := dropped.definition
	delete(s.jobs, definition.Id)
	if definition.ClientKey != "" {
		delete(s.keys, clientKey{tenant: definition.Tenant, key: definition.ClientKey})
	}
	if definition.InputFile == "" {
		return
	}
	s.fileUse[definition.InputFile]--
	if s.fileUse[definition.InputFile] == 0 {
		delete(s.fileUse, definition.InputFile)
	}
}

// findJob returns the job with the identifier if the tenant may see it.
func (l *Ledger) findJob(id, tenant string) (*job, *fault.Fault) {
	found, known := l.jobs[id]
	if !known || !found.visibleTo(tenant) {
		return nil, fault.Newf(fault.NotFound, "list the jobs; an ended job is dropped after its retention",
			"there is no job %q", id)
	}
	return found, nil
}

// cancel ends a running job. Whatever was recorded before stays.
func (l *Ledger) cancel(now int64, request *rockwindpb.CancelJobRequest) (*rockwindpb.CancelJobResponse, *fault.Fault) {
	found, refused := l.findJob(request.GetJobId(), request.GetTenant())
	if refused != nil {
		return nil, refused
	}
	if found.running() && l.defects.cancelUnchecked {
		found.definition.State = rockwindpb.JobState_JOB_STATE_CANCELLED
	}
	if found.running() {
		l.endJob(now, found, rockwindpb.JobState_JOB_STATE_CANCELLED)
	}
	return &rockwindpb.CancelJobResponse{Job: found.describe()}, nil
}

// endJob moves a running job to a final state and frees what only running jobs
// need.
func (l *Ledger) endJob(now int64, ended *job, final rockwindpb.JobState) {
	ended.definition.State = final
	ended.definition.EndedUnixMs = now
	ended.leases = nil
	ended.done = nil
	ended.leased = nil
	ended.tries = nil
	ended.waiting = 0
	l.waiting.update(ended)
	l.jobDue.add(now, ended.definition.Id)
}
