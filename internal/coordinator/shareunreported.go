package coordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// maxShareWait bounds how long an answer waits for a newer version.
	maxShareWait = time.Second
	// shareCheckInterval is the longest time between two checks of whether a part must be held or a
	// leader was elected.
	shareCheckInterval = 100 * time.Millisecond
)

// unreportedShare collects, while the root group has no leader, what routers and stores could not
// report to it, so that each of them knows what the others saw. It is kept in memory only: its
// processes report everything to the next leader. It is safe for concurrent use; the zero value is
// empty.
type unreportedShare struct {
	changed signal

	mutex    sync.Mutex
	registry *quarantine.Registry
	epoch    uint64
}

// add applies a report and returns the current version and its notices.
func (u *unreportedShare) add(report *rockwindpb.ReportQuarantineRequest, now time.Time) (*rockwindpb.ShareVersion, []*rockwindpb.SuspectNotice) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.registry == nil {
		u.registry, u.epoch = quarantine.New(), rand.Uint64()
	}
	before := u.registry.View().Revision()
	if len(report.GetEnds())+len(report.GetAnswered())+len(report.GetAnsweredParts()) > 0 || u.registry.View().HoldDue(now) {
		u.registry.Apply(&rockwindpb.QuarantineCommand{
			NowUnixMs: now.UnixMilli(), Command: &rockwindpb.QuarantineCommand_Report{Report: report},
		})
	}
	view := u.registry.View()
	if view.Revision() != before {
		u.changed.notify()
	}
	return &rockwindpb.ShareVersion{Epoch: u.epoch, Revision: view.Revision()}, view.Notices(now)
}

// reset drops everything.
func (u *unreportedShare) reset() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.registry = nil
}

// ShareUnreported implements rockwindpb.QuarantineService.
func (s quarantineService) ShareUnreported(ctx context.Context, request *rockwindpb.ShareUnreportedRequest) (*rockwindpb.ShareUnreportedResponse, error) {
	share := &s.coordinator.unreported
	report := request.GetReport()
	limit := time.NewTimer(min(maxShareWait, time.Duration(request.GetWaitMs())*time.Millisecond))
	defer limit.Stop()
	for expired := false; ; {
		if s.coordinator.reachesLeader() {
			share.reset()
			return &rockwindpb.ShareUnreportedResponse{HasLeader: true}, nil
		}
		changed := share.changed.wait()
		version, notices := share.add(report, time.Now())
		have := request.GetHave()
		if version.GetEpoch() != have.GetEpoch() || version.GetRevision() != have.GetRevision() {
			return &rockwindpb.ShareUnreportedResponse{Version: version, Suspects: notices}, nil
		}
		if expired || request.GetWaitMs() == 0 {
			return &rockwindpb.ShareUnreportedResponse{Version: version}, nil
		}
		report = nil
		select {
		case <-changed:
		case <-time.After(shareCheckInterval):
		case <-limit.C:
			expired = true
		case <-ctx.Done():
			return &rockwindpb.ShareUnreportedResponse{Version: version}, nil
		}
	}
}

// reachesLeader reports whether this coordinator is in contact with the leader of the root group.
func (c *Coordinator) reachesLeader() bool {
	if c.isNonMember() {
		return c.recentState() != nil
	}
	_, _, err := c.currentState()
	return err == nil
}
