package ledger

import (
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// oracle is a reference model of the ledger with plain maps instead of indexes. It
// checks grants against the rules of granting, and predicts all other responses except
// those to seal commands.
type oracle struct {
	jobs      map[string]*oracleJob
	leases    map[uint64]*oracleLease
	records   map[recordKey]*oracleRecord
	files     map[string]*oracleFile
	lastFence uint64
	lastGroup string
}

type oracleJob struct {
	definition *rockwindpb.Job
	results    map[uint32]*rockwindpb.ItemResult
	tries      map[uint32]uint32
}

type oracleLease struct {
	job     string
	holder  string
	expires int64
	items   map[uint32]bool
}

type oracleRecord struct {
	definition *rockwindpb.RequestRecord
	ended      int64
}

type oracleFile struct {
	definition     *rockwindpb.StoredFile
	retentionStart int64
}

func newOracle() *oracle {
	return &oracle{
		jobs:    map[string]*oracleJob{},
		leases:  map[uint64]*oracleLease{},
		records: map[recordKey]*oracleRecord{},
		files:   map[string]*oracleFile{},
	}
}

func (j *oracleJob) running() bool {
	return j.definition.State == rockwindpb.JobState_JOB_STATE_RUNNING
}

// check compares the ledger's response to a command with the model.
func (o *oracle) check(t *rapid.T, command *rockwindpb.JobCommand, answer any) {
	now := command.NowUnixMs
	switch c := command.Command.(type) {
	case *rockwindpb.JobCommand_Submit:
		o.submit(t, now, c.Submit.Job, answer)
	case *rockwindpb.JobCommand_Cancel:
		o.cancel(t, now, c.Cancel, answer)
	case *rockwindpb.JobCommand_Acquire:
		o.acquire(t, now, c.Acquire, answer)
	case *rockwindpb.JobCommand_Heartbeat:
		o.heartbeat(t, now, c.Heartbeat, answer)
	case *rockwindpb.JobCommand_Complete:
		o.complete(t, now, c.Complete, answer)
	case *rockwindpb.JobCommand_Expire:
		o.expire(t, now, c.Expire, answer)
	case *rockwindpb.JobCommand_BeginRequest:
		o.begin(t, now, c.BeginRequest, answer)
	case *rockwindpb.JobCommand_FinishRequest:
		o.finish(t, now, c.FinishRequest, answer)
	case *rockwindpb.JobCommand_PutFile:
		o.putFile(t, now, c.PutFile.File, answer)
	}
}

func expect(t *rapid.T, what string, answer any, want proto.Message) {
	t.Helper()
	given, ok := answer.(proto.Message)
	if !ok || !proto.Equal(given, want) {
		t.Fatalf("%s: got %v, want %v", what, answer, want)
	}
}

func expectFault(t *rapid.T, what string, answer any, kind fault.Kind) {
	t.Helper()
	failure, ok := answer.(*fault.Fault)
	if !ok || failure.Kind != kind || failure.Remedy == "" {
		t.Fatalf("%s: got %v, want a fault %v with a remedy", what, answer, kind)
	}
}

func (o *oracle) submit(t *rapid.T, now int64, job *rockwindpb.Job, answer any) {
	for id, earlier := range o.jobs {
		first := earlier.definition
		sameKey := job.ClientKey != "" && first.Tenant == job.Tenant && first.ClientKey == job.ClientKey
		if id != job.Id && (!sameKey || o.jobs[job.Id] != nil) {
			continue
		}
		if first.Tenant != job.Tenant || first.ClientKey != job.ClientKey || string(first.BodyDigest) != string(job.BodyDigest) {
			expectFault(t, "submit with another body", answer, fault.Conflict)
			return
		}
		expect(t, "resend", answer, &rockwindpb.SubmitJobResponse{Job: first, Resent: true})
		return
	}
	definition := proto.CloneOf(job)
	definition.State = rockwindpb.JobState_JOB_STATE_RUNNING
	definition.AcceptedUnixMs = now
	definition.Shard = testShard
	o.jobs[job.Id] = &oracleJob{
		definition: definition,
		results:    map[uint32]*rockwindpb.ItemResult{},
		tries:      map[uint32]uint32{},
	}
	expect(t, "submit", answer, &rockwindpb.SubmitJobResponse{Job: definition})
}

func (o *oracle) cancel(t *rapid.T, now int64, request *rockwindpb.CancelJobRequest, answer any) {
	job := o.jobs[request.JobId]
	if job == nil || (request.Tenant != "" && request.Tenant != job.definition.Tenant) {
		expectFault(t, "cancel", answer, fault.NotFound)
		return
	}
	if job.running() {
		o.end(now, job, rockwindpb.JobState_JOB_STATE_CANCELLED)
	}
	expect(t, "cancel", answer, &rockwindpb.CancelJobResponse{Job: job.definition})
}

func (o *oracle) end(now int64, job *oracleJob, state rockwindpb.JobState) {
	job.definition.State = state
	job.definition.EndedUnixMs = now
	for fence, lease := range o.leases {
		if lease.job == job.definition.Id {
			delete(o.leases, fence)
		}
	}
}

func (o *oracle) expire(t *rapid.T, now int64, command *rockwindpb.ExpireCommand, answer any) {
	if command.RenewLeasesMs > 0 {
		for _, lease := range o.leases {
			lease.expires = max(lease.expires, now+command.RenewLeasesMs)
		}
	}
	want := &rockwindpb.ExpireResponse{Leases: o.expireLeases(now)}
	for _, record := range o.records {
		started := record.definition.State == rockwindpb.RecordState_RECORD_STATE_STARTED
		if started && record.definition.StartedUnixMs+command.StartedTimeoutMs <= now {
			record.definition.State = rockwindpb.RecordState_RECORD_STATE_UNKNOWN
			record.ended = now
			want.Unknown++
		}
	}
	for id, job := range o.jobs {
		if !job.running() && job.definition.EndedUnixMs+command.RetentionMs <= now {
			delete(o.jobs, id)
			want.Jobs++
		}
	}
	for id, file := range o.files {
		if file.retentionStart+command.RetentionMs > now {
			continue
		}
		if o.fileUsed(id) {
			file.retentionStart = now
			continue
		}
		delete(o.files, id)
		want.Files++
	}
	for key, record := range o.records {
		ended := record.definition.State != rockwindpb.RecordState_RECORD_STATE_STARTED
		if ended && record.ended+command.IdempotencyRetentionMs <= now {
			delete(o.records, key)
			want.Records++
		}
	}
	expect(t, "expire", answer, want)
}

func (o *oracle) fileUsed(id string) bool {
	for _, job := range o.jobs {
		if job.definition.InputFile == id {
			return true
		}
	}
	return false
}

func (o *oracle) begin(t *rapid.T, now int64, request *rockwindpb.BeginRequestRequest, answer any) {
	key := recordKey{tenant: request.Tenant, key: request.Key}
	found := o.records[key]
	free := found == nil ||
		(found.definition.State == rockwindpb.RecordState_RECORD_STATE_NOT_RUN && found.definition.Owner != request.Owner)
	if free {
		found = &oracleRecord{definition: &rockwindpb.RequestRecord{
			Tenant:        request.Tenant,
			Key:           request.Key,
			BodyDigest:    request.BodyDigest,
			State:         rockwindpb.RecordState_RECORD_STATE_STARTED,
			Owner:         request.Owner,
			StartedUnixMs: now,
		}}
		o.records[key] = found
	}
	if string(found.definition.BodyDigest) != string(request.BodyDigest) {
		expectFault(t, "begin", answer, fault.Conflict)
		return
	}
	granted := found.definition.State == rockwindpb.RecordState_RECORD_STATE_STARTED && found.definition.Owner == request.Owner
	expect(t, "begin", answer, &rockwindpb.BeginRequestResponse{Granted: granted, Record: found.definition})
}

func (o *oracle) finish(t *rapid.T, now int64, request *rockwindpb.FinishRequestRequest, answer any) {
	found := o.records[recordKey{tenant: request.Tenant, key: request.Key}]
	if found == nil {
		expectFault(t, "finish", answer, fault.NotFound)
		return
	}
	definition := found.definition
	if definition.Owner != request.Owner {
		expectFault(t, "finish", answer, fault.Conflict)
		return
	}
	started := definition.State == rockwindpb.RecordState_RECORD_STATE_STARTED
	late := definition.State == rockwindpb.RecordState_RECORD_STATE_UNKNOWN &&
		request.State == rockwindpb.RecordState_RECORD_STATE_FINISHED
	if started || late {
		definition.State = request.State
		found.ended = now
	}
	if (started || late) && request.State == rockwindpb.RecordState_RECORD_STATE_FINISHED {
		definition.Status = request.Status
		definition.ContentType = request.ContentType
		definition.Body = request.Body
	}
	expect(t, "finish", answer, &rockwindpb.FinishRequestResponse{Record: definition})
}

func (o *oracle) putFile(t *rapid.T, now int64, file *rockwindpb.StoredFile, answer any) {
	first := o.files[file.Id]
	if first == nil {
		first = &oracleFile{definition: proto.CloneOf(file), retentionStart: now}
		first.definition.CreatedUnixMs = now
		o.files[file.Id] = first
	}
	if first.definition.Tenant != file.Tenant || string(first.definition.Digest) != string(file.Digest) {
		expectFault(t, "put file", answer, fault.Conflict)
		return
	}
	expect(t, "put file", answer, &rockwindpb.PutFileResponse{File: first.definition})
}
