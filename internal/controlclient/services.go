package controlclient

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharding"
)

// Configuration returns the configuration service. Apply goes to the leader of the
// root group, Get and Watch to any of its replicas.
func (c *Client) Configuration() rockwindpb.ConfigurationService { return configurationService{c} }

// Jobs returns the job service over all shards.
func (c *Client) Jobs() rockwindpb.JobService { return jobService{c} }

// Records returns the idempotency records over all shards.
func (c *Client) Records() rockwindpb.RecordService { return recordService{c} }

// Files returns the file metadata service over all shards.
func (c *Client) Files() rockwindpb.FileService { return fileService{c} }

// Bodies returns the body store. Any machine can serve it.
func (c *Client) Bodies() rockwindpb.BodyService { return bodyService{c} }

// Fleet returns the service that exchanges load digests, at the machine responsible
// for the client's zone.
func (c *Client) Fleet() rockwindpb.FleetService { return fleetService{c} }

// ShardOf returns the shard encoded in the ID of a job or file.
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

// ShardForKey returns the shard that owns an idempotency key of a tenant.
func (c *Client) ShardForKey(ctx context.Context, tenant, key string) (uint32, error) {
	shards, err := c.Shards(ctx)
	if err != nil {
		return 0, err
	}
	return sharding.ForKey(tenant, key, shards), nil
}

func milliseconds(count uint32) time.Duration {
	return time.Duration(count) * time.Millisecond
}

type configurationService struct{ client *Client }

// Apply is idempotent: number and checksum tell a retry from a concurrent change.
func (s configurationService) Apply(ctx context.Context, request *rockwindpb.ApplyConfigurationRequest) (*rockwindpb.ApplyConfigurationResponse, error) {
	return call(ctx, s.client, s.client.toLeader(sharding.RootGroup).withExtraTimeout(extraBodyTimeout), writeCall,
		func(ctx context.Context, target *machine, request *rockwindpb.ApplyConfigurationRequest) (*rockwindpb.ApplyConfigurationResponse, error) {
			return target.configuration.Apply(ctx, request)
		}, request)
}

// Get asks any replica of the root group.
func (s configurationService) Get(ctx context.Context, request *rockwindpb.GetConfigurationRequest) (*rockwindpb.GetConfigurationResponse, error) {
	return call(ctx, s.client, s.client.toReplicas(ctx, sharding.RootGroup), readCall,
		func(ctx context.Context, target *machine, request *rockwindpb.GetConfigurationRequest) (*rockwindpb.GetConfigurationResponse, error) {
			return target.configuration.Get(ctx, request)
		}, request)
}

// Watch long-polls any replica of the root group.
func (s configurationService) Watch(ctx context.Context, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	return call(ctx, s.client, s.client.toReplicas(ctx, sharding.RootGroup).withExtraTimeout(milliseconds(request.GetWaitMs())), readCall,
		func(ctx context.Context, target *machine, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
			return target.configuration.Watch(ctx, request)
		}, request)
}

type recordService struct{ client *Client }

// Begin is idempotent: a retry has the same owner as the granted request.
func (s recordService) Begin(ctx context.Context, request *rockwindpb.BeginRequestRequest) (*rockwindpb.BeginRequestResponse, error) {
	shard, err := s.client.ShardForKey(ctx, request.GetTenant(), request.GetKey())
	if err != nil {
		return nil, err
	}
	return call(ctx, s.client, s.client.toLeader(shard), writeCall,
		func(ctx context.Context, target *machine, request *rockwindpb.BeginRequestRequest) (*rockwindpb.BeginRequestResponse, error) {
			return target.records.Begin(ctx, request)
		}, request)
}

// Finish is idempotent: the first response recorded by the owner is kept.
func (s recordService) Finish(ctx context.Context, request *rockwindpb.FinishRequestRequest) (*rockwindpb.FinishRequestResponse, error) {
	shard, err := s.client.ShardForKey(ctx, request.GetTenant(), request.GetKey())
	if err != nil {
		return nil, err
	}
	return call(ctx, s.client, s.client.toLeader(shard), writeCall,
		func(ctx context.Context, target *machine, request *rockwindpb.FinishRequestRequest) (*rockwindpb.FinishRequestResponse, error) {
			return target.records.Finish(ctx, request)
		}, request)
}

type bodyService struct{ client *Client }

// Store may be retried: duplicate bodies are unreferenced and removed with their
// segment.
func (s bodyService) Store(ctx context.Context, request *rockwindpb.StoreBodiesRequest) (*rockwindpb.StoreBodiesResponse, error) {
	return call(ctx, s.client, s.client.toAny().withExtraTimeout(extraBodyTimeout), writeCall,
		func(ctx context.Context, target *machine, request *rockwindpb.StoreBodiesRequest) (*rockwindpb.StoreBodiesResponse, error) {
			return target.bodies.Store(ctx, request)
		}, request)
}

// Read asks any machine.
func (s bodyService) Read(ctx context.Context, request *rockwindpb.ReadBodiesRequest) (*rockwindpb.ReadBodiesResponse, error) {
	return call(ctx, s.client, s.client.toAny().withExtraTimeout(extraBodyTimeout), readCall,
		func(ctx context.Context, target *machine, request *rockwindpb.ReadBodiesRequest) (*rockwindpb.ReadBodiesResponse, error) {
			return target.bodies.Read(ctx, request)
		}, request)
}

type fleetService struct{ client *Client }

// Exchange may be retried: a digest replaces the previous one, and usage that is
// counted twice decays.
func (s fleetService) Exchange(ctx context.Context, request *rockwindpb.ExchangeRequest) (*rockwindpb.ExchangeResponse, error) {
	return call(ctx, s.client, s.client.toZoneMachine(), readCall,
		func(ctx context.Context, target *machine, request *rockwindpb.ExchangeRequest) (*rockwindpb.ExchangeResponse, error) {
			return target.fleet.Exchange(ctx, request)
		}, request)
}

// Status asks the machine responsible for the client's zone.
func (s fleetService) Status(ctx context.Context, request *rockwindpb.FleetStatusRequest) (*rockwindpb.FleetStatusResponse, error) {
	return call(ctx, s.client, s.client.toZoneMachine(), readCall,
		func(ctx context.Context, target *machine, request *rockwindpb.FleetStatusRequest) (*rockwindpb.FleetStatusResponse, error) {
			return target.fleet.Status(ctx, request)
		}, request)
}

// ShareAggregates completes the service interface. Only control machines use it,
// with clients of their own.
func (s fleetService) ShareAggregates(ctx context.Context, request *rockwindpb.ShareAggregatesRequest) (*rockwindpb.ShareAggregatesResponse, error) {
	return call(ctx, s.client, s.client.toZoneMachine(), readCall,
		func(ctx context.Context, target *machine, request *rockwindpb.ShareAggregatesRequest) (*rockwindpb.ShareAggregatesResponse, error) {
			return target.fleet.ShareAggregates(ctx, request)
		}, request)
}
