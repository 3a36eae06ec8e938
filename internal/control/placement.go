package control

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/placementcontroller"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharding"
)

// runPlacement runs placement if the settings enable it. It is active only on the
// machine that leads the root group.
func (d *daemon) runPlacement(ctx context.Context) error {
	settings := d.settings.GetPlacement()
	if !settings.GetEnabled() {
		return nil
	}
	started := time.Now()
	options := placementcontroller.FromSettings(settings)
	options.Leading = d.leadsRoot
	options.Survey = d.surveyFleet
	options.Client = &http.Client{}
	options.Now = func() time.Duration { return time.Since(started) }
	options.Log = log.Log
	return placementcontroller.New(options).Run(ctx)
}

// leadsRoot reports whether this machine holds the leader lease of the root group,
// and its term.
func (d *daemon) leadsRoot() (uint64, bool) {
	group, known := d.host.Group(sharding.RootGroup)
	if !known {
		return 0, false
	}
	return group.Leading()
}

// surveyFleet merges the fleet status of all control machines. Placement leaves the
// servers of machines that do not answer as they are.
func (d *daemon) surveyFleet(ctx context.Context) (placementcontroller.Survey, error) {
	index, known := d.index(ctx)
	if !known {
		return placementcontroller.Survey{}, fault.New(fault.Unavailable, "this machine has no configuration yet", "wait for the first configuration")
	}
	others := d.otherMachines()
	answers := make([]*rockwindpb.FleetStatusResponse, len(others)+1)
	var calls errgroup.Group
	calls.Go(func() error {
		answers[len(others)], _ = d.exchange.Status(ctx, &rockwindpb.FleetStatusRequest{})
		return nil
	})
	for position, other := range others {
		calls.Go(func() error {
			bounded, cancel := context.WithTimeout(ctx, shareTimeout)
			defer cancel()
			client := rockwindpb.NewFleetServiceProtobufClient(d.baseURL(other), d.client)
			answers[position], _ = client.Status(bounded, &rockwindpb.FleetStatusRequest{})
			return nil
		})
	}
	_ = calls.Wait()
	survey := placementcontroller.Survey{Index: index}
	for _, answer := range answers {
		survey.Digests = append(survey.Digests, answer.GetServers()...)
		survey.Demands = append(survey.Demands, answer.GetModels()...)
	}
	return survey, nil
}

// waitingItems returns the waiting batch items by model in the shards that this
// machine leads. The published demand of other shards is empty.
func (d *daemon) waitingItems() []*rockwindpb.ModelDemand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var demands []*rockwindpb.ModelDemand
	for _, s := range d.shards {
		for _, entry := range s.demand.current().entries {
			demands = append(demands, &rockwindpb.ModelDemand{Model: entry.Model, WaitingItems: entry.Waiting})
		}
	}
	return demands
}
