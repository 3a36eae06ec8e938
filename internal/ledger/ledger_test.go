package ledger

import (
	"bytes"
	"flag"
	"fmt"
	"hash/crc32"
	"os"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/bench/mutant"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const testShard = 7

// TestMain fixes the seed of rapid to make runs reproducible.
func TestMain(m *testing.M) {
	for _, setting := range [][2]string{
		{"rapid.seed", "20261202"}, {"rapid.checks", "250"}, {"rapid.steps", "60"}, {"rapid.nofailfile", "true"},
	} {
		if err := flag.Set(setting[0], setting[1]); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// harness is the state machine that rapid drives. The replica is restored from snapshots
// of the subject, and must give the same responses.
type harness struct {
	subject *Ledger
	replica *Ledger
	oracle  *oracle
	now     int64
	serial  uint64
	history []*rockwindpb.JobCommand
	granted []*rockwindpb.Lease
	bodies  map[uint64][]byte
}

func newHarness(injected defects) *harness {
	s := &harness{subject: New(testShard), replica: New(testShard), oracle: newOracle(), now: 1000, bodies: map[uint64][]byte{}}
	s.subject.defects = injected
	s.replica.defects = injected
	return s
}

// run applies a command to both ledgers and checks the responses.
func (s *harness) run(t *rapid.T, command *rockwindpb.JobCommand) any {
	s.now += rapid.SampledFrom([]int64{0, 1, 500, 5000, 12_000}).Draw(t, "pass")
	command.NowUnixMs = s.now
	encoded, err := EncodeCommand(command)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	answer := s.subject.Apply(0, encoded)
	if replica := s.replica.Apply(0, encoded); fmt.Sprint(replica) != fmt.Sprint(answer) {
		t.Fatalf("the restored ledger responded %v, the original %v", replica, answer)
	}
	s.oracle.check(t, command, answer)
	s.history = append(s.history, proto.CloneOf(command))
	return answer
}

func draw[V any](t *rapid.T, label string, values ...V) V {
	return rapid.SampledFrom(values).Draw(t, label)
}

func (s *harness) Submit(t *rapid.T) {
	s.serial++
	number := draw(t, "id", s.serial, s.serial, s.serial, max(1, s.serial-1))
	count := draw(t, "items", uint32(1), 2, 5, 20, 70, 300)
	job := &rockwindpb.Job{
		Id:             JobID(testShard, number),
		Tenant:         draw(t, "tenant", "t1", "t2"),
		Group:          draw(t, "group", "a", "b", "c"),
		Model:          draw(t, "model", "m1", "m2"),
		ClientKey:      draw(t, "key", "", "", "k1", "k2"),
		BodyDigest:     []byte(draw(t, "digest", "one", "one", "two")),
		ItemCount:      count,
		DeadlineUnixMs: draw(t, "deadline", int64(1_000_000), 2_000_000),
		Tries:          draw(t, "tries", uint32(1), 2, 3, 9),
		InputFile:      draw(t, "file", "", FileID(testShard, 1)),
	}
	const chunk = 7
	for first := uint32(0); first < count; first += chunk {
		job.Input = append(job.Input, &rockwindpb.InputChunk{
			FirstItem: first,
			ItemCount: min(chunk, count-first),
			Body:      &rockwindpb.BodyReference{Segment: 1, Offset: uint64(first), Length: 9},
		})
	}
	s.run(t, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Submit{Submit: &rockwindpb.SubmitJobRequest{Job: job}}})
}

func (s *harness) Acquire(t *rapid.T) {
	request := &rockwindpb.AcquireLeasesRequest{
		Holder:   drawHolder(t),
		MaxItems: draw(t, "max", uint32(0), 1, 3, 16, 100, 2000),
		Models:   draw(t, "models", []string{"m1"}, []string{"m2"}, []string{"m1", "m2"}, nil),
		LeaseMs:  draw(t, "length", uint32(10_000), 30_000),
		Groups:   draw(t, "groups", nil, nil, []string{"a"}, []string{"b", "c"}),
	}
	answer := s.run(t, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Acquire{Acquire: request}})
	for _, grant := range answer.(*rockwindpb.AcquireLeasesResponse).Grants {
		s.granted = append(s.granted, grant.Lease)
	}
}

func drawHolder(t *rapid.T) string {
	return draw(t, "holder", "g1", "g2", "g3")
}

// drawLease picks a granted lease, preferring recent ones.
func (s *harness) drawLease(t *rapid.T) *rockwindpb.Lease {
	if len(s.granted) == 0 {
		t.Skip("no lease was granted yet")
	}
	recent := s.granted[max(0, len(s.granted)-4):]
	if rapid.IntRange(0, 3).Draw(t, "any age") == 0 {
		recent = s.granted
	}
	return rapid.SampledFrom(recent).Draw(t, "lease")
}

// holderOf returns the holder of a lease in most cases, and sometimes a fixed one.
func holderOf(t *rapid.T, lease *rockwindpb.Lease) string {
	return draw(t, "as", lease.Holder, lease.Holder, lease.Holder, "g1")
}

func (s *harness) Heartbeat(t *rapid.T) {
	lease := s.drawLease(t)
	request := &rockwindpb.HeartbeatLeasesRequest{
		Holder:  holderOf(t, lease),
		Leases:  []*rockwindpb.LeaseKey{{JobId: lease.JobId, Fence: lease.Fence}},
		LeaseMs: draw(t, "length", uint32(1000), 30_000),
	}
	s.run(t, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Heartbeat{Heartbeat: request}})
}

