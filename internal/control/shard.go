package control

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/ledger"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// shard is a job shard on this machine.
type shard struct {
	number uint32
	group  replica.Group
	ledger *ledger.Ledger
	// work is kept by the shard's keeper.
	work *workBoard
}

// shardOf returns a shard that this machine replicates.
func (d *daemon) shard(number uint32) (*shard, error) {
	d.mutex.Lock()
	found, known := d.shards[number]
	d.mutex.Unlock()
	if !known {
		return nil, unknownGroup(number)
	}
	return found, nil
}

// shardOfJob returns the shard that a job's identifier names.
func (d *daemon) shardOfJob(id string) (*shard, error) {
	number, valid := ledger.ShardOfJob(id)
	if !valid {
		return nil, unknownIdentifier("job", id)
	}
	return d.shard(number)
}

// shardOfFile returns the shard that a file's identifier names.
func (d *daemon) shardOfFile(id string) (*shard, error) {
	number, valid := ledger.ShardOfFile(id)
	if !valid {
		return nil, unknownIdentifier("file", id)
	}
	return d.shard(number)
}

func unknownIdentifier(kind, id string) error {
	return fault.Newf(fault.NotFound, "check the identifier", "%q is no identifier of a %s", id, kind)
}

// propose replicates a command, stamped with this machine's time, and returns
// the ledger's response.
func propose[Response any](ctx context.Context, s *shard, command *rockwindpb.JobCommand) (*Response, error) {
	command.NowUnixMs = time.Now().UnixMilli()
	encoded, err := ledger.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	result, err := s.group.Propose(ctx, encoded)
	if err != nil {
		return nil, err
	}
	switch outcome := result.(type) {
	case *Response:
		return outcome, nil
	case *fault.Fault:
		return nil, outcome
	default:
		return nil, fault.Newf(fault.Internal, "report this with the output of 'rockwind logs'",
			"shard %d answered a command with %T", s.number, result)
	}
}

// view reads the ledger's state as the leader.
func view[Response any](ctx context.Context, s *shard, read func(*ledger.Ledger) (Response, error)) (Response, error) {
	var response Response
	var failure error
	err := s.group.Read(ctx, func() { response, failure = read(s.ledger) })
	if err == nil {
		err = failure
	}
	return response, err
}
