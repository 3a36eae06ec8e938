package control

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/ledger"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// shard is a job shard that this machine replicates.
type shard struct {
	number uint32
	group  replica.Group
	ledger *ledger.Ledger
	// demand is published by the shard's maintainer.
	demand *demandNotifier
}

// shard returns a shard that this machine replicates.
func (d *daemon) shard(number uint32) (*shard, error) {
	d.mutex.Lock()
	found, known := d.shards[number]
	d.mutex.Unlock()
	if !known {
		return nil, notReplicatedFault(number)
	}
	return found, nil
}

// shardOfJob returns the shard encoded in a job's ID.
func (d *daemon) shardOfJob(id string) (*shard, error) {
	number, valid := ledger.ShardOfJob(id)
	if !valid {
		return nil, invalidIDFault("job", id)
	}
	return d.shard(number)
}

// shardOfFile returns the shard encoded in a file's ID.
func (d *daemon) shardOfFile(id string) (*shard, error) {
	number, valid := ledger.ShardOfFile(id)
	if !valid {
		return nil, invalidIDFault("file", id)
	}
	return d.shard(number)
}

func invalidIDFault(kind, id string) error {
	return fault.Newf(fault.NotFound, "check the identifier", "%q is not a valid %s ID", id, kind)
}

// propose replicates a command, stamped with the local time, and returns the
// ledger's response.
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
			"shard %d returned an unexpected %T for a command", s.number, result)
	}
}

// readShard runs read on the ledger as the leader, with all committed commands
// applied.
func readShard[Response any](ctx context.Context, s *shard, read func(*ledger.Ledger) (Response, error)) (Response, error) {
	var response Response
	var failure error
	err := s.group.Read(ctx, func() { response, failure = read(s.ledger) })
	if err == nil {
		err = failure
	}
	return response, err
}
