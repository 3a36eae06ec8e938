package control

import (
	"context"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// uploadMargin is the maximum time from the upload of a body to the submission of
	// the job or file that refers to it, including clock skew.
	uploadMargin = 6 * time.Hour
	// retainTimeout bounds the calls that send a report to all machines.
	retainTimeout = 2 * time.Second
)

// reportReferences tells all machines which bodies the shard may refer to. It reads
// as the leader, because the report of a stale replica would omit references that
// were accepted since.
func (m *shardMaintainer) reportReferences(ctx context.Context, now time.Time, policy *rockwindpb.Policy) {
	shards, err := m.daemon.shardCount(ctx)
	if err != nil || policy.GetIdempotencyRetention().AsDuration() <= 0 {
		return
	}
	report := &rockwindpb.RetainSegmentsRequest{Shard: m.shard.number, Shards: shards}
	err = m.shard.group.Read(ctx, func() {
		references := m.shard.ledger.References()
		report.OldestUnixMs = references.OldestJobUnixMs
		report.InputSegments = references.InputSegments
	})
	if err != nil {
		return
	}
	records := now.Add(-policy.GetIdempotencyRetention().AsDuration()).UnixMilli()
	report.OldestUnixMs = min(report.OldestUnixMs, records) - uploadMargin.Milliseconds()
	m.daemon.retainOnAllMachines(ctx, report)
}

// retainOnAllMachines sends a report to all machines. A machine that does not
// receive it removes no bodies.
func (d *daemon) retainOnAllMachines(ctx context.Context, report *rockwindpb.RetainSegmentsRequest) {
	services := []rockwindpb.SegmentService{d.bodies.SegmentService()}
	for _, peer := range d.segmentPeers() {
		services = append(services, peer.Service)
	}
	retainSegments(ctx, services, report)
}

// retainSegments calls all services concurrently, so that an unresponsive machine
// does not prevent the others from removing unused bodies.
func retainSegments(ctx context.Context, services []rockwindpb.SegmentService, report *rockwindpb.RetainSegmentsRequest) {
	ctx, cancel := context.WithTimeout(ctx, retainTimeout)
	defer cancel()
	var calls errgroup.Group
	for _, service := range services {
		calls.Go(func() error {
			if _, err := service.Retain(ctx, report); err != nil {
				log.WithError(err).Debug("cannot report referenced bodies to a control machine")
			}
			return nil
		})
	}
	_ = calls.Wait()
}

// shardCount returns the number of job shards of the cluster.
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
