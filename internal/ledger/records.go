package ledger

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// recordKey identifies an idempotency record.
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

// record is an idempotency record. The record of a request that did not run is kept, so
// that a delayed duplicate of its BeginRequest from the same owner is not granted again.
type record struct {
	definition *rockwindpb.RequestRecord
	// ended is the time at which the record left the state STARTED.
	ended int64
}

func (r *record) hasState(wanted rockwindpb.RecordState) bool {
	return r.definition.State == wanted
}

// toProto returns a copy of the record.
func (r *record) toProto() *rockwindpb.RequestRecord {
	return proto.CloneOf(r.definition)
}

// begin grants one owner the exclusive right to dispatch a request.
func (l *Ledger) begin(now int64, request *rockwindpb.BeginRequestRequest) (*rockwindpb.BeginRequestResponse, *fault.Fault) {
	if request.GetTenant() == "" || request.GetKey() == "" || request.GetOwner() == "" {
		return nil, fault.New(fault.InvalidArgument, "the request has no tenant, key or owner", "set all three").
			WithRan(fault.NotRun)
	}
	key := recordKey{tenant: request.Tenant, key: request.Key}
	found, exists := l.records[key]
	if !exists || (found.hasState(rockwindpb.RecordState_RECORD_STATE_NOT_RUN) && found.definition.Owner != request.Owner) {
		return l.grantRecord(now, key, request), nil
	}
	if !bytes.Equal(found.definition.BodyDigest, request.BodyDigest) {
		return nil, fault.Newf(fault.Conflict, "use a new key for a different body",
			"idempotency key %q was already used with a different body", request.Key).WithRan(fault.NotRun)
	}
	granted := found.hasState(rockwindpb.RecordState_RECORD_STATE_STARTED) &&
		(found.definition.Owner == request.Owner || l.defects.grantRecordTwice)
	return &rockwindpb.BeginRequestResponse{Granted: granted, Record: found.toProto()}, nil
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
	l.startedRecords.add(now, key)
	return &rockwindpb.BeginRequestResponse{Granted: true, Record: granted.toProto()}
}

// finish records the final state of a request. It does not change afterwards, except
// from UNKNOWN to FINISHED when the owner delivers the response late.
func (l *Ledger) finish(now int64, request *rockwindpb.FinishRequestRequest) (*rockwindpb.FinishRequestResponse, *fault.Fault) {
	if !finalRecordState(request.GetState()) {
		return nil, fault.Newf(fault.InvalidArgument, "report finished, not run or unknown",
			"%v is not a final state of a request", request.GetState())
	}
	key := recordKey{tenant: request.Tenant, key: request.Key}
	found, exists := l.records[key]
	if !exists {
		return nil, fault.Newf(fault.NotFound, "begin the request before dispatching it; records are dropped after their retention",
			"there is no record for idempotency key %q", request.Key)
	}
	if found.definition.Owner != request.Owner {
		return nil, fault.Newf(fault.Conflict, "only the owner that was granted the request may finish it",
			"idempotency key %q belongs to owner %q", request.Key, found.definition.Owner)
	}
	if l.mayFinish(found, request.State) {
		l.finishRecord(now, key, found, request)
	}
	return &rockwindpb.FinishRequestResponse{Record: found.toProto()}, nil
}

func finalRecordState(state rockwindpb.RecordState) bool {
	return state == rockwindpb.RecordState_RECORD_STATE_FINISHED ||
		state == rockwindpb.RecordState_RECORD_STATE_NOT_RUN ||
		state == rockwindpb.RecordState_RECORD_STATE_UNKNOWN
}

// mayFinish reports whether a record may still move to the given final state.
func (l *Ledger) mayFinish(found *record, final rockwindpb.RecordState) bool {
	if found.hasState(rockwindpb.RecordState_RECORD_STATE_STARTED) {
		return true
	}
	return found.hasState(rockwindpb.RecordState_RECORD_STATE_UNKNOWN) &&
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
	l.endedRecords.add(now, key)
}

// timeOutRecords sets records that stayed started for longer than the timeout to the
// state UNKNOWN, and returns their number.
func (l *Ledger) timeOutRecords(now, timeout int64) uint32 {
	if timeout <= 0 {
		timeout = DefaultStartedTimeoutMilliseconds
	}
	cutoff, bounded := retentionCutoff(now, timeout)
	if !bounded {
		return 0
	}
	timedOut := uint32(0)
	for {
		entry, due := l.startedRecords.popDue(cutoff)
		if !due {
			return timedOut
		}
		found, exists := l.records[entry.key]
		if !exists || !found.hasState(rockwindpb.RecordState_RECORD_STATE_STARTED) || found.definition.StartedUnixMs != entry.time {
			continue
		}
		found.definition.State = rockwindpb.RecordState_RECORD_STATE_UNKNOWN
		if l.defects.freeTimedOutKey {
			found.definition.State = rockwindpb.RecordState_RECORD_STATE_NOT_RUN
		}
		l.markEnded(now, entry.key, found)
		timedOut++
	}
}

// dropRecords removes records that ended at or before the cutoff.
func (l *Ledger) dropRecords(cutoff int64) uint32 {
	dropped := uint32(0)
	for {
		entry, due := l.endedRecords.popDue(cutoff)
		if !due {
			return dropped
		}
		found, exists := l.records[entry.key]
		if !exists || found.hasState(rockwindpb.RecordState_RECORD_STATE_STARTED) || found.ended != entry.time {
			continue
		}
		delete(l.records, entry.key)
		dropped++
	}
}
