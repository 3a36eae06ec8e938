package gateway

import (
	"context"
	"hash/crc32"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/ledger"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// memoryControl implements control in memory, with an unreplicated ledger and a map of
// bodies. Commands to the ledger can be made to fail.
type memoryControl struct {
	mutex  sync.Mutex
	ledger *ledger.Ledger
	index  uint64
	bodies map[uint64][]byte
	// failures is the number of next commands that fail without effect.
	failures int
	// changed is closed after each command.
	changed chan struct{}
}

func newMemoryControl() *memoryControl {
	return &memoryControl{ledger: ledger.New(1), bodies: make(map[uint64][]byte), changed: make(chan struct{})}
}

func (c *memoryControl) Jobs() rockwindpb.JobService       { return memoryJobs{c} }
func (c *memoryControl) Records() rockwindpb.RecordService { return memoryRecords{c} }
func (c *memoryControl) Files() rockwindpb.FileService     { return memoryFiles{c} }
func (c *memoryControl) Bodies() rockwindpb.BodyService    { return memoryBodies{c} }
func (c *memoryControl) Fleet() rockwindpb.FleetService    { return memoryFleet{c} }

// apply executes a command in the ledger, as the leader of its only shard does.
func apply[T proto.Message](c *memoryControl, command *rockwindpb.JobCommand) (T, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var none T
	if c.failures > 0 {
		c.failures--
		return none, fault.New(fault.Unavailable, "no quorum", "wait")
	}
	command.NowUnixMs = time.Now().UnixMilli()
	encoded, err := ledger.EncodeCommand(command)
	if err != nil {
		return none, err
	}
	c.index++
	result := c.ledger.Apply(c.index, encoded)
	close(c.changed)
	c.changed = make(chan struct{})
	switch typed := result.(type) {
	case T:
		return typed, nil
	case error:
		return none, typed
	}
	return none, fault.New(fault.Internal, "unexpected result", "fix the test")
}

type memoryJobs struct{ *memoryControl }

func (c memoryJobs) Submit(_ context.Context, request *rockwindpb.SubmitJobRequest) (*rockwindpb.SubmitJobResponse, error) {
	job := proto.CloneOf(request.GetJob())
	if job.Id == "" {
		job.Id = ledger.JobID(1, rand.Uint64())
	}
	job.Shard = 1
	return apply[*rockwindpb.SubmitJobResponse](c.memoryControl, &rockwindpb.JobCommand{
		Command: &rockwindpb.JobCommand_Submit{Submit: &rockwindpb.SubmitJobRequest{Job: job}},
	})
}

func (c memoryJobs) Get(_ context.Context, request *rockwindpb.GetJobRequest) (*rockwindpb.GetJobResponse, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ledger.GetJob(time.Now().UnixMilli(), request)
}

func (c memoryJobs) List(_ context.Context, request *rockwindpb.ListJobsRequest) (*rockwindpb.ListJobsResponse, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ledger.ListJobs(request), nil
}

func (c memoryJobs) Cancel(_ context.Context, request *rockwindpb.CancelJobRequest) (*rockwindpb.CancelJobResponse, error) {
	return apply[*rockwindpb.CancelJobResponse](c.memoryControl, &rockwindpb.JobCommand{
		Command: &rockwindpb.JobCommand_Cancel{Cancel: request},
	})
}

func (c memoryJobs) ListResults(_ context.Context, request *rockwindpb.ListResultsRequest) (*rockwindpb.ListResultsResponse, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ledger.ListResults(request)
}

// AcquireLeases waits for work up to the requested time, as a leader does.
func (c memoryJobs) AcquireLeases(ctx context.Context, request *rockwindpb.AcquireLeasesRequest) (*rockwindpb.AcquireLeasesResponse, error) {
	deadline := time.NewTimer(time.Duration(request.GetWaitMs()) * time.Millisecond)
	defer deadline.Stop()
	for {
		c.mutex.Lock()
		changed := c.changed
		work := c.ledger.HasWork(request.GetModels(), time.Now().UnixMilli())
		c.mutex.Unlock()
		if work && request.GetMaxItems() == 0 {
			return &rockwindpb.AcquireLeasesResponse{WorkWaits: true}, nil
		}
		if work {
			return apply[*rockwindpb.AcquireLeasesResponse](c.memoryControl, &rockwindpb.JobCommand{
				Command: &rockwindpb.JobCommand_Acquire{Acquire: request},
			})
		}
		select {
		case <-changed:
		case <-deadline.C:
			return &rockwindpb.AcquireLeasesResponse{}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c memoryJobs) HeartbeatLeases(_ context.Context, request *rockwindpb.HeartbeatLeasesRequest) (*rockwindpb.HeartbeatLeasesResponse, error) {
	return apply[*rockwindpb.HeartbeatLeasesResponse](c.memoryControl, &rockwindpb.JobCommand{
		Command: &rockwindpb.JobCommand_Heartbeat{Heartbeat: request},
	})
}

func (c memoryJobs) CompleteItems(_ context.Context, request *rockwindpb.CompleteItemsRequest) (*rockwindpb.CompleteItemsResponse, error) {
	return apply[*rockwindpb.CompleteItemsResponse](c.memoryControl, &rockwindpb.JobCommand{
		Command: &rockwindpb.JobCommand_Complete{Complete: request},
	})
}

type memoryRecords struct{ *memoryControl }

func (c memoryRecords) Begin(_ context.Context, request *rockwindpb.BeginRequestRequest) (*rockwindpb.BeginRequestResponse, error) {
	return apply[*rockwindpb.BeginRequestResponse](c.memoryControl, &rockwindpb.JobCommand{
		Command: &rockwindpb.JobCommand_BeginRequest{BeginRequest: request},
	})
}

func (c memoryRecords) Finish(_ context.Context, request *rockwindpb.FinishRequestRequest) (*rockwindpb.FinishRequestResponse, error) {
	return apply[*rockwindpb.FinishRequestResponse](c.memoryControl, &rockwindpb.JobCommand{
		Command: &rockwindpb.JobCommand_FinishRequest{FinishRequest: request},
	})
}

type memoryFiles struct{ *memoryControl }

func (c memoryFiles) Put(_ context.Context, request *rockwindpb.PutFileRequest) (*rockwindpb.PutFileResponse, error) {
	file := proto.CloneOf(request.GetFile())
	if file.Id == "" {
		file.Id = ledger.FileID(1, rand.Uint64())
	}
	return apply[*rockwindpb.PutFileResponse](c.memoryControl, &rockwindpb.JobCommand{
		Command: &rockwindpb.JobCommand_PutFile{PutFile: &rockwindpb.PutFileRequest{File: file}},
	})
}

func (c memoryFiles) Get(_ context.Context, request *rockwindpb.GetFileRequest) (*rockwindpb.GetFileResponse, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ledger.GetFile(request)
}

type memoryBodies struct{ *memoryControl }

func (c memoryBodies) Store(_ context.Context, request *rockwindpb.StoreBodiesRequest) (*rockwindpb.StoreBodiesResponse, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	response := &rockwindpb.StoreBodiesResponse{}
	for _, body := range request.GetBodies() {
		offset := uint64(len(c.bodies))
		c.bodies[offset] = append([]byte(nil), body...)
		response.References = append(response.References, &rockwindpb.BodyReference{
			Segment: 1, Offset: offset, Length: uint32(len(body)),
			Checksum: crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)),
		})
	}
	return response, nil
}

func (c memoryBodies) Read(_ context.Context, request *rockwindpb.ReadBodiesRequest) (*rockwindpb.ReadBodiesResponse, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	response := &rockwindpb.ReadBodiesResponse{}
	for _, reference := range request.GetReferences() {
		response.Bodies = append(response.Bodies, c.bodies[reference.GetOffset()])
	}
	return response, nil
}

type memoryFleet struct{ *memoryControl }

func (memoryFleet) Exchange(_ context.Context, request *rockwindpb.ExchangeRequest) (*rockwindpb.ExchangeResponse, error) {
	return &rockwindpb.ExchangeResponse{Peers: []string{request.GetGateway()}}, nil
}

func (memoryFleet) Status(context.Context, *rockwindpb.FleetStatusRequest) (*rockwindpb.FleetStatusResponse, error) {
	return &rockwindpb.FleetStatusResponse{}, nil
}

func (memoryFleet) ShareAggregates(context.Context, *rockwindpb.ShareAggregatesRequest) (*rockwindpb.ShareAggregatesResponse, error) {
	return &rockwindpb.ShareAggregatesResponse{}, nil
}

// fixedConfiguration implements configurationFollower; set replaces the configuration.
type fixedConfiguration struct {
	mutex   sync.Mutex
	index   *configuration.Index
	changed chan struct{}
	// outOfContact is set while no control replica answers.
	outOfContact bool
}

func newFixedConfiguration() *fixedConfiguration {
	return &fixedConfiguration{index: configuration.Empty(), changed: make(chan struct{})}
}

func (f *fixedConfiguration) set(index *configuration.Index) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.index = index
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fixedConfiguration) Current() *configuration.Index {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.index
}

func (f *fixedConfiguration) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

func (*fixedConfiguration) Hint(uint64) {}

func (f *fixedConfiguration) setOutOfContact(outOfContact bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.outOfContact = outOfContact
}

func (f *fixedConfiguration) LastHeard() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.outOfContact {
		return time.Time{}
	}
	return time.Now()
}

func (*fixedConfiguration) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
