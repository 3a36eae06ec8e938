package control

import (
	"context"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/events"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Topics of the control daemon.
var (
	configurationAccepted = events.Topic[*rockwindpb.Acceptance]{
		Name: "configuration_accepted",
		New:  func() *rockwindpb.Acceptance { return &rockwindpb.Acceptance{} },
	}
	jobChanged = events.Topic[*rockwindpb.Job]{
		Name: "job_changed",
		New:  func() *rockwindpb.Job { return &rockwindpb.Job{} },
	}
	leadershipChanged = events.Topic[*rockwindpb.LeadershipChanged]{
		Name: "leadership_changed",
		New:  func() *rockwindpb.LeadershipChanged { return &rockwindpb.LeadershipChanged{} },
	}
)

// handleEvents registers the event handlers. It must be called before the bus runs.
func (d *daemon) handleEvents() {
	events.Handle(d.bus, "count_configurations", configurationAccepted, func(_ context.Context, accepted *rockwindpb.Acceptance) error {
		d.metrics.configuration.Set(float64(accepted.GetNumber()))
		d.exchange.configurationChanged()
		return nil
	})
	events.Handle(d.bus, "count_jobs", jobChanged, func(_ context.Context, job *rockwindpb.Job) error {
		d.metrics.jobs.WithLabelValues(job.GetState().String()).Inc()
		return nil
	})
	events.Handle(d.bus, "show_leadership", leadershipChanged, func(_ context.Context, changed *rockwindpb.LeadershipChanged) error {
		d.metrics.observeLeadership(changed)
		return nil
	})
}

func (d *daemon) publishConfiguration(accepted *rockwindpb.Acceptance) {
	logPublishError(events.Publish(d.bus, configurationAccepted, accepted))
}

// publishJob publishes only the fields of the job that handlers use.
func (d *daemon) publishJob(job *rockwindpb.Job) {
	logPublishError(events.Publish(d.bus, jobChanged, &rockwindpb.Job{Id: job.GetId(), Tenant: job.GetTenant(), State: job.GetState()}))
}

func (d *daemon) publishLeadership(group uint32, term uint64, leading bool) {
	logPublishError(events.Publish(d.bus, leadershipChanged, &rockwindpb.LeadershipChanged{Group: group, Term: term, Leading: leading}))
}

func logPublishError(err error) {
	if err != nil {
		log.WithError(err).Warn("cannot publish an event")
	}
}
