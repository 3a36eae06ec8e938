package scale

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// parkedModel is held by no server, so that jobs which ask for it wait.
	parkedModel = "parked"
	// submitters is how many jobs are submitted at once.
	submitters = 16
)

// submitJobs leaves the jobs of the size waiting.
func (c *cluster) submitJobs(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(submitters)
	for number := range c.size.Jobs {
		group.Go(func() error {
			_, err := c.operator.Jobs().Submit(ctx, &rockwindpb.SubmitJobRequest{Job: &rockwindpb.Job{
				Tenant: tenantName(number % c.size.Tenants), Group: groupName(number), Model: parkedModel,
				ClientKey: fmt.Sprintf("job-%d", number), ItemCount: uint32(c.size.JobItems),
			}})
			return err
		})
	}
	return group.Wait()
}
