package coldstart_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/coldstart"
)

// perSecond is what the cold servers of the tests bear.
const perSecond = 9.2

// arrivals plays processes that send to a cold server whenever they may, each request up to 50 ms on
// its way, and returns the times of arrival. Those that end send nothing after the given time.
func arrivals(server string, processes []string, ends map[string]time.Duration, span time.Duration, random *rand.Rand) []time.Duration {
	var arrived []time.Duration
	for _, process := range processes {
		spacing, may := coldstart.Spacing(server, process, processes, perSecond)
		if !may {
			continue
		}
		for at := time.Duration(random.Int64N(int64(10 * time.Millisecond))); at < span; at += spacing {
			if end, ended := ends[process]; !ended || at < end {
				arrived = append(arrived, at+time.Duration(random.Int64N(int64(50*time.Millisecond))))
			}
		}
	}
	slices.Sort(arrived)
	return arrived
}

// most is the largest number of arrivals within a second.
func most(arrived []time.Duration) int {
	largest := 0
	for first, at := range arrived {
		last, _ := slices.BinarySearch(arrived, at+time.Second)
		largest = max(largest, last-first)
	}
	return largest
}

func named(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint("process-", i))
	}
	return names
}

// TestColdServersGetWhatTheyBear: the servers of a zone come back at once, and every process sends to
// each as often as it may, half of them until they end. No server gets more in a second than it
// bears, and while all processes live each gets most of that.
func TestColdServersGetWhatTheyBear(t *testing.T) {
	const span = 10 * time.Second
	for _, size := range []int{1, 3, 30, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(size)))
			processes := named(size)
			ends := make(map[string]time.Duration)
			for _, process := range processes[:size/2] {
				ends[process] = span / 2
			}
			for server := range 40 {
				arrived := arrivals(fmt.Sprint("server-", server), processes, ends, span, random)
				if got := most(arrived); float64(got) > perSecond+1 {
					t.Errorf("server %d gets %d requests in a second", server, got)
				}
				before, _ := slices.BinarySearch(arrived, span/2)
				if wanted := 0.7 * perSecond * (span / 2).Seconds(); float64(before) < wanted {
					t.Errorf("server %d gets %d requests in %v, and bears %.0f", server, before, span/2, perSecond*(span/2).Seconds())
				}
			}
		})
	}
}

// TestProcessesHaveRightsAtSomeServers: so that a process finds a server among many that are cold. At 500
// servers each of 300 processes has 15 rights in the mean.
func TestProcessesHaveRightsAtSomeServers(t *testing.T) {
	processes := named(300)
	for _, process := range processes {
		rights := 0
		for server := range 500 {
			if _, may := coldstart.Spacing(fmt.Sprint("server-", server), process, processes, perSecond); may {
				rights++
			}
		}
		if rights == 0 {
			t.Errorf("%s has no right at any of 500 servers", process)
		}
	}
}

func TestServerThatBearsNothingGetsNothing(t *testing.T) {
	if _, may := coldstart.Spacing("server", "process", named(3), 0); may {
		t.Error("a server that bears nothing gets requests")
	}
}
