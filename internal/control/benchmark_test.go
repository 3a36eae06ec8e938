package control_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	benchmarkGateways    = 24
	benchmarkLeaseItems  = 64
	benchmarkJobItems    = 2000
	benchmarkResultBytes = 2048
)

// BenchmarkItems measures the rate at which three control machines in one process
// lease items, store their results of 2 KiB and complete them.
func BenchmarkItems(b *testing.B) {
	c := startCluster(b)
	ctx := b.Context()
	client := c.client()
	b.ResetTimer()
	for index := 0; index*benchmarkJobItems < b.N; index++ {
		items := min(benchmarkJobItems, b.N-index*benchmarkJobItems)
		job := &rockwindpb.Job{Tenant: "tenant", Group: "group", Model: "model", ClientKey: fmt.Sprint(index), ItemCount: uint32(items)}
		if _, err := client.Jobs().Submit(ctx, &rockwindpb.SubmitJobRequest{Job: job}); err != nil {
			b.Fatal(err)
		}
	}
	var gateways errgroup.Group
	for gateway := range benchmarkGateways {
		gateways.Go(func() error { return completeAll(ctx, c.client(), fmt.Sprint(gateway)) })
	}
	if err := gateways.Wait(); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "items/s")
}

// completeAll leases and completes items until none are left.
func completeAll(ctx context.Context, client *controlclient.Client, holder string) error {
	body := bytes.Repeat([]byte("r"), benchmarkResultBytes)
	for {
		acquired, err := client.Jobs().AcquireLeases(ctx, &rockwindpb.AcquireLeasesRequest{
			Holder: holder, MaxItems: benchmarkLeaseItems, Models: []string{"model"}, LeaseMs: 60_000, WaitMs: 200,
		})
		if err != nil {
			return err
		}
		if len(acquired.GetGrants()) == 0 {
			return nil
		}
		request := &rockwindpb.CompleteItemsRequest{Holder: holder}
		for _, grant := range acquired.GetGrants() {
			lease := grant.GetLease()
			bodies := make([][]byte, lease.GetItemCount())
			for index := range bodies {
				bodies[index] = body
			}
			stored, err := client.Bodies().Store(ctx, &rockwindpb.StoreBodiesRequest{Bodies: bodies})
			if err != nil {
				return err
			}
			completion := &rockwindpb.LeaseCompletion{JobId: lease.GetJobId(), Fence: lease.GetFence(), Release: true}
			for index, reference := range stored.GetReferences() {
				completion.Items = append(completion.Items, &rockwindpb.ItemCompletion{
					Item: lease.GetFirstItem() + uint32(index), Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED, Result: reference,
				})
			}
			request.Completions = append(request.Completions, completion)
		}
		if _, err := client.Jobs().CompleteItems(ctx, request); err != nil {
			return err
		}
	}
}
