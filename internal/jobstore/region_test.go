package jobstore_test

import (
	"fmt"
	"testing"

	"rockwind.example/rockwind/internal/jobstore"
)

// Guards against jobs that move from one region to another although both are allowed before and after a change.
func TestChangeOfRegionsMovesFewJobs(t *testing.T) {
	const jobs = 3000
	counts := make(map[string]int)
	for i := range jobs {
		id := fmt.Sprint("job-", i)
		three := jobstore.RegionOf(id, []string{"a", "b", "c"})
		if reordered := jobstore.RegionOf(id, []string{"c", "a", "b"}); reordered != three {
			t.Fatalf("%s is in %s or %s, depending on the order of the regions", id, three, reordered)
		}
		if two := jobstore.RegionOf(id, []string{"a", "b"}); three != "c" && two != three {
			t.Fatalf("%s moves from %s to %s when c is removed", id, three, two)
		}
		counts[three]++
	}
	for region, count := range counts {
		if count < jobs/4 || count > jobs*5/12 {
			t.Errorf("%d of %d jobs are in %s", count, jobs, region)
		}
	}
	if region := jobstore.RegionOf("job", nil); region != "" {
		t.Errorf("without regions the job is in %q", region)
	}
}
