package store

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/jobstore"
)

// Guards against a copy of an ended job that is found later and runs on: the other shards are asked until all have
// answered, and for as long as a submission from before the end may take.
func TestEndIsPassedOnUntilAllShardsHaveAnswered(t *testing.T) {
	ended := []jobstore.EndedJob{{ID: "job"}}
	for name, each := range map[string]struct {
		answeredAfter, duration time.Duration
		minimum, maximum        int
	}{
		"all shards answer at once":           {0, time.Minute, 10, 14},
		"a shard is silent for half a minute": {30 * time.Second, time.Minute, 28, 33},
	} {
		t.Run(name, func(t *testing.T) {
			var ends endedJobs
			start := time.UnixMilli(1_000_000)
			asked := 0
			for elapsed := time.Duration(0); elapsed < each.duration; elapsed += 100 * time.Millisecond {
				for _, job := range ends.due(ended, start.Add(elapsed)) {
					asked++
					ends.asked(job.ID, elapsed >= each.answeredAfter)
				}
				ends.finish()
			}
			if asked < each.minimum || asked > each.maximum {
				t.Errorf("asked %d times, want %d to %d", asked, each.minimum, each.maximum)
			}
			ends.reset()
			if due := ends.due(ended, start.Add(each.duration)); len(due) != 1 {
				t.Errorf("%d jobs are due in the next term", len(due))
			}
			if due := ends.due(ended, start.Add(each.duration+time.Minute)); len(due) != 0 {
				t.Errorf("%d jobs are due while questions are in progress", len(due))
			}
		})
	}
}
