package jobadmission_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/jobadmission"
)

// The region of docs/PLAN.md, part 3: 240 slots, and jobs that need 257.
const (
	regionSlots  = 240
	neededSlots  = 257
	itemsPerJob  = 10
	itemEvents   = 130
	meanRunTime  = 5 * time.Second
	dueAfter     = 18 * time.Second
	warmUp       = 40 * time.Second
	submitUntil  = 160 * time.Second
	simulateFor  = 190 * time.Second
	schedulePass = 40 * time.Millisecond
	// simulatedSeeds is the number of plays of a pattern. Arrivals are random, and so are the shares of a single
	// play.
	simulatedSeeds = 2
)

// simulatedItem is an item of a simulated job.
type simulatedItem struct {
	job       *simulatedJob
	runTime   time.Duration
	remaining time.Duration
	began     time.Time
}

func (i *simulatedItem) produced() int {
	return int(float64(itemEvents) * float64(i.runTime-i.remaining) / float64(i.runTime))
}

type simulatedJob struct {
	// submitted is when the job was submitted to the store, and first when its client first tried to.
	submitted, first time.Time
	repeated         bool
	runTimes         [itemsPerJob]time.Duration
	late             int
	done             int
}

// pattern is a load of the simulated region.
type pattern struct {
	// needed is the number of slots that the submitted jobs need on average.
	needed float64
	// alternating lets submissions alternate between two levels as on deployment B.
	alternating bool
	// online is the mean number of slots that online requests use, alternating in the same way. Batch
	// work does not get these slots.
	online float64
}

// level returns the load at a time as a multiple of its mean.
func level(at time.Duration) float64 {
	if at%(5800*time.Millisecond) < 3400*time.Millisecond {
		return 0.383
	}
	return 1.87
}

// admit decides on a job. A nil function accepts all jobs.
type admit func(backlog jobadmission.Backlog, job []jobadmission.Item, ahead time.Duration, now time.Time) jobadmission.Decision

// region simulates the leader of a region's shard, which starts items as package store does.
type region struct {
	random    *rand.Rand
	pattern   pattern
	admit     admit
	estimator backlog.RunTimeEstimator
	waiting   []*simulatedItem
	running   []*simulatedItem
	retries   jobadmission.Retries
	offered   jobadmission.OfferedSlots
	jobs      []*simulatedJob
	repeats   []*simulatedJob
	result    outcome
}

// outcome counts the jobs of a simulation.
type outcome struct {
	submitted, refused, onTime, itemsOnTime int
}

func (o *outcome) add(other outcome) {
	o.submitted += other.submitted
	o.refused += other.refused
	o.onTime += other.onTime
	o.itemsOnTime += other.itemsOnTime
}

func (o outcome) jobShare() float64 { return float64(o.onTime) / float64(o.submitted) }
func (o outcome) itemShare() float64 {
	return float64(o.itemsOnTime) / float64(o.submitted*itemsPerJob)
}
func (o outcome) refusedShare() float64 {
	return float64(o.refused) / float64(o.submitted)
}

func simulate(seed uint64, load pattern, decide admit) outcome {
	r := &region{random: rand.New(rand.NewPCG(seed, 1)), pattern: load, admit: decide}
	start := time.UnixMilli(0)
	next := start
	for now := start; now.Before(start.Add(simulateFor)); now = now.Add(schedulePass) {
		for !next.After(now) && now.Before(start.Add(submitUntil)) {
			job := &simulatedJob{first: next}
			for i := range job.runTimes {
				job.runTimes[i] = time.Duration((0.8 + 0.4*r.random.Float64()) * float64(meanRunTime))
			}
			r.submit(job, now)
			next = r.nextSubmission(start, next)
		}
		for len(r.repeats) > 0 && !r.repeats[0].submitted.After(now) {
			repeated := r.repeats[0]
			r.repeats = r.repeats[1:]
			r.submit(repeated, now)
		}
		r.pass(now, now.Sub(start))
	}
	r.jobs = slices.DeleteFunc(r.jobs, func(each *simulatedJob) bool { return each.first.Before(start.Add(warmUp)) })
	for _, each := range r.jobs {
		if each.done == itemsPerJob && each.late == 0 {
			r.result.onTime++
		}
		r.result.itemsOnTime += each.done - each.late
	}
	r.result.submitted = len(r.jobs)
	return r.result
}

// nextSubmission returns the time of the submission after that at the given time.
func (r *region) nextSubmission(start, after time.Time) time.Time {
	// The highest rate is that of the first seconds, which fill the region.
	const highest = 2
	rate := highest * r.pattern.needed / itemsPerJob / meanRunTime.Seconds()
	for {
		after = after.Add(time.Duration(r.random.ExpFloat64() / rate * float64(time.Second)))
		factor := 1.0
		switch elapsed := after.Sub(start); {
		case elapsed < warmUp/2:
			factor = highest
		case r.pattern.alternating:
			factor = level(elapsed)
		}
		if r.random.Float64() < factor/highest {
			return after
		}
	}
}

// submit submits a job. A refused client retries once, after its Retry-After delay.
func (r *region) submit(job *simulatedJob, now time.Time) {
	if !job.repeated {
		r.jobs = append(r.jobs, job)
	}
	job.submitted = now
	if r.admit != nil {
		decision := r.admit(r.backlogOf(now), r.itemsOf(job, now), r.retries.Ahead(now), now)
		if !decision.Accepted() {
			if job.repeated {
				if !job.first.Before(time.UnixMilli(0).Add(warmUp)) {
					r.result.refused++
				}
				return
			}
			job.repeated, job.submitted = true, now.Add(decision.RetryAfter())
			r.retries.Add(job.submitted, decision.Work())
			r.repeats = append(r.repeats, job)
			slices.SortStableFunc(r.repeats, func(a, b *simulatedJob) int { return a.submitted.Compare(b.submitted) })
			return
		}
	}
	for _, runTime := range job.runTimes {
		r.waiting = append(r.waiting, &simulatedItem{job: job, runTime: runTime, remaining: runTime})
	}
}