func (s *harness) Complete(t *rapid.T) {
	lease := s.drawLease(t)
	completion := &rockwindpb.LeaseCompletion{JobId: lease.JobId, Fence: lease.Fence, Release: draw(t, "release", false, false, true)}
	kinds := draw(t, "kinds", "ccccc", "cfry", "r")
	every := draw(t, "every", uint32(1), 1, 2, 5)
	for item := lease.FirstItem; item < lease.FirstItem+lease.ItemCount; item += every {
		s.serial++
		kind := kinds[int(s.serial)%len(kinds)]
		completion.Items = append(completion.Items, itemReport(item, kind, s.serial))
	}
	if rapid.IntRange(0, 9).Draw(t, "outside") == 0 {
		completion.Items = append(completion.Items, itemReport(lease.FirstItem+lease.ItemCount+1, 'c', s.serial))
	}
	if rapid.Bool().Draw(t, "reversed") {
		slices.Reverse(completion.Items)
	}
	request := &rockwindpb.CompleteItemsRequest{Holder: holderOf(t, lease), Completions: []*rockwindpb.LeaseCompletion{completion}}
	s.run(t, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Complete{Complete: request}})
}

func itemReport(item uint32, kind byte, serial uint64) *rockwindpb.ItemCompletion {
	reference := &rockwindpb.BodyReference{Segment: 1 + serial%3, Offset: serial * 100, Length: 100, Checksum: uint32(serial)}
	switch kind {
	case 'c':
		return &rockwindpb.ItemCompletion{Item: item, Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED, Result: reference}
	case 'f':
		return &rockwindpb.ItemCompletion{Item: item, Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_FAILED}
	case 'r':
		return &rockwindpb.ItemCompletion{Item: item, Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_RETRY}
	default:
		return &rockwindpb.ItemCompletion{Item: item, Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_RETURNED}
	}
}

// Resend repeats an earlier command, as a client does after a lost response.
func (s *harness) Resend(t *rapid.T) {
	if len(s.history) == 0 {
		t.Skip("nothing was sent yet")
	}
	recent := s.history[max(0, len(s.history)-6):]
	if rapid.Bool().Draw(t, "any age") {
		recent = s.history
	}
	answer := s.run(t, proto.CloneOf(rapid.SampledFrom(recent).Draw(t, "command")))
	if acquired, ok := answer.(*rockwindpb.AcquireLeasesResponse); ok {
		for _, grant := range acquired.Grants {
			s.granted = append(s.granted, grant.Lease)
		}
	}
}

