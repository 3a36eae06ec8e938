package jobclient

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// levelTimeout bounds the question for the feature level of a store.
const levelTimeout = time.Second

// TargetRegion returns the region whose shard takes a job, of the allowed regions that have a shard; found is false
// if none has.
func TargetRegion(view *directory.View, job string, allowed topology.RegionSet) (region string, found bool) {
	return regionIn(view, job, allowed)
}

// Take brings the copy of an arriving job to the shard of a region. It returns once the shard has stored and synced
// it. Only stores of the region receive the copy.
func (c *Client) Take(ctx context.Context, region string, copied *rockwindpb.StoredJob) error {
	request := &rockwindpb.TakeJobRequest{Job: copied, Region: region}
	_, err := call(ctx, c, shardIn(copied.GetId(), region), 0, func(ctx context.Context, service storeClient) (*rockwindpb.TakeJobResponse, error) {
		return service.moves.Take(ctx, request)
	})
	return err
}

// FinishMove asks the shard of a region to activate the move of a job that is marked as moved, and reports whether
// it does not need the mark any more.
func (c *Client) FinishMove(ctx context.Context, region, id string, number uint64) (finished bool, err error) {
	request := &rockwindpb.FinishMoveRequest{Id: id, Region: region, Number: number}
	response, err := call(ctx, c, shardIn(id, region), 0, func(ctx context.Context, service storeClient) (*rockwindpb.FinishMoveResponse, error) {
		return service.moves.Finish(ctx, request)
	})
	return response.GetFinished(), err
}

// Locate asks the shard of a region what it knows of a job. The region is empty for the ordinary shard.
func (c *Client) Locate(ctx context.Context, region, id string) (jobstore.Location, error) {
	response, err := c.find(ctx, region, id)
	return jobstore.Location{Here: response.GetFound(), Moved: response.GetMoved(), Digest: response.GetDigest(), Move: response.GetMove()}, err
}

// find asks the leader of a region's shard for a job. A shard whose data is lost has none.
func (c *Client) find(ctx context.Context, region, id string) (*rockwindpb.FindStoredJobResponse, error) {
	shard := shardIn(id, region)
	return unlessLost(ctx, c, shard(c.site.Directory()), &rockwindpb.FindStoredJobResponse{}, func() (*rockwindpb.FindStoredJobResponse, error) {
		return call(ctx, c, shard, 0, func(ctx context.Context, service storeClient) (*rockwindpb.FindStoredJobResponse, error) {
			return service.Find(ctx, &rockwindpb.FindStoredJobRequest{Id: id, Region: region, FollowMoves: true})
		})
	})
}

// FeatureLevel asks the store at an address for its feature level. It is zero for stores that do not know the
// question, and known is false if the store did not answer.
func (c *Client) FeatureLevel(ctx context.Context, address string) (level uint32, known bool) {
	ctx, cancel := context.WithTimeout(ctx, levelTimeout)
	defer cancel()
	response, err := c.store(address).moves.FeatureLevel(ctx, &rockwindpb.StoreFeatureLevelRequest{})
	var remote twirp.Error
	if errors.As(err, &remote) && remote.Code() == twirp.BadRoute {
		return 0, true
	}
	return response.GetLevel(), err == nil
}

// location is the answer of locate.
type location struct {
	region string
	digest []byte
	// marked reports that only the marker of a job that has moved to the region was found.
	marked bool
}

// beingMoved is the error of a call for a job of which only a marker was found.
func beingMoved(id string) *fault.Fault {
	return fault.Newf(fault.Unavailable, "repeat the call later", "job %q is being moved to another shard", id).
		WithRan(fault.NotRun).WithRetryAfter(retryAfter)
}
