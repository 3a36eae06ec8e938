package control_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/control"
	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	machineCount = 3
	testShards   = 2
	testTick     = 20 * time.Millisecond
	testTimeout  = 60 * time.Second
)

// cluster runs control daemons in the test process.
type cluster struct {
	t        testing.TB
	machines []*rockwindpb.ControlMachine
	folders  []string
	running  []*running
	// tls is nil if TLS is off.
	tls *rockwindpb.TlsSettings
	// placement is nil if placement is off.
	placement *rockwindpb.PlacementSettings
}

type running struct {
	stop context.CancelFunc
	done chan error
}

func startCluster(t testing.TB) *cluster {
	t.Helper()
	c := newCluster(t, nil)
	c.found(http.DefaultClient, "http://")
	return c
}

// startClusterWithPlacement starts a cluster with placement enabled.
func startClusterWithPlacement(t testing.TB, placement *rockwindpb.PlacementSettings) *cluster {
	t.Helper()
	c := newClusterWith(t, nil, placement)
	c.found(http.DefaultClient, "http://")
	return c
}

// newCluster starts machines that do not belong to a cluster yet.
func newCluster(t testing.TB, tls *rockwindpb.TlsSettings) *cluster {
	t.Helper()
	return newClusterWith(t, tls, nil)
}

func newClusterWith(t testing.TB, tls *rockwindpb.TlsSettings, placement *rockwindpb.PlacementSettings) *cluster {
	t.Helper()
	c := &cluster{t: t, running: make([]*running, machineCount), tls: tls, placement: placement}
	listeners := make([]net.Listener, machineCount)
	for index := range machineCount {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[index] = listener
		c.folders = append(c.folders, t.TempDir())
		c.machines = append(c.machines, &rockwindpb.ControlMachine{
			Machine: fmt.Sprintf("machine-%d", index),
			Address: listener.Addr().String(),
			Zone:    fmt.Sprintf("zone-%d", index),
		})
	}
	for index := range machineCount {
		c.start(index, listeners[index])
	}
	t.Cleanup(func() {
		for index := range machineCount {
			c.stop(index)
		}
	})
	return c
}

// found founds a cluster of all machines. It repeats the call while a machine does not respond, as operators do: a
// TLS handshake with a machine that listens but is still opening its disk fails after 2 s.
func (c *cluster) found(client *http.Client, scheme string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), testTimeout)
	defer cancel()
	var addresses []string
	for _, machine := range c.machines {
		addresses = append(addresses, scheme+machine.GetAddress())
	}
	err := replica.Found(ctx, client, addresses, testShards)
	for fault.Is(err, fault.Unavailable) && retry.Pause(ctx, testTick) {
		err = replica.Found(ctx, client, addresses, testShards)
	}
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) start(index int, listener net.Listener) {
	ctx, stop := context.WithCancel(context.Background())
	started := &running{stop: stop, done: make(chan error, 1)}
	c.running[index] = started
	settings := &rockwindpb.ControlSettings{
		Machine:     c.machines[index].GetMachine(),
		Zone:        c.machines[index].GetZone(),
		DataFolder:  c.folders[index],
		Control:     c.machines,
		InternalTls: c.tls,
		Placement:   c.placement,
		Tick:        durationpb.New(testTick),
	}
	go func() {
		started.done <- control.Run(ctx, settings, control.WithListener(listener), control.WithRepairInterval(10*testTick))
	}()
}

func (c *cluster) stop(index int) {
	c.t.Helper()
	stopped := c.running[index]
	if stopped == nil {
		return
	}
	c.running[index] = nil
	stopped.stop()
	if err := <-stopped.done; err != nil {
		c.t.Errorf("machine %d: %v", index, err)
	}
}

// replaceDisk restarts a stopped machine with an empty disk.
func (c *cluster) replaceDisk(index int) {
	c.t.Helper()
	if err := os.RemoveAll(c.folders[index]); err != nil {
		c.t.Fatal(err)
	}
	c.restart(index)
}

// restart restarts a stopped machine at the same address.
func (c *cluster) restart(index int) {
	c.t.Helper()
	listener, err := net.Listen("tcp", c.machines[index].GetAddress())
	if err != nil {
		c.t.Fatal(err)
	}
	c.start(index, listener)
}

