package jobstore

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// arrivingRetryAfter is the advice to callers that submit a job of which the shard has a copy that does not
// count yet. The last steps of a move take a few calls between regions.
const arrivingRetryAfter = 100 * time.Millisecond

// The states of rockwindpb.JobMoveState. A job without a move is owned.
const (
	owned    = rockwindpb.JobMoveState_JOB_MOVE_STATE_UNSPECIFIED
	leaving  = rockwindpb.JobMoveState_JOB_MOVE_STATE_LEAVING
	arriving = rockwindpb.JobMoveState_JOB_MOVE_STATE_ARRIVING
	moved    = rockwindpb.JobMoveState_JOB_MOVE_STATE_MOVED
)

func (j *job) moveState() rockwindpb.JobMoveState { return j.stored.GetMove().GetState() }

// here reports whether the shard has the job, not only a copy that does not count or a marker.
func (j *job) here() bool { return j.moveState() == owned || j.moveState() == leaving }

// changed counts a change of a job for the comparison of MARK_MOVED.
func (j *job) changed() {
	if j.moveState() == leaving {
		j.stored.Move.Version++
	}
}

// jobHere returns a job that the shard has.
func (m *Machine) jobHere(id string) (*job, bool) {
	j, found := m.jobs[id]
	if !found || !j.here() {
		return nil, false
	}
	return j, true
}

// stage stores the copy of an arriving job. It replaces older copies and markers of earlier moves.
func (m *Machine) stage(staged *rockwindpb.StoredJob) Outcome {
	move := staged.GetMove()
	if move.GetState() != arriving {
		return Outcome{Fault: fault.New(fault.InvalidArgument, "report this", "the copy of a job is not marked as arriving")}
	}
	if existing, found := m.jobs[staged.GetId()]; found {
		current := existing.stored.GetMove()
		switch {
		case !bytes.Equal(existing.stored.GetDigest(), staged.GetDigest()), existing.here() && current.GetNumber() < move.GetNumber():
			return Outcome{Fault: fault.Newf(fault.Conflict, "read both jobs, and end one of them", "the shard has its own job %q", staged.GetId())}
		case existing.moveState() == arriving && current.GetNumber() == move.GetNumber() && current.GetVersion() == move.GetVersion():
			return Outcome{Resent: true}
		case current.GetNumber() > move.GetNumber(),
			current.GetNumber() == move.GetNumber() && (existing.moveState() != arriving || current.GetVersion() > move.GetVersion()):
			return Outcome{Fault: staleMove(staged.GetId())}
		}
	}
	for _, progress := range staged.GetProgress() {
		// Terms and runs of the source mean nothing here. Each run of this shard is later than term 0.
		progress.Term, progress.Run = 0, 0
	}
	j := newJob(staged)
	j.countSharedBodies()
	m.jobs[staged.GetId()] = j
	return Outcome{}
}

// move applies a step of a move. It fails with fault.Stale if the job is not in the state that the step
// requires.
func (m *Machine) move(step *rockwindpb.MoveJob) Outcome {
	j, found := m.jobs[step.GetJob()]
	if !found {
		return Outcome{Fault: unknownJob(step.GetJob())}
	}
	current := j.stored.GetMove()
	state, number := j.moveState(), current.GetNumber()
	sameMove := number == step.GetNumber()
	sameVersion := sameMove && current.GetVersion() == step.GetVersion()
	switch kind := step.GetStep(); {
	case kind == rockwindpb.MoveStep_MOVE_STEP_BEGIN && state == owned && number+1 == step.GetNumber():
		j.stored.Move = &rockwindpb.JobMove{
			State: leaving, Region: step.GetRegion(), Number: step.GetNumber(), Configuration: step.GetConfiguration(),
		}
	case kind == rockwindpb.MoveStep_MOVE_STEP_ABORT && state == leaving && sameMove:
		j.stored.Move = ownedAfter(current)
	case kind == rockwindpb.MoveStep_MOVE_STEP_MARK_MOVED && state == leaving && sameVersion:
		m.jobs[step.GetJob()] = newJob(markerOf(j, current))
	case kind == rockwindpb.MoveStep_MOVE_STEP_CONFIRM && state == moved && sameMove:
		m.jobs[step.GetJob()] = newJob(confirmedMarker(j.stored))
	case kind == rockwindpb.MoveStep_MOVE_STEP_ACTIVATE && state == arriving && sameVersion:
		j.stored.Move = ownedAfter(current)
	case kind == rockwindpb.MoveStep_MOVE_STEP_DISCARD && state == arriving && sameVersion:
		delete(m.jobs, step.GetJob())
		if !step.GetGone() {
			// Repeated submissions must find the job of the source, as they did before the copy came.
			m.jobs[step.GetJob()] = newJob(confirmedMarker(markerOf(j, current)))
		}
	default:
		return Outcome{Fault: staleMove(step.GetJob())}
	}
	return Outcome{}
}

