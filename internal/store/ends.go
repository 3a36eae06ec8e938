package store

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/jobstore"
)

const (
	// endsInterval is the time between searches for ended jobs, and between questions to the other shards
	// about one of them.
	endsInterval = time.Second
	// endsWindow is how long the other shards are asked again although all have answered. A submission that
	// began before the end may store a copy after it, and lasts at most 10 s.
	endsWindow = 12 * time.Second
	// endsTimeout bounds one question to all other shards.
	endsTimeout = 2 * time.Second
	// maxEndsAtOnce bounds the jobs that are asked about at the same time.
	maxEndsAtOnce = 16
)

// endedJobs tracks which ended jobs of a shard may have a copy in another shard that is not ended. It is safe for
// concurrent use.
type endedJobs struct {
	// lastSearch belongs to the executor's goroutine.
	lastSearch time.Time

	mutex sync.Mutex
	busy  bool
	jobs  map[string]*endedJob
}

// endedJob is what is known of the copies of an ended job.
type endedJob struct {
	firstSeen, askedAt time.Time
	// answered reports that all other shards answered the last question.
	answered bool
}

// reset forgets what was known in an earlier term.
func (j *endedJobs) reset() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	clear(j.jobs)
}

// due returns the jobs that the other shards are to be asked about now, and forgets jobs that are not in the list.
// It returns none while earlier questions are in progress.
func (j *endedJobs) due(ended []jobstore.EndedJob, now time.Time) []jobstore.EndedJob {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.busy {
		return nil
	}
	known := make(map[string]*endedJob, len(ended))
	var due []jobstore.EndedJob
	for _, each := range ended {
		state := j.jobs[each.ID]
		if state == nil {
			state = &endedJob{firstSeen: now}
		}
		known[each.ID] = state
		open := !state.answered || now.Sub(state.firstSeen) < endsWindow
		if open && now.Sub(state.askedAt) >= endsInterval {
			state.askedAt = now
			due = append(due, each)
		}
	}
	j.jobs, j.busy = known, len(due) > 0
	return due
}

// asked notes whether all other shards answered a question about a job.
func (j *endedJobs) asked(id string, answered bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if state := j.jobs[id]; state != nil {
		state.answered = answered
	}
}

// finish ends the questions in progress.
func (j *endedJobs) finish() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.busy = false
}

// endsDue reports whether to search for ended jobs now. Only sites with regional shards can have copies of a job.
func (e *executor) endsDue(now time.Time) bool {
	if !e.store.regions.MultiRegion() || len(e.store.watcher.Directory().RegionalShards()) == 0 || now.Sub(e.ends.lastSearch) < endsInterval {
		return false
	}
	e.ends.lastSearch = now
	return true
}

// passEndsOn ends the copies of ended jobs in other shards.
func (e *executor) passEndsOn(ctx context.Context, ended []jobstore.EndedJob, now time.Time) {
	due := e.ends.due(ended, now)
	if len(due) == 0 {
		return
	}
	region := e.store.watcher.Directory().ShardRegion(e.shard)
	go func() {
		defer e.ends.finish()
		var asking errgroup.Group
		asking.SetLimit(maxEndsAtOnce)
		for _, job := range due {
			asking.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, endsTimeout)
				defer cancel()
				err := e.store.limiter.client.EndCopies(ctx, job.ID, job.Tenant, region)
				if err != nil {
					log.WithError(err).WithField("job", job.ID).Debug("not all shards answered whether they have a copy of an ended job")
				}
				e.ends.asked(job.ID, err == nil)
				return nil
			})
		}
		_ = asking.Wait()
	}()
}
