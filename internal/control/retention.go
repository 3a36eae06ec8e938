package control

import (
	"context"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// uploadMargin is how long before its job or file a body may have been
	// stored, with room for clocks that differ.
	uploadMargin = 6 * time.Hour
	// retainTimeout bounds one report to one machine.
	retainTimeout = 2 * time.Second
)

// reportReferences tells every machine which bodies the shard may still refer
// to. It reads as the leader: a report of a replica that lost the lead without
// knowing would miss what was accepted since.
func (k *keeper) reportReferences(ctx context.Context, now time.Time, policy *rockwindpb.Policy) {
	shards, err := k.daemon.shardCount(ctx)
	if err != nil || policy.GetIdempotencyRetention().AsDuration() <= 0 {
		return
	}
	report := &rockwindpb.RetainSegmentsRequest{Shard: k.shard.number, Shards: shards}
	err = k.shard.group.Read(ctx, func() {
		references := k.shard.ledger.References()
		report.OldestUnixMs = references.OldestJobUnixMs
		report.InputSegments = references.InputSegments
	})
	if err != nil {
		return
	}
	records := now.Add(-policy.GetIdempotencyRetention().AsDuration()).UnixMilli()
	report.OldestUnixMs = min(report.OldestUnixMs, records) - uploadMargin.Milliseconds()
	k.daemon.retain(ctx, report)
}

// retain passes a report to all machines. One that is not reached removes
// nothing until it is.
func (d *daemon) retain(ctx context.Context, report *rockwindpb.RetainSegmentsRequest) {
	services := []rockwindpb.SegmentService{d.bodies.SegmentService()}
	for _, peer := range d.segmentPeers() {
		services = append(services, peer.Service)
	}
	retainAt(ctx, services, report)
}

// retainAt passes a report to all machines at the same time: one that does not
// answer must not keep the others from removing what is unused.
func retainAt(ctx context.Context, services []rockwindpb.SegmentService, report *rockwindpb.RetainSegmentsRequest) {
	ctx, cancel := context.WithTimeout(ctx, retainTimeout)
	defer cancel()
	var calls errgroup.Group
	for _, service := range services {
		calls.Go(func() error {
			if _, err := service.Retain(ctx, report); err != nil {
				log.WithError(err).Debug("cannot report references to a machine")
			}
			return nil
		})
	}
	_ = calls.Wait()
}

// shardCount is the number of job shards of the cluster.
func (d *daemon) shardCount(ctx context.Context) (uint32, error) {
	identity, err := d.host.Service().Identity(ctx, &rockwindpb.IdentityRequest{})
	if err != nil {
		return 0, err
	}
	shards := uint32(0)
	for _, group := range identity.GetGroups() {
		shards = max(shards, group.GetGroup())
	}
	return shards, nil
}
