package ledger

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// submit accepts a job. A repeated submission returns the job accepted before.
func (l *Ledger) submit(now int64, request *rockwindpb.SubmitJobRequest) (*rockwindpb.SubmitJobResponse, *fault.Fault) {
	submitted := request.GetJob()
	if failure := l.checkSubmitted(submitted); failure != nil {
		return nil, failure
	}
	if existing := l.findDuplicate(submitted); existing != nil {
		return answerDuplicate(existing, submitted)
	}
	accepted := newJob(l.acceptedDefinition(now, submitted))
	accepted.samples.add(now, 0)
	l.addJob(accepted)
	l.waiting.update(accepted)
	return &rockwindpb.SubmitJobResponse{Job: accepted.toProto()}, nil
}

// checkSubmitted rejects an invalid job.
func (l *Ledger) checkSubmitted(submitted *rockwindpb.Job) *fault.Fault {
	if submitted == nil {
		return fault.New(fault.InvalidArgument, "the request has no job", "set the job")
	}
	if shard, valid := ShardOfJob(submitted.Id); !valid || shard != l.shard {
		return fault.Newf(fault.InvalidArgument, "submit the job to the shard named in its identifier",
			"%q is not a job identifier of shard %d", submitted.Id, l.shard)
	}
	if submitted.Tenant == "" {
		return fault.New(fault.InvalidArgument, "the job has no tenant", "name the tenant")
	}
	if submitted.ItemCount == 0 || submitted.ItemCount > MaxItems {
		return fault.Newf(fault.InvalidArgument, "split the input, or submit at least one item",
			"the job has %d items; it must have between 1 and %d", submitted.ItemCount, MaxItems)
	}
	return checkInput(submitted)
}

// checkInput rejects input chunks that do not cover all items in order. A job without
// chunks is accepted; its lease holders have the input themselves.
func checkInput(submitted *rockwindpb.Job) *fault.Fault {
	next := uint64(0)
	for _, chunk := range submitted.Input {
		if uint64(chunk.FirstItem) != next || chunk.ItemCount == 0 || chunk.Body == nil {
			return fault.Newf(fault.InvalidArgument, "pass the input as consecutive chunks from item 0",
				"the input chunk at item %d is out of order, empty or without a body", chunk.FirstItem)
		}
		next += uint64(chunk.ItemCount)
	}
	if len(submitted.Input) > 0 && next != uint64(submitted.ItemCount) {
		return fault.Newf(fault.InvalidArgument, "pass one request line for each item",
			"the input covers %d items, but the job has %d", next, submitted.ItemCount)
	}
	return nil
}

// findDuplicate returns the accepted job with the same identifier or client key, or nil.
func (l *Ledger) findDuplicate(submitted *rockwindpb.Job) *job {
	if existing, exists := l.jobs[submitted.Id]; exists {
		return existing
	}
	if submitted.ClientKey == "" {
		return nil
	}
	return l.jobsByClientKey[clientKey{tenant: submitted.Tenant, key: submitted.ClientKey}]
}

func answerDuplicate(existing *job, submitted *rockwindpb.Job) (*rockwindpb.SubmitJobResponse, *fault.Fault) {
	original := existing.definition
	same := original.Tenant == submitted.Tenant &&
		original.ClientKey == submitted.ClientKey &&
		bytes.Equal(original.BodyDigest, submitted.BodyDigest)
	if same {
		return &rockwindpb.SubmitJobResponse{Job: existing.toProto(), Resent: true}, nil
	}
	if original.Tenant != submitted.Tenant {
		return nil, fault.Newf(fault.Conflict, "submit the job under a new identifier",
			"the job identifier %s is already in use", submitted.Id)
	}
	return nil, fault.Newf(fault.Conflict, "use a new key for a different body, or resend the original body",
		"key %q was already used with a different body for job %s", original.ClientKey, original.Id)
}

// acceptedDefinition returns a copy of the submitted job with the fields set that the
// ledger manages.
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

// addJob adds a job to the state and to the indexes that cover ended jobs too.
func (s *state) addJob(added *job) {
	definition := added.definition
	s.jobs[definition.Id] = added
	if definition.ClientKey != "" {
		s.jobsByClientKey[clientKey{tenant: definition.Tenant, key: definition.ClientKey}] = added
	}
	if definition.InputFile != "" {
		s.fileUsers[definition.InputFile]++
	}
}

// dropJob undoes addJob.
func (s *state) dropJob(dropped *job) {
	definition := dropped.definition
	delete(s.jobs, definition.Id)
	if definition.ClientKey != "" {
		delete(s.jobsByClientKey, clientKey{tenant: definition.Tenant, key: definition.ClientKey})
	}
	if definition.InputFile == "" {
		return
	}
	s.fileUsers[definition.InputFile]--
	if s.fileUsers[definition.InputFile] == 0 {
		delete(s.fileUsers, definition.InputFile)
	}
}

// findJob returns a job. It fails with fault.NotFound if the job does not exist or
// belongs to another tenant.
func (l *Ledger) findJob(id, tenant string) (*job, *fault.Fault) {
	found, exists := l.jobs[id]
	if !exists || !found.visibleTo(tenant) {
		return nil, fault.Newf(fault.NotFound, "list the jobs; ended jobs are dropped after their retention",
			"there is no job %q", id)
	}
	return found, nil
}

// cancel ends a running job and keeps the results recorded so far.
func (l *Ledger) cancel(now int64, request *rockwindpb.CancelJobRequest) (*rockwindpb.CancelJobResponse, *fault.Fault) {
	found, failure := l.findJob(request.GetJobId(), request.GetTenant())
	if failure != nil {
		return nil, failure
	}
	if found.running() && l.defects.skipCancelCheck {
		found.definition.State = rockwindpb.JobState_JOB_STATE_CANCELLED
	}
	if found.running() {
		l.endJob(now, found, rockwindpb.JobState_JOB_STATE_CANCELLED)
	}
	return &rockwindpb.CancelJobResponse{Job: found.toProto()}, nil
}

// endJob moves a running job to a final state and releases the data that only running
// jobs need.
func (l *Ledger) endJob(now int64, ended *job, final rockwindpb.JobState) {
	ended.definition.State = final
	ended.definition.EndedUnixMs = now
	ended.leases = nil
	ended.done = nil
	ended.leased = nil
	ended.tries = nil
	ended.waiting = 0
	l.waiting.update(ended)
	l.endedJobs.add(now, ended.definition.Id)
}
