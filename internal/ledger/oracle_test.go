package ledger

import (
	"slices"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// oracle predicts what a ledger answers, with plain maps and no indexes. It
// checks grants, which the ledger may choose, against the rules.
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
	definition *rockwindpb.StoredFile
	kept       int64
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

// check compares the ledger's answer to a command with the rules.
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

func expect(t *rapid.T, what string, answer any, wanted proto.Message) {
	t.Helper()
	given, is := answer.(proto.Message)
	if !is || !proto.Equal(given, wanted) {
		t.Fatalf("%s: got %v, want %v", what, answer, wanted)
	}
}

func expectFault(t *rapid.T, what string, answer any, kind fault.Kind) {
	t.Helper()
	refused, is := answer.(*fault.Fault)
	if !is || refused.Kind != kind || refused.Remedy == "" {
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
			expectFault(t, "submit of another body", answer, fault.Conflict)
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

// waiting returns the items that no lease holds and that have no result.
func (o *oracle) waiting(job *oracleJob) []uint32 {
	var items []uint32
	if !job.running() {
		return nil
	}
	held := map[uint32]bool{}
	for _, lease := range o.leases {
		for item := range lease.items {
			held[item] = held[item] || lease.job == job.definition.Id
		}
	}
	for item := range job.definition.ItemCount {
		if job.results[item] == nil && !held[item] {
			items = append(items, item)
		}
	}
	return items
}

// next returns the first eligible job of each group.
func (o *oracle) next(request *rockwindpb.AcquireLeasesRequest) map[string]*oracleJob {
	first := map[string]*oracleJob{}
	for _, job := range o.jobs {
		group := job.definition.Group
		allowed := len(request.Groups) == 0 || slices.Contains(request.Groups, group)
		if !allowed || !slices.Contains(request.Models, job.definition.Model) || len(o.waiting(job)) == 0 {
			continue
		}
		if first[group] == nil || precedes(job.definition, first[group].definition) {
			first[group] = job
		}
	}
	return first
}

func precedes(a, b *rockwindpb.Job) bool {
	if a.DeadlineUnixMs != b.DeadlineUnixMs {
		return a.DeadlineUnixMs < b.DeadlineUnixMs
	}
	if a.AcceptedUnixMs != b.AcceptedUnixMs {
		return a.AcceptedUnixMs < b.AcceptedUnixMs
	}
	return a.Id < b.Id
}

func (o *oracle) acquire(t *rapid.T, now int64, request *rockwindpb.AcquireLeasesRequest, answer any) {
	o.expireLeases(now)
	response, is := answer.(*rockwindpb.AcquireLeasesResponse)
	if !is {
		t.Fatalf("acquire: got %v", answer)
	}
	total := uint32(0)
	groups := map[string]bool{}
	eligible := len(o.next(request))
	for number, grant := range response.Grants {
		total += o.grant(t, now, request, grant, number == 0)
		groups[grant.Job.Group] = true
	}
	left := len(o.next(request))
	if total > request.MaxItems || (total < request.MaxItems && left > 0) {
		t.Fatalf("acquire granted %d of %d items while %d groups have work", total, request.MaxItems, left)
	}
	if eligible > 1 && request.MaxItems > 1 && len(groups) < 2 {
		t.Fatalf("acquire served one of %d groups", eligible)
	}
}

// grant checks one grant, takes it over and returns its items.
func (o *oracle) grant(t *rapid.T, now int64, request *rockwindpb.AcquireLeasesRequest, grant *rockwindpb.GrantedLease, first bool) uint32 {
	lease := grant.Lease
	candidates := o.next(request)
	job := o.jobs[lease.JobId]
	if job == nil || candidates[job.definition.Group] != job {
		t.Fatalf("grant %v is not of the next job of its group", lease)
	}
	group := job.definition.Group
	for other := range candidates {
		if first && turn(other, o.lastGroup) < turn(group, o.lastGroup) {
			t.Fatalf("group %q was granted before %q after %q", group, other, o.lastGroup)
		}
	}
	o.lastGroup = group
	waiting := o.waiting(job)
	held := map[uint32]bool{}
	for item := lease.FirstItem; item < lease.FirstItem+lease.ItemCount; item++ {
		skipped := lease.Skip != nil && bitmap(lease.Skip).has(item-lease.FirstItem)
		if skipped != (job.results[item] != nil) || (!skipped && !slices.Contains(waiting, item)) {
			t.Fatalf("grant %v holds item %d, which is not free", lease, item)
		}
		if !skipped {
			held[item] = true
		}
		last := lease.LastTry != nil && bitmap(lease.LastTry).has(item-lease.FirstItem)
		marked := lease.Lost != nil && bitmap(lease.Lost).has(item-lease.FirstItem)
		if marked != (!skipped && job.tries[item] > 0) {
			t.Fatalf("grant %v marks item %d as lost: %v, after %d losses", lease, item, marked, job.tries[item])
		}
		if lost := job.tries[item]; last != (!skipped && lost > 0 && lost+1 >= job.definition.Tries) {
			t.Fatalf("grant %v marks the last try of item %d as %v after %d losses", lease, item, last, lost)
		}
		if !covered(grant.Job.Input, item) {
			t.Fatalf("grant %v has no input for item %d", lease, item)
		}
	}
	if lease.Fence <= o.lastFence || lease.FirstItem != waiting[0] || lease.Holder != request.Holder ||
		lease.ExpiresUnixMs != now+int64(request.LeaseMs) {
		t.Fatalf("grant %v: fence, first item, holder or expiry is wrong", lease)
	}
	o.lastFence = lease.Fence
	o.leases[lease.Fence] = &oracleLease{job: lease.JobId, holder: lease.Holder, expires: lease.ExpiresUnixMs, items: held}
	return uint32(len(held))
}

// turn orders groups such that those after last come first.
func turn(group, last string) string {
	if group > last {
		return "0" + group
	}
	return "1" + group
}

func covered(chunks []*rockwindpb.InputChunk, item uint32) bool {
	return slices.ContainsFunc(chunks, func(chunk *rockwindpb.InputChunk) bool {
		return chunk.FirstItem <= item && item < chunk.FirstItem+chunk.ItemCount
	})
}

// find returns the lease of a holder, or the verdict that tells it to stop.
func (o *oracle) find(id string, fence uint64, holder string) (*oracleLease, *rockwindpb.LeaseVerdict) {
	verdict := &rockwindpb.LeaseVerdict{JobId: id, Fence: fence, Stop: true}
	job := o.jobs[id]
	switch {
	case job == nil, job.definition.State == rockwindpb.JobState_JOB_STATE_COMPLETED:
		verdict.Reason = rockwindpb.StopReason_STOP_REASON_JOB_ENDED
	case job.definition.State == rockwindpb.JobState_JOB_STATE_CANCELLED:
		verdict.Reason = rockwindpb.StopReason_STOP_REASON_JOB_CANCELLED
	case o.leases[fence] == nil, o.leases[fence].job != id, o.leases[fence].holder != holder:
		verdict.Reason = rockwindpb.StopReason_STOP_REASON_FENCED
	default:
		verdict.Stop = false
		verdict.ExpiresUnixMs = o.leases[fence].expires
		return o.leases[fence], verdict
	}
	return nil, verdict
}

func (o *oracle) heartbeat(t *rapid.T, now int64, request *rockwindpb.HeartbeatLeasesRequest, answer any) {
	wanted := &rockwindpb.HeartbeatLeasesResponse{}
	for _, key := range request.Leases {
		lease, verdict := o.find(key.JobId, key.Fence, request.Holder)
		if lease != nil {
			lease.expires = max(lease.expires, now+int64(request.LeaseMs))
			verdict.ExpiresUnixMs = lease.expires
		}
		wanted.Verdicts = append(wanted.Verdicts, verdict)
	}
	expect(t, "heartbeat", answer, wanted)
}

func (o *oracle) complete(t *rapid.T, now int64, request *rockwindpb.CompleteItemsRequest, answer any) {
	wanted := &rockwindpb.CompleteItemsResponse{}
	for _, completion := range request.Completions {
		lease, verdict := o.find(completion.JobId, completion.Fence, request.Holder)
		wanted.Verdicts = append(wanted.Verdicts, verdict)
		if lease == nil {
			continue
		}
		job := o.jobs[completion.JobId]
		for _, report := range completion.Items {
			if lease.items[report.Item] && o.report(job, lease, report) {
				verdict.Recorded++
			}
		}
		if completion.Release {
			delete(o.leases, completion.Fence)
		}
		o.endIfDone(now, job)
	}
	expect(t, "complete", answer, wanted)
}

// report takes over the report of an item, and tells whether it has a result now.
func (o *oracle) report(job *oracleJob, lease *oracleLease, report *rockwindpb.ItemCompletion) bool {
	delete(lease.items, report.Item)
	switch report.Outcome {
	case rockwindpb.ItemOutcome_ITEM_OUTCOME_RETURNED:
		return false
	case rockwindpb.ItemOutcome_ITEM_OUTCOME_RETRY:
		return o.countTry(job, report.Item)
	}
	job.results[report.Item] = &rockwindpb.ItemResult{
		Item:    report.Item,
		Outcome: report.Outcome,
		Result:  report.Result,
		Tries:   job.tries[report.Item] + 1,
	}
	if report.Outcome == rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED {
		job.definition.Completed++
	} else {
		job.definition.Failed++
	}
	return true
}

func (o *oracle) countTry(job *oracleJob, item uint32) bool {
	job.tries[item]++
	if job.tries[item] < job.definition.Tries {
		return false
	}
	job.definition.Failed++
	job.results[item] = &rockwindpb.ItemResult{
		Item:    item,
		Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_FAILED,
		Tries:   job.tries[item],
	}
	return true
}

func (o *oracle) endIfDone(now int64, job *oracleJob) {
	if job.running() && len(job.results) == int(job.definition.ItemCount) {
		o.end(now, job, rockwindpb.JobState_JOB_STATE_COMPLETED)
	}
}

func (o *oracle) expireLeases(now int64) uint32 {
	var expired []*oracleLease
	for fence, lease := range o.leases {
		if lease.expires <= now {
			expired = append(expired, lease)
			delete(o.leases, fence)
		}
	}
	for _, lease := range expired {
		for item := range lease.items {
			o.countTry(o.jobs[lease.job], item)
		}
		o.endIfDone(now, o.jobs[lease.job])
	}
	return uint32(len(expired))
}

func (o *oracle) expire(t *rapid.T, now int64, command *rockwindpb.ExpireCommand, answer any) {
	if command.RenewLeasesMs > 0 {
		for _, lease := range o.leases {
			lease.expires = max(lease.expires, now+command.RenewLeasesMs)
		}
	}
	wanted := &rockwindpb.ExpireResponse{Leases: o.expireLeases(now)}
	for _, record := range o.records {
		started := record.definition.State == rockwindpb.RecordState_RECORD_STATE_STARTED
		if started && record.definition.StartedUnixMs+command.StartedTimeoutMs <= now {
			record.definition.State = rockwindpb.RecordState_RECORD_STATE_UNKNOWN
			record.ended = now
			wanted.Unknown++
		}
	}
	for id, job := range o.jobs {
		if !job.running() && job.definition.EndedUnixMs+command.RetentionMs <= now {
			delete(o.jobs, id)
			wanted.Jobs++
		}
	}
	for id, file := range o.files {
		if file.kept+command.RetentionMs > now {
			continue
		}
		if o.fileUsed(id) {
			file.kept = now
			continue
		}
		delete(o.files, id)
		wanted.Files++
	}
	for key, record := range o.records {
		ended := record.definition.State != rockwindpb.RecordState_RECORD_STATE_STARTED
		if ended && record.ended+command.IdempotencyRetentionMs <= now {
			delete(o.records, key)
			wanted.Records++
		}
	}
	expect(t, "expire", answer, wanted)
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
		first = &oracleFile{definition: proto.CloneOf(file), kept: now}
		first.definition.CreatedUnixMs = now
		o.files[file.Id] = first
	}
	if first.definition.Tenant != file.Tenant || string(first.definition.Digest) != string(file.Digest) {
		expectFault(t, "put file", answer, fault.Conflict)
		return
	}
	expect(t, "put file", answer, &rockwindpb.PutFileResponse{File: first.definition})
}