// ownedAfter returns the move of a job that the shard has after the move was activated or aborted.
func ownedAfter(move *rockwindpb.JobMove) *rockwindpb.JobMove {
	return &rockwindpb.JobMove{State: owned, Number: move.GetNumber(), Configuration: move.GetConfiguration()}
}

// markerOf returns the marker of a job that is in the other shard of a move. It has no content.
func markerOf(j *job, move *rockwindpb.JobMove) *rockwindpb.StoredJob {
	marker := &rockwindpb.StoredJob{
		Id: j.stored.GetId(), Host: j.stored.GetHost(), Path: j.stored.GetPath(), Tenant: j.stored.GetTenant(),
		Digest: j.stored.GetDigest(), SubmittedUnixMs: j.stored.GetSubmittedUnixMs(), Move: proto.CloneOf(move),
	}
	marker.Move.State, marker.Move.Confirmed, marker.Move.WaitingTokens = moved, false, 0
	if j.open() {
		marker.Move.WaitingTokens = j.waitingTokens
	}
	return marker
}

// confirmedMarker returns a marker with only what callers need to find the job.
func confirmedMarker(marker *rockwindpb.StoredJob) *rockwindpb.StoredJob {
	confirmed := &rockwindpb.StoredJob{
		Id: marker.GetId(), Digest: marker.GetDigest(), SubmittedUnixMs: marker.GetSubmittedUnixMs(), Move: proto.CloneOf(marker.GetMove()),
	}
	confirmed.Move.Confirmed, confirmed.Move.WaitingTokens = true, 0
	return confirmed
}

func staleMove(id string) *fault.Fault {
	return fault.Newf(fault.Stale, "read the state of the job again", "job %q has changed since the step of its move was decided", id)
}

// Location is what a shard knows of the whereabouts of a job.
type Location struct {
	// Here reports whether the shard has the job, and Moved whether it has a marker.
	Here, Moved bool
	Digest      []byte
	// Move is the latest move, nil if there was none.
	Move *rockwindpb.JobMove
}

// Locate returns what the shard knows of a job. It is valid after the state changes.
func (m *Machine) Locate(id string) Location {
	j, found := m.jobs[id]
	if !found {
		return Location{}
	}
	return Location{Here: j.here(), Moved: j.moveState() == moved, Digest: j.stored.GetDigest(), Move: proto.CloneOf(j.stored.GetMove())}
}

// CopyForMove returns the copy of a leaving job for the target of its move, nil if the job is not leaving.
// source is the region of this shard. Bodies and results share memory with the state, which does not modify them.
func (m *Machine) CopyForMove(id, source string) *rockwindpb.StoredJob {
	j, found := m.jobs[id]
	if !found || j.moveState() != leaving {
		return nil
	}
	copied := &rockwindpb.StoredJob{
		Id: id, Host: j.stored.GetHost(), Path: j.stored.GetPath(), SubmittedUnixMs: j.stored.GetSubmittedUnixMs(), Ended: j.stored.GetEnded(),
		Digest: j.stored.GetDigest(), Tenant: j.stored.GetTenant(), Move: proto.CloneOf(j.stored.GetMove()), Configuration: j.stored.GetConfiguration(),
	}
	copied.Move.State, copied.Move.Region = arriving, source
	for _, item := range j.stored.GetItems() {
		// The state clears the bodies of items with results.
		copied.Items = append(copied.Items, &rockwindpb.StoredItem{
			Id: item.GetId(), Path: item.GetPath(), Headers: item.GetHeaders(), Body: item.GetBody(), Tokens: item.GetTokens(),
		})
	}
	copied.Results = append(copied.Results, j.stored.GetResults()...)
	for _, failures := range j.stored.GetFailures() {
		copied.Failures = append(copied.Failures, proto.CloneOf(failures))
	}
	for _, progress := range j.stored.GetProgress() {
		copied.Progress = append(copied.Progress, proto.CloneOf(progress))
	}
	return copied
}

// mayDrop reports whether a job may be dropped after its retention time. The target of a move needs the marker
// until it has activated the move, and copies are discarded only if the source does not need them.
func (j *job) mayDrop() bool {
	return j.here() || (j.moveState() == moved && j.stored.GetMove().GetConfirmed())
}

// HasMoves reports whether the state contains a move that a store without the feature level of moves would not
// understand.
func (m *Machine) HasMoves() bool {
	for _, j := range m.jobs {
		if j.stored.Move != nil {
			return true
		}
	}
	return false
}
