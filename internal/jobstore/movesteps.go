package jobstore

import (
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// confirmDelay is the least time between the mark of a move and its confirmation, during which the tokens of the job
// count in both shards. The owner of a limit reads all shards within 0.4 s and uses the reports for a second.
const confirmDelay = 1500 * time.Millisecond

// MoveCandidate is a job that moves or may have to.
type MoveCandidate struct {
	ID, Host, Path, Tenant string
	// Configuration is the number of the configuration by which the job was accepted, zero if it is not known.
	Configuration uint64
	// Open reports whether any item has no result and may still run.
	Open bool
	// Move is the latest move of the job, nil if there was none.
	Move *rockwindpb.JobMove
}

// Leaving reports whether the job is to leave this shard.
func (c MoveCandidate) Leaving() bool { return c.Move.GetState() == leaving }

// Arriving reports whether the shard has a copy of the job that does not count yet.
func (c MoveCandidate) Arriving() bool { return c.Move.GetState() == arriving }

// Moved reports whether the shard has the marker of a move that is not confirmed.
func (c MoveCandidate) Moved() bool { return c.Move.GetState() == moved }

// Moves returns the jobs with a move in progress and the owned ones for which mayMove returns true.
func (m *Machine) Moves(mayMove func(host, path, tenant string) bool) []MoveCandidate {
	var candidates []MoveCandidate
	for id, j := range m.jobs {
		switch j.moveState() {
		case owned:
			if !mayMove(j.stored.GetHost(), j.stored.GetPath(), j.stored.GetTenant()) {
				continue
			}
		case moved:
			if j.stored.GetMove().GetConfirmed() {
				continue
			}
		}
		candidates = append(candidates, MoveCandidate{
			ID: id, Host: j.stored.GetHost(), Path: j.stored.GetPath(), Tenant: j.stored.GetTenant(), Configuration: j.stored.GetConfiguration(), Open: j.open(),
			Move: proto.CloneOf(j.stored.GetMove()),
		})
	}
	return candidates
}

// MoveAction is what the leader of the source does next about a job.
type MoveAction int

// The actions. MoveCopy brings a copy to the target and then marks the job as moved.
const (
	MoveNothing MoveAction = iota
	MoveBegin
	MoveAbort
	MoveCopy
	MoveFinish
	MoveConfirm
)

// MoveFacts is what the leader of the source knows about a job.
type MoveFacts struct {
	// Move is the latest move of the job, nil if there was none.
	Move *rockwindpb.JobMove
	// MustMove reports that the job may not stay in this shard, and Target is the region of the shard that takes it,
	// by the configuration with the given number.
	MustMove      bool
	Target        string
	Configuration uint64
	// MayBegin reports that another move may begin now.
	MayBegin bool
	// Quiet reports that no attempt of the job is in progress here and that all results, failures and progress are
	// recorded.
	Quiet bool
	// CopyFailed reports that the target did not take the copy in time or refused it.
	CopyFailed bool
	// Finished reports that the target does not need the marker any more, and MovedFor is how long this leader has
	// known it.
	Finished bool
	MovedFor time.Duration
}

// NextMoveAction decides what the leader of the source does next about a job.
func NextMoveAction(facts MoveFacts) MoveAction {
	current := facts.Configuration >= facts.Move.GetConfiguration()
	switch facts.Move.GetState() {
	case owned:
		if facts.MustMove && facts.MayBegin && current {
			return MoveBegin
		}
	case leaving:
		// A leader with an older configuration continues the move.
		otherPlan := current && (!facts.MustMove || facts.Target != facts.Move.GetRegion())
		switch {
		case otherPlan || facts.CopyFailed:
			return MoveAbort
		case facts.Quiet:
			return MoveCopy
		}
	case moved:
		switch {
		case facts.Move.GetConfirmed():
		case !facts.Finished:
			return MoveFinish
		case facts.MovedFor >= confirmDelay:
			return MoveConfirm
		}
	}
	return MoveNothing
}

// CheckArrival decides what the leader of the target does with the copy of an arriving job, given what a linearizable
// read of the source returned after the copy was stored. It returns nil if the copy has to wait.
func CheckArrival(id string, copied *rockwindpb.JobMove, source Location) *rockwindpb.MoveJob {
	step := &rockwindpb.MoveJob{Job: id, Number: copied.GetNumber(), Version: copied.GetVersion()}
	sameMove := source.Move.GetNumber() == copied.GetNumber()
	switch {
	case !source.Here && !source.Moved:
		if source.Move.GetState() == arriving && source.Move.GetNumber() <= copied.GetNumber() {
			return nil
		}
		// The source has dropped the job, or it is on its way back there by a later move.
		step.Step, step.Gone = rockwindpb.MoveStep_MOVE_STEP_DISCARD, true
	case source.Moved && sameMove:
		if source.Move.GetVersion() != copied.GetVersion() {
			return nil
		}
		step.Step = rockwindpb.MoveStep_MOVE_STEP_ACTIVATE
	case sameMove && source.Move.GetState() == leaving:
		return nil
	default:
		step.Step = rockwindpb.MoveStep_MOVE_STEP_DISCARD
	}
	return step
}

// BeginMove begins the next move of a job.
func BeginMove(id string, before *rockwindpb.JobMove, target string, configuration uint64) *rockwindpb.MoveJob {
	return &rockwindpb.MoveJob{
		Job: id, Step: rockwindpb.MoveStep_MOVE_STEP_BEGIN, Number: before.GetNumber() + 1, Region: target, Configuration: configuration,
	}
}

// AbortMove ends a move that is not marked as moved.
func AbortMove(id string, move *rockwindpb.JobMove) *rockwindpb.MoveJob {
	return &rockwindpb.MoveJob{Job: id, Step: rockwindpb.MoveStep_MOVE_STEP_ABORT, Number: move.GetNumber()}
}

// MarkMoved marks a job as moved after the target has stored the copy with the given move.
func MarkMoved(id string, copied *rockwindpb.JobMove) *rockwindpb.MoveJob {
	return &rockwindpb.MoveJob{Job: id, Step: rockwindpb.MoveStep_MOVE_STEP_MARK_MOVED, Number: copied.GetNumber(), Version: copied.GetVersion()}
}

// ConfirmMove confirms that the target does not need the marker any more.
func ConfirmMove(id string, move *rockwindpb.JobMove) *rockwindpb.MoveJob {
	return &rockwindpb.MoveJob{Job: id, Step: rockwindpb.MoveStep_MOVE_STEP_CONFIRM, Number: move.GetNumber()}
}

// MoveFinished reports whether the target of a move does not need the source any more, by what the target knows of the job.
func MoveFinished(number uint64, target Location) bool {
	return target.Move.GetState() != arriving || target.Move.GetNumber() > number
}
