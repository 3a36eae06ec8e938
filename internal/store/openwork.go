package store

import (
	"time"

	"rockwind.example/rockwind/internal/jobadmission"
	"rockwind.example/rockwind/internal/jobstore"
)

// publishOpenWork publishes the open items of a regional shard, by which further jobs are accepted or
// refused. Other shards have items that may run anywhere, for whose slots no one leader knows all items.
func (e *executor) publishOpenWork(open []jobstore.OpenItem, now time.Time) {
	if e.dueCheck == nil || e.store.watcher.Directory().ShardRegion(e.shard) == "" {
		return
	}
	work := openWork{at: now, term: e.term, runTimes: make(map[string]itemRunTime)}
	for service, pace := range e.paces {
		mean, _ := pace.MeanRemaining(0)
		work.runTimes[service] = itemRunTime{mean: mean, required: pace.Remaining(0)}
	}
	for _, attempt := range e.active {
		mean, _ := e.pace(attempt.service).MeanRemaining(attempt.eventsBefore)
		remaining := attempt.choice.ScaleDuration(mean) - now.Sub(attempt.began)
		work.running = append(work.running, runningWork{service: attempt.service, region: attempt.choice.Region, remaining: max(0, remaining)})
	}
	for _, item := range open {
		if !e.startable(item, now) {
			continue
		}
		route, status := e.route(item)
		allowed := e.allowedRegions(item)
		if status != routeFound || !allowed.Restricted() {
			continue
		}
		service, entry, _ := e.resolve(item)
		received := e.receivedEvents(item)
		mean, known := e.pace(service).MeanRemaining(received)
		if !known {
			continue
		}
		due := dueTime(route, time.UnixMilli(item.SubmittedUnixMs))
		work.waiting = append(work.waiting, waitingWork{
			service: service, regions: allowed, tenant: entry.Tenant(),
			item: jobadmission.NewItem(due, mean, e.pace(service).Remaining(received)),
		})
	}
	e.dueCheck.publish(work)
}
