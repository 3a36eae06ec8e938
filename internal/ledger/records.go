package ledger

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// recordKey names an idempotency record.
type recordKey struct {
	tenant string
	key    string
}

func (k recordKey) less(other recordKey) bool {
	if k.tenant != other.tenant {
		return k.tenant < other.tenant
	}
	return k.key < other.key
}

// record is an idempotency record. A record of a request that did not run stays
// as a mark, so that a late repetition of its Begin is not granted again.
type record struct {
	definition *rockwindpb.RequestRecord
	// ended is when the record left the state started.
	ended int64
}

func (r *record) in(wanted rockwindpb.RecordState) bool {
	return r.definition.State == wanted
}

// describe returns a copy of the record.
func (r *record) describe() *rockwindpb.RequestRecord {
	return proto.CloneOf(r.definition)
}

// begin grants the right to dispatch a request to exactly one owner.
func (l *Ledger) begin(now int64, request *rockwindpb.BeginRequestRequest) (*rockwindpb.BeginRequestResponse, *fault.Fault) {
	if request.GetTenant() == "" || request.GetKey() == "" || request.GetOwner() == "" {
		return nil, fault.New(fault.InvalidArgument, "the request names no tenant, key or owner", "name all three").
			WithRan(fault.NotRun)
	}
	key := recordKey{tenant: request.Tenant, key: request.Key}
	found, known := l.records[key]
	if !known || (found.in(rockwindpb.RecordState_RECORD_STATE_NOT_RUN) && found.definition.Owner != request.Owner) {
		return l.grantRecord(now, key, request), nil
	}
	if !bytes.Equal(found.definition.BodyDigest, request.BodyDigest) {
		return nil, fault.Newf(fault.Conflict, "use another key for another body",
			"idempotency key %q was used with another body", request.Key).WithRan(fault.NotRun)
	}
	granted := found.in(rockwindpb.RecordState_RECORD_STATE_STARTED) &&
		(found.definition.Owner == request.Owner || l.defects.recordGrantedTwice)
	return &rockwindpb.BeginRequestResponse{Granted: granted, Record: found.describe()}, nil
}

func (l *Ledger) grantRecord(now int64, key recordKey, request *rockwindpb.BeginRequestRequest) *rockwindpb.BeginRequestResponse {
	granted := &record{definition: &rockwindpb.RequestRecord{
		Tenant:        request.Tenant,
		Key:           request.Key,
		BodyDigest:    bytes.Clone(request.BodyDigest),
		State:         rockwindpb.RecordState_RECORD_STATE_STARTED,
		Owner:         request.Owner,
		StartedUnixMs: now,
	}}
	l.records[key] = granted
	l.startedDue.add(now, key)
	return &rockwindpb.BeginRequestResponse{Granted: true, Record: granted.describe()}
}

// finish records how a request ended. The first end stands for ever; an owner
// that was given up may still deliver the answer, but may not free the key.
func (l *Ledger) finish(now int64, request *rockwindpb.FinishRequestRequest) (*rockwindpb.FinishRequestResponse, *fault.Fault) {
	if !finalRecordState(request.GetState()) {
		return nil, fault.Newf(fault.InvalidArgument, "report finished, not run or unknown",
			"a request cannot end in the state %v", request.GetState())
	}
	key := recordKey{tenant: request.Tenant, key: request.Key}
	found, known := l.records[key]
	if !known {
		return nil, fault.Newf(fault.NotFound, "begin the request before it is dispatched; old records are dropped",
			"there is no record under idempotency key %q", request.Key)
	}
	if found.definition.Owner != request.Owner {
		return nil, fault.Newf(fault.Conflict, "only the owner that was granted the request may finish it",
			"idempotency key %q belongs to owner %q", request.Key, found.definition.Owner)
	}
	if l.mayFinish(found, request.State) {
		l.finishRecord(now, key, found, request)
	}
	return &rockwindpb.FinishRequestResponse{Record: found.describe()}, nil
}

func finalRecordState(state rockwindpb.RecordState) bool {
	return state == rockwindpb.RecordState_RECORD_STATE_FINISHED ||
		state == rockwindpb.RecordState_RECORD_STATE_NOT_RUN ||
		state == rockwindpb.RecordState_RECORD_STATE_UNKNOWN
}

// mayFinish tells whether a record may still move to a final state.
func (l *Ledger) mayFinish(found *record, final rockwindpb.RecordState) bool {
	if found.in(rockwindpb.RecordState_RECORD_STATE_STARTED) {
		return true
	}
	return found.in(rockwindpb.RecordState_RECORD_STATE_UNKNOWN) &&
		final == rockwindpb.RecordState_RECORD_STATE_FINISHED
}

func (l *Ledger) finishRecord(now int64, key recordKey, found *record, request *rockwindpb.FinishRequestRequest) {
	found.definition.State = request.State
	if request.State == rockwindpb.RecordState_RECORD_STATE_FINISHED {
		found.definition.Status = request.Status
		found.definition.ContentType = request.ContentType
		found.definition.Body = proto.CloneOf(request.Body)
	}
	l.markEnded(now, key, found)
}

func (l *Ledger) markEnded(now int64, key recordKey, found *record) {
	found.ended = now
	l.endedDue.add(now, key)
}

// giveUpRecords turns records that stayed started for too long into unknown
// ones, and returns how many.
func (l *Ledger) giveUpRecords(now, timeout int64) uint32 {
	if timeout <= 0 {
		timeout = DefaultStartedTimeoutMilliseconds
	}
	limit, bounded := keptSince(now, timeout)
	if !bounded {
		return 0
	}
	given := uint32(0)
	for {
		entry, due := l.startedDue.take(limit)
		if !due {
			return given
		}
		found, known := l.records[entry.key]
		if !known || !found.in(rockwindpb.RecordState_RECORD_STATE_STARTED) || found.definition.StartedUnixMs != entry.time {
			continue
		}
		found.definition.State = rockwindpb.RecordState_RECORD_STATE_UNKNOWN
		if l.defects.blindRetry {
			found.definition.State = rockwindpb.RecordState_RECORD_STATE_NOT_RUN
		}
		l.markEnded(now, entry.key, found)
		given++
	}
}

// dropRecords removes records that ended at the limit or before.
func (l *Ledger) dropRecords(limit int64) uint32 {
	dropped := uint32(0)
	for {
		entry, due := l.endedDue.take(limit)
		if !due {
			return dropped
		}
		found, known := l.records[entry.key]
		if !known || found.in(rockwindpb.RecordState_RECORD_STATE_STARTED) || found.ended != entry.time {
			continue
		}
		delete(l.records, entry.key)
		dropped++
	}
}