func (s *harness) Cancel(t *rapid.T) {
	request := &rockwindpb.CancelJobRequest{
		JobId:  JobID(testShard, uint64(rapid.IntRange(1, int(s.serial)+1).Draw(t, "id"))),
		Tenant: draw(t, "tenant", "", "t1", "t2"),
	}
	if len(s.granted) > 0 && rapid.Bool().Draw(t, "leased") {
		request.JobId = s.drawLease(t).JobId
	}
	s.run(t, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Cancel{Cancel: request}})
}

func (s *harness) Expire(t *rapid.T) {
	command := &rockwindpb.ExpireCommand{
		RetentionMs:            draw(t, "retention", int64(20_000), 300_000),
		IdempotencyRetentionMs: draw(t, "records", int64(20_000), 300_000),
		StartedTimeoutMs:       draw(t, "started", int64(1000), 30_000),
		RenewLeasesMs:          draw(t, "renew", int64(0), 0, 15_000),
	}
	s.run(t, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Expire{Expire: command}})
}

func (s *harness) Begin(t *rapid.T) {
	request := &rockwindpb.BeginRequestRequest{
		Tenant:     draw(t, "tenant", "t1", "t2"),
		Key:        draw(t, "key", "r1", "r2"),
		BodyDigest: []byte(draw(t, "digest", "one", "one", "two")),
		Owner:      draw(t, "owner", "o1", "o2", "o3"),
	}
	s.run(t, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_BeginRequest{BeginRequest: request}})
}

func (s *harness) Finish(t *rapid.T) {
	request := &rockwindpb.FinishRequestRequest{
		Tenant: draw(t, "tenant", "t1", "t2"),
		Key:    draw(t, "key", "r1", "r2"),
		Owner:  draw(t, "owner", "o1", "o2", "o3"),
		State: draw(t, "state", rockwindpb.RecordState_RECORD_STATE_FINISHED,
			rockwindpb.RecordState_RECORD_STATE_NOT_RUN, rockwindpb.RecordState_RECORD_STATE_UNKNOWN),
		Status:      draw(t, "status", int32(200), 500),
		ContentType: "application/json",
		Body:        &rockwindpb.BodyReference{Segment: 3, Offset: s.serial},
	}
	s.run(t, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_FinishRequest{FinishRequest: request}})
}

func (s *harness) PutFile(t *rapid.T) {
	file := &rockwindpb.StoredFile{
		Id:     FileID(testShard, draw(t, "id", uint64(1), 2)),
		Tenant: draw(t, "tenant", "t1", "t1", "t2"),
		Digest: []byte(draw(t, "digest", "one", "one", "two")),
	}
	s.run(t, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_PutFile{PutFile: &rockwindpb.PutFileRequest{File: file}}})
}

// Seal seals a block, in some cases with the wrong digest, which must be rejected.
func (s *harness) Seal(t *rapid.T) {
	blocks := s.subject.SealableBlocks(1)
	if len(blocks) == 0 {
		t.Skip("nothing can be sealed")
	}
	s.serial++
	body := blocks[0].Body
	s.bodies[s.serial] = body
	command := blocks[0].Command(&rockwindpb.BodyReference{
		Segment: s.serial, Length: uint32(len(body)), Checksum: crc32.Checksum(body, castagnoli),
	})
	wrong := rapid.IntRange(0, 3).Draw(t, "wrong") == 0
	if wrong {
		command.Digest++
	}
	answer := s.run(t, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Seal{Seal: command}})
	if wrong {
		expectFault(t, "seal with a wrong digest", answer, fault.Conflict)
		return
	}
	expect(t, "seal", answer, &rockwindpb.SealResultsResponse{Sealed: true})
}

// Restore replaces the replica with a ledger restored from a snapshot of the subject,
// and swaps the two in some cases.
func (s *harness) Restore(t *rapid.T) {
	snapshot, err := s.subject.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	restored := New(testShard)
	restored.defects = s.subject.defects
	if err := restored.Restore(snapshot); err != nil {
		t.Fatalf("restore: %v", err)
	}
	s.replica = restored
	if rapid.Bool().Draw(t, "swap") {
		s.subject, s.replica = s.replica, s.subject
	}
}

