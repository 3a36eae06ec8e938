package controlclient

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharding"
)

// Configuration returns the configuration service: Apply goes to the leader of
// the root group, Get and Watch to any machine.
func (c *Client) Configuration() rockwindpb.ConfigurationService { return configurationService{c} }

// Jobs returns the job service over all shards.
func (c *Client) Jobs() rockwindpb.JobService { return jobService{c} }

// Records returns the idempotency records over all shards.
func (c *Client) Records() rockwindpb.RecordService { return recordService{c} }

// Files returns the directory of files over all shards.
func (c *Client) Files() rockwindpb.FileService { return fileService{c} }

// Bodies returns the store of bodies, at any machine.
func (c *Client) Bodies() rockwindpb.BodyService { return bodyService{c} }

// Fleet returns the exchange of digests at the machine where the client's zone
// meets.
func (c *Client) Fleet() rockwindpb.FleetService { return fleetService{c} }

// ShardOf returns the shard that an identifier of a job or file names.
func (c *Client) ShardOf(ctx context.Context, identifier string) (uint32, error) {
	shards, err := c.Shards(ctx)
	if err != nil {
		return 0, err
	}
	shard, known := sharding.ShardOf(identifier, shards)
	if !known {
		return 0, fault.Newf(fault.NotFound, "check the identifier",
			"nothing is known under the identifier %q", identifier)
	}
	return shard, nil
}

// ShardForKey returns the shard that owns a tenant's key.
func (c *Client) ShardForKey(ctx context.Context, tenant, key string) (uint32, error) {
	shards, err := c.Shards(ctx)
	if err != nil {
		return 0, err
	}
	return sharding.ForKey(tenant, key, shards), nil
}

// milliseconds turns a count of milliseconds into a duration.
func milliseconds(count uint32) time.Duration {
	return time.Duration(count) * time.Millisecond
}

type configurationService struct{ client *Client }

// Apply may be repeated: the number and checksum tell a resend from a race.
func (s configurationService) Apply(ctx context.Context, request *rockwindpb.ApplyConfigurationRequest) (*rockwindpb.ApplyConfigurationResponse, error) {
	return call(ctx, s.client, s.client.toLeader(sharding.RootGroup).waiting(defaultBodyTimeout), changing,
		func(ctx context.Context, at *machine, request *rockwindpb.ApplyConfigurationRequest) (*rockwindpb.ApplyConfigurationResponse, error) {
			return at.configuration.Apply(ctx, request)
		}, request)
}

// Get reads and may be repeated.
func (s configurationService) Get(ctx context.Context, request *rockwindpb.GetConfigurationRequest) (*rockwindpb.GetConfigurationResponse, error) {
	return call(ctx, s.client, s.client.replicas(ctx, sharding.RootGroup), reading,
		func(ctx context.Context, at *machine, request *rockwindpb.GetConfigurationRequest) (*rockwindpb.GetConfigurationResponse, error) {
			return at.configuration.Get(ctx, request)
		}, request)
}

// Watch reads and may be repeated.
func (s configurationService) Watch(ctx context.Context, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	return call(ctx, s.client, s.client.replicas(ctx, sharding.RootGroup).waiting(milliseconds(request.GetWaitMs())), reading,
		func(ctx context.Context, at *machine, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
			return at.configuration.Watch(ctx, request)
		}, request)
}

type recordService struct{ client *Client }

// Begin may be repeated: the owner tells the one that was granted from others.
func (s recordService) Begin(ctx context.Context, request *rockwindpb.BeginRequestRequest) (*rockwindpb.BeginRequestResponse, error) {
	shard, err := s.client.ShardForKey(ctx, request.GetTenant(), request.GetKey())
	if err != nil {
		return nil, err
	}
	return call(ctx, s.client, s.client.toLeader(shard), changing,
		func(ctx context.Context, at *machine, request *rockwindpb.BeginRequestRequest) (*rockwindpb.BeginRequestResponse, error) {
			return at.records.Begin(ctx, request)
		}, request)
}

// Finish may be repeated: the first answer of the owner is kept.
func (s recordService) Finish(ctx context.Context, request *rockwindpb.FinishRequestRequest) (*rockwindpb.FinishRequestResponse, error) {
	shard, err := s.client.ShardForKey(ctx, request.GetTenant(), request.GetKey())
	if err != nil {
		return nil, err
	}
	return call(ctx, s.client, s.client.toLeader(shard), changing,
		func(ctx context.Context, at *machine, request *rockwindpb.FinishRequestRequest) (*rockwindpb.FinishRequestResponse, error) {
			return at.records.Finish(ctx, request)
		}, request)
}

type bodyService struct{ client *Client }

// Store may be repeated: an unreferenced copy is removed with its segment.
func (s bodyService) Store(ctx context.Context, request *rockwindpb.StoreBodiesRequest) (*rockwindpb.StoreBodiesResponse, error) {
	return call(ctx, s.client, s.client.anywhere().waiting(defaultBodyTimeout), changing,
		func(ctx context.Context, at *machine, request *rockwindpb.StoreBodiesRequest) (*rockwindpb.StoreBodiesResponse, error) {
			return at.bodies.Store(ctx, request)
		}, request)
}

// Read may be repeated.
func (s bodyService) Read(ctx context.Context, request *rockwindpb.ReadBodiesRequest) (*rockwindpb.ReadBodiesResponse, error) {
	return call(ctx, s.client, s.client.anywhere().waiting(defaultBodyTimeout), reading,
		func(ctx context.Context, at *machine, request *rockwindpb.ReadBodiesRequest) (*rockwindpb.ReadBodiesResponse, error) {
			return at.bodies.Read(ctx, request)
		}, request)
}

type fleetService struct{ client *Client }

// Exchange may be repeated: a digest replaces the one before it, and usage that
// is counted twice fades with its window.
func (s fleetService) Exchange(ctx context.Context, request *rockwindpb.ExchangeRequest) (*rockwindpb.ExchangeResponse, error) {
	return call(ctx, s.client, s.client.meeting(), reading,
		func(ctx context.Context, at *machine, request *rockwindpb.ExchangeRequest) (*rockwindpb.ExchangeResponse, error) {
			return at.fleet.Exchange(ctx, request)
		}, request)
}

// Status reads and may be repeated.
func (s fleetService) Status(ctx context.Context, request *rockwindpb.FleetStatusRequest) (*rockwindpb.FleetStatusResponse, error) {
	return call(ctx, s.client, s.client.meeting(), reading,
		func(ctx context.Context, at *machine, request *rockwindpb.FleetStatusRequest) (*rockwindpb.FleetStatusResponse, error) {
			return at.fleet.Status(ctx, request)
		}, request)
}

// ShareAggregates is spoken among control machines; it may be repeated.
func (s fleetService) ShareAggregates(ctx context.Context, request *rockwindpb.ShareAggregatesRequest) (*rockwindpb.ShareAggregatesResponse, error) {
	return call(ctx, s.client, s.client.meeting(), reading,
		func(ctx context.Context, at *machine, request *rockwindpb.ShareAggregatesRequest) (*rockwindpb.ShareAggregatesResponse, error) {
			return at.fleet.ShareAggregates(ctx, request)
		}, request)
}