func (c *cluster) client() *controlclient.Client {
	return controlclient.New(controlclient.Options{Machines: c.machines, Zone: "zone-0", CallTimeout: testTimeout})
}

// awaitCopies waits until a machine has copies of all segments of another.
func (c *cluster) awaitCopies(ctx context.Context, from, to int) {
	c.t.Helper()
	for {
		if ctx.Err() != nil {
			c.t.Fatalf("machine %d did not get copies of all segments", to)
		}
		have := c.segments(ctx, to)
		missing := false
		for id, length := range c.segments(ctx, from) {
			missing = missing || have[id] < length
		}
		if !missing && len(have) > 0 {
			return
		}
		time.Sleep(testTick)
	}
}

func (c *cluster) segments(ctx context.Context, index int) map[uint64]uint64 {
	service := rockwindpb.NewSegmentServiceProtobufClient("http://"+c.machines[index].GetAddress(), http.DefaultClient)
	lengths := make(map[uint64]uint64)
	listed, err := service.List(ctx, &rockwindpb.ListSegmentsRequest{})
	if err != nil {
		return lengths
	}
	for _, summary := range listed.GetSegments() {
		lengths[summary.GetSegment()] = summary.GetLength()
	}
	return lengths
}

// Jobs and their results must survive the loss of a machine's disk, even if another
// machine stops for good once the lost copies are repaired.
func TestJobSurvivesLostDisks(t *testing.T) {
	c := startCluster(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	client := c.client()

	bodies := [][]byte{bytes.Repeat([]byte("input"), 100), []byte("first result"), []byte("second result")}
	stored, err := client.Bodies().Store(ctx, &rockwindpb.StoreBodiesRequest{Bodies: bodies})
	if err != nil {
		t.Fatal(err)
	}
	references := stored.GetReferences()
	submitted := submit(ctx, t, client, "key", 2, references[0], false)
	again := submit(ctx, t, client, "key", 2, references[0], true)
	if again.GetId() != submitted.GetId() {
		t.Fatalf("a retry created another job: %s and %s", submitted.GetId(), again.GetId())
	}
	lease := acquire(ctx, t, client, 1)
	complete(ctx, t, client, lease, references[1])

	c.stop(0)
	second := acquire(ctx, t, client, 1)
	c.replaceDisk(0)
	complete(ctx, t, client, second, references[2])
	c.awaitVoter(ctx, 0)
	c.awaitCopies(ctx, 1, 0)
	c.awaitCopies(ctx, 2, 0)

	c.stop(1)
	results, err := client.Jobs().ListResults(ctx, &rockwindpb.ListResultsRequest{JobId: submitted.GetId(), Tenant: "tenant", Limit: 10})
	if err != nil {
		t.Fatal(err)
	}
	if len(results.GetResults()) != 2 {
		t.Fatalf("got %d results, want 2", len(results.GetResults()))
	}
	for index, result := range results.GetResults() {
		read, err := client.Bodies().Read(ctx, &rockwindpb.ReadBodiesRequest{References: []*rockwindpb.BodyReference{result.GetResult()}})
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(read.GetBodies()[0], bodies[index+1]) {
			t.Fatalf("item %d: got result %q", index, read.GetBodies()[0])
		}
	}
	cancelled := submit(ctx, t, client, "other", 5, references[0], false)
	if _, err := client.Jobs().Cancel(ctx, &rockwindpb.CancelJobRequest{JobId: cancelled.GetId(), Tenant: "tenant"}); err != nil {
		t.Fatal(err)
	}
	none, err := client.Jobs().AcquireLeases(ctx, &rockwindpb.AcquireLeasesRequest{Holder: "gateway", MaxItems: 5, Models: []string{"model"}})
	if err != nil || len(none.GetGrants()) != 0 {
		t.Fatalf("got %v of a cancelled job (%v)", none.GetGrants(), err)
	}
}

// A lease must survive a restart of all control machines, during which its holder
// cannot renew it.
func TestNewLeaderRenewsLeases(t *testing.T) {
	const leaseLength = 10 * time.Second
	c := startCluster(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	client := c.client()
	submit(ctx, t, client, "key", 2, &rockwindpb.BodyReference{Segment: 1, Length: 1}, false)
	response, err := client.Jobs().AcquireLeases(ctx, &rockwindpb.AcquireLeasesRequest{
		Holder: "gateway", MaxItems: 1, Models: []string{"model"}, LeaseMs: uint32(leaseLength.Milliseconds()), WaitMs: 30_000,
	})
	if err != nil || len(response.GetGrants()) != 1 {
		t.Fatalf("grants %v, %v", response.GetGrants(), err)
	}
	lease := response.GetGrants()[0].GetLease()
	for index := range machineCount {
		c.stop(index)
	}
	for index := range machineCount {
		c.restart(index)
	}
	// The new leader publishes its demand only after it has extended the leases.
	acquire(ctx, t, client, 1)
	renewed, err := client.Jobs().HeartbeatLeases(ctx, &rockwindpb.HeartbeatLeasesRequest{
		Holder: "gateway", LeaseMs: 1, Leases: []*rockwindpb.LeaseKey{{JobId: lease.GetJobId(), Fence: lease.GetFence()}},
	})
	if err != nil {
		t.Fatal(err)
	}
	verdict := renewed.GetVerdicts()[0]
	if verdict.GetStop() || verdict.GetExpiresUnixMs() <= lease.GetExpiresUnixMs() {
		t.Fatalf("lease expired at %d before the restart, got %v after it", lease.GetExpiresUnixMs(), verdict)
	}
}

// awaitVoter waits until a machine votes in all groups and its old disk is no longer
// a member. Until then the groups lose their quorum if another machine stops.
func (c *cluster) awaitVoter(ctx context.Context, index int) {
	c.t.Helper()
	service := rockwindpb.NewReplicaServiceProtobufClient("http://"+c.machines[index].GetAddress(), http.DefaultClient)
	for {
		if ctx.Err() != nil {
			c.t.Fatalf("machine %d did not become a voter", index)
		}
		identity, err := service.Identity(ctx, &rockwindpb.IdentityRequest{})
		voting := err == nil && len(identity.GetGroups()) == testShards+1
		for _, group := range identity.GetGroups() {
			voting = voting && group.GetVoter() && len(group.GetMembership().GetMembers()) == machineCount
		}
		if voting {
			return
		}
		time.Sleep(testTick)
	}
}

func submit(ctx context.Context, t *testing.T, client *controlclient.Client, key string, items uint32, input *rockwindpb.BodyReference, resent bool) *rockwindpb.Job {
	t.Helper()
	job := &rockwindpb.Job{
		Tenant: "tenant", Group: "group", Model: "model", ClientKey: key, ItemCount: items,
		Input: []*rockwindpb.InputChunk{{ItemCount: items, Body: input}},
	}
	response, err := client.Jobs().Submit(ctx, &rockwindpb.SubmitJobRequest{Job: job})
	if err != nil {
		t.Fatal(err)
	}
	if response.GetResent() != resent {
		t.Fatalf("resent is %v, want %v", response.GetResent(), resent)
	}
	return response.GetJob()
}

func acquire(ctx context.Context, t *testing.T, client *controlclient.Client, items uint32) *rockwindpb.Lease {
	t.Helper()
	response, err := client.Jobs().AcquireLeases(ctx, &rockwindpb.AcquireLeasesRequest{
		Holder: "gateway", MaxItems: items, Models: []string{"model"}, LeaseMs: 30_000, WaitMs: 30_000,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(response.GetGrants()) != 1 {
		t.Fatalf("got %d leases, want 1", len(response.GetGrants()))
	}
	return response.GetGrants()[0].GetLease()
}

func complete(ctx context.Context, t *testing.T, client *controlclient.Client, lease *rockwindpb.Lease, result *rockwindpb.BodyReference) {
	t.Helper()
	response, err := client.Jobs().CompleteItems(ctx, &rockwindpb.CompleteItemsRequest{
		Holder: "gateway",
		Completions: []*rockwindpb.LeaseCompletion{{
			JobId: lease.GetJobId(), Fence: lease.GetFence(), Release: true,
			Items: []*rockwindpb.ItemCompletion{{
				Item: lease.GetFirstItem(), Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED, Result: result,
			}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(response.GetVerdicts()) != 1 || response.GetVerdicts()[0].GetRecorded() != 1 {
		t.Fatalf("completion returned %v", response)
	}
}