// Check compares all reads with the oracle.
func (s *harness) Check(t *rapid.T) {
	first, err := s.subject.Snapshot()
	second, replicaErr := s.replica.Snapshot()
	if err != nil || replicaErr != nil || !bytes.Equal(first, second) {
		t.Fatalf("the snapshots of equal ledgers differ: %v, %v", err, replicaErr)
	}
	stats := s.subject.Stats()
	waiting := uint64(0)
	for id, job := range s.oracle.jobs {
		waiting += uint64(len(s.oracle.waiting(job)))
		answer, err := s.subject.GetJob(s.now, &rockwindpb.GetJobRequest{JobId: id, Tenant: job.definition.Tenant})
		if err != nil || !proto.Equal(answer.Job, job.definition) {
			t.Fatalf("job %s: got %v, %v, want %v", id, answer, err, job.definition)
		}
		s.checkResults(t, id, job)
	}
	listed := s.subject.ListJobs(&rockwindpb.ListJobsRequest{Limit: maximumPageSize})
	if len(listed.Jobs) != len(s.oracle.jobs) || stats.ItemsWaiting != waiting || stats.Leases != len(s.oracle.leases) {
		t.Fatalf("%d jobs, %+v; want %d jobs, %d waiting, %d leases",
			len(listed.Jobs), stats, len(s.oracle.jobs), waiting, len(s.oracle.leases))
	}
	s.checkExpiry(t)
}

// checkExpiry checks that NextExpiry is not later than any lease, and that HasWork does
// not miss work.
func (s *harness) checkExpiry(t *rapid.T) {
	next, pending := s.subject.NextExpiry(s.now)
	for fence, lease := range s.oracle.leases {
		if !pending || next > max(s.now, lease.expires) {
			t.Fatalf("the next expiry %d is later than the expiry of lease %d", next, fence)
		}
	}
	if s.subject.HasWork([]string{"m1", "m2"}, s.now) {
		return
	}
	if len(s.oracle.eligibleJobs(&rockwindpb.AcquireLeasesRequest{Models: []string{"m1", "m2"}})) > 0 {
		t.Fatalf("HasWork returned false while items are waiting")
	}
}

// checkResults reads all results of a job, page by page, and expands sealed blocks.
func (s *harness) checkResults(t *rapid.T, id string, job *oracleJob) {
	found := 0
	request := &rockwindpb.ListResultsRequest{JobId: id, Limit: 64}
	for request.FromItem < job.definition.ItemCount {
		page, err := s.subject.ListResults(request)
		if err == nil && page.Sealed != nil {
			page, err = ExpandSealed(request, page, s.bodies[page.Sealed.Index.Segment])
		}
		if err != nil || page.NextItem <= request.FromItem {
			t.Fatalf("results of %s from %d: %v, %v", id, request.FromItem, page, err)
		}
		for _, result := range page.Results {
			if result.Item < request.FromItem || result.Item >= page.NextItem || !proto.Equal(result, job.results[result.Item]) {
				t.Fatalf("result of %s: got %v, want %v", id, result, job.results[result.Item])
			}
			found++
		}
		request.FromItem = page.NextItem
	}
	if found != len(job.results) {
		t.Fatalf("got %d results of %s, want %d", found, id, len(job.results))
	}
}

func TestLedgerAgreesWithOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newHarness(defects{})))
	})
}

func TestOracleSeesDefects(t *testing.T) {
	for name, injected := range map[string]defects{
		"no fence":             {skipFenceCheck: true},
		"unbounded retry":      {skipTryCount: true},
		"cancel unchecked":     {skipCancelCheck: true},
		"record granted twice": {grantRecordTwice: true},
		"blind retry":          {freeTimedOutKey: true},
	} {
		t.Run(name, func(t *testing.T) {
			noticed := mutant.Killed(t, func(t *rapid.T) {
				t.Repeat(rapid.StateMachineActions(newHarness(injected)))
			})
			if !noticed {
				t.Fatal("the oracle does not detect the defect")
			}
		})
	}
}