func (r *region) itemsOf(job *simulatedJob, now time.Time) []jobadmission.Item {
	var items []jobadmission.Item
	for range itemsPerJob {
		mean, _ := r.estimator.MeanRemaining(0)
		item := jobadmission.NewItem(job.submitted.Add(dueAfter), mean, r.estimator.Remaining(0))
		if limit := job.first.Add(dueAfter); job.repeated && limit.After(now) {
			item = item.WithLimit(limit)
		}
		items = append(items, item)
	}
	return items
}

func (r *region) backlogOf(now time.Time) jobadmission.Backlog {
	var running []time.Duration
	for _, each := range r.running {
		mean, _ := r.estimator.MeanRemaining(each.produced())
		running = append(running, mean-now.Sub(each.began))
	}
	var waiting []jobadmission.Item
	for _, each := range r.waiting {
		mean, _ := r.estimator.MeanRemaining(each.produced())
		waiting = append(waiting, jobadmission.NewItem(each.job.submitted.Add(dueAfter), mean, r.estimator.Remaining(each.produced())))
	}
	slots, _ := r.offered.Most(now)
	return jobadmission.NewBacklog(slots, running, waiting)
}

// pass ends the items that are done, preempts items for online requests and starts others.
func (r *region) pass(now time.Time, elapsed time.Duration) {
	r.running = slices.DeleteFunc(r.running, func(each *simulatedItem) bool {
		if now.Sub(each.began) < each.remaining {
			return false
		}
		each.job.done++
		if now.After(each.job.first.Add(dueAfter)) {
			each.job.late++
		}
		total := each.runTime
		r.estimator.RecordRun(int(float64(itemEvents)*float64(each.remaining)/float64(total)), itemEvents, each.remaining)
		return true
	})
	slots := regionSlots
	if r.pattern.online > 0 {
		slots -= int(r.pattern.online * level(elapsed))
	}
	r.offered.Observe(slots, now)
	if excess := len(r.running) - slots; excess > 0 {
		backlog.SortForPreemption(r.running, now, func(each *simulatedItem) backlog.Item {
			return backlog.NewItem(each.job.submitted, each.job.submitted.Add(dueAfter), max(0, r.estimator.Remaining(each.produced())-now.Sub(each.began)))
		})
		for _, each := range r.running[:excess] {
			each.remaining -= now.Sub(each.began)
			r.waiting = append(r.waiting, each)
		}
		r.running = slices.Delete(r.running, 0, excess)
	}
	ordered := backlog.Order(r.waiting, now, func(each *simulatedItem) backlog.Item {
		return backlog.NewItem(each.job.submitted, each.job.submitted.Add(dueAfter), r.estimator.Remaining(each.produced()))
	})
	started := min(len(ordered), max(0, slots-len(r.running)))
	for _, each := range ordered[:started] {
		each.began = now
		r.running = append(r.running, each)
	}
	r.waiting = slices.Clone(ordered[started:])
}

// TestOverloadedRegion guards against accepting jobs for which a region has too few slots, of which single
// items are then late, and against refusing more jobs than needed. Both ways get the same jobs.
func TestOverloadedRegion(t *testing.T) {
	for _, each := range overloads() {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			var all, admitted outcome
			for seed := range uint64(simulatedSeeds) {
				all.add(simulate(seed, each.pattern, nil))
				admitted.add(simulate(seed, each.pattern, jobadmission.Decide))
			}
			t.Logf("on time: jobs %.3f instead of %.3f, items %.3f instead of %.3f; refused %.3f",
				admitted.jobShare(), all.jobShare(), admitted.itemShare(), all.itemShare(), admitted.refusedShare())
			if gain := admitted.jobShare() - all.jobShare(); gain < each.minGain {
				t.Errorf("%.3f of the jobs are on time, %.3f without refusals", admitted.jobShare(), all.jobShare())
			}
			// Fewer jobs are refused than would be late without refusals.
			if admitted.refusedShare() > min(each.maxRefused, 1-all.jobShare()) {
				t.Errorf("%.3f of the jobs are refused", admitted.refusedShare())
			}
			if loss := all.itemShare() - admitted.itemShare(); loss > 0.01 {
				t.Errorf("%.3f of the items are on time, %.3f without refusals", admitted.itemShare(), all.itemShare())
			}
		})
	}
}

// overload is a pattern with the least gain of the share of jobs on time, and the largest share of jobs that
// may be refused.
type overload struct {
	name string
	pattern
	minGain, maxRefused float64
}

// overloads returns the patterns, only the first of them in short runs, since the race detector makes each
// take a minute on a busy machine.
func overloads() []overload {
	all := []overload{
		{"240 slots and work for 257", pattern{needed: neededSlots}, 0.02, 0.1},
		{"bursts of work for 257 and online requests", pattern{needed: neededSlots, alternating: true, online: 30}, 0.005, 0.12},
		{"work for 400", pattern{needed: 400}, 0.1, 0.4},
		{"bursts of work for 230", pattern{needed: 230, alternating: true}, 0, 0.03},
		{"work for 220", pattern{needed: 220}, 0, 0},
	}
	if testing.Short() {
		return all[:1]
	}
	return all
}
