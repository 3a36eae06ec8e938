package control_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/control"
	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/rockwindpb"
)

func start(t *testing.T) *controlclient.Client {
	t.Helper()
	folder := t.TempDir()
	settings := &rockwindpb.ControlSettings{Machine: "one", Zone: "z", Listen: "127.0.0.1:0", DataFolder: folder}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- control.Run(ctx, settings) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	var address []byte
	for len(address) == 0 {
		address, _ = os.ReadFile(filepath.Join(folder, "address"))
		time.Sleep(time.Millisecond)
	}
	return controlclient.New(controlclient.Options{Control: []*rockwindpb.ControlMachine{{Machine: "one", Address: string(address), Zone: "z"}}, Zone: "z"})
}

func TestJobThroughOneMachine(t *testing.T) {
	client := start(t)
	ctx := t.Context()
	stored, err := client.Bodies().Store(ctx, &rockwindpb.StoreBodiesRequest{Bodies: [][]byte{[]byte("input"), []byte("result")}})
	if err != nil {
		t.Fatal(err)
	}
	job := &rockwindpb.Job{Tenant: "t", Group: "g", Model: "m", ClientKey: "k", ItemCount: 1,
		Input: []*rockwindpb.InputChunk{{ItemCount: 1, Body: stored.References[0]}}}
	submitted, err := client.Jobs().Submit(ctx, &rockwindpb.SubmitJobRequest{Job: job})
	if err != nil {
		t.Fatal(err)
	}
	acquired, err := client.Jobs().AcquireLeases(ctx, &rockwindpb.AcquireLeasesRequest{Holder: "h", MaxItems: 10, Models: []string{"m"}, LeaseMs: 1000, WaitMs: 5000})
	if err != nil || len(acquired.Grants) != 1 {
		t.Fatal(err, acquired)
	}
	lease := acquired.Grants[0].Lease
	completed, err := client.Jobs().CompleteItems(ctx, &rockwindpb.CompleteItemsRequest{Holder: "h", Completions: []*rockwindpb.LeaseCompletion{{
		JobId: lease.JobId, Fence: lease.Fence, Items: []*rockwindpb.ItemCompletion{{Item: 0, Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED, Result: stored.References[1]}}, Release: true}}})
	if err != nil || completed.Verdicts[0].Recorded != 1 {
		t.Fatal(err, completed)
	}
	results, err := client.Jobs().ListResults(ctx, &rockwindpb.ListResultsRequest{JobId: submitted.Job.Id, Tenant: "t"})
	if err != nil || len(results.Results) != 1 {
		t.Fatal(err, results)
	}
	bodies, err := client.Bodies().Read(ctx, &rockwindpb.ReadBodiesRequest{References: []*rockwindpb.BodyReference{results.Results[0].Result}})
	if err != nil || string(bodies.Bodies[0]) != "result" {
		t.Fatal(err, bodies)
	}
}
