package coldstart_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/coldstart"
)

// perSecond is the request rate that the cold servers of the tests can serve.
const perSecond = 9.2

// arrivals simulates processes that send to a cold server as often as they are allowed, with a network
// delay of up to 50 ms, and returns the sorted arrival times. A process listed in ends stops at the
// given time.
func arrivals(server string, processes []string, ends map[string]time.Duration, span time.Duration, random *rand.Rand) []time.Duration {
	var arrived []time.Duration
	for _, process := range processes {
		spacing, allowed := coldstart.Spacing(server, process, processes, perSecond)
		if !allowed {
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

// maxPerSecond returns the largest number of arrivals within a second.
func maxPerSecond(arrived []time.Duration) int {
	largest := 0
	for first, at := range arrived {
		last, _ := slices.BinarySearch(arrived, at+time.Second)
		largest = max(largest, last-first)
	}
	return largest
}

func processNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint("process-", i))
	}
	return names
}

// TestColdServersGetWhatTheyBear checks that no cold server is sent more than it can serve a second, also
// after half of the processes have ended, and that it is sent most of that while all of them run.
func TestColdServersGetWhatTheyBear(t *testing.T) {
	const span = 10 * time.Second
	for _, size := range []int{1, 3, 30, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(size)))
			processes := processNames(size)
			ends := make(map[string]time.Duration)
			for _, process := range processes[:size/2] {
				ends[process] = span / 2
			}
			for server := range 40 {
				arrived := arrivals(fmt.Sprint("server-", server), processes, ends, span, random)
				if got := maxPerSecond(arrived); float64(got) > perSecond+1 {
					t.Errorf("server %d gets %d requests in a second, more than its rate", server, got)
				}
				before, _ := slices.BinarySearch(arrived, span/2)
				if wanted := 0.7 * perSecond * (span / 2).Seconds(); float64(before) < wanted {
					t.Errorf("server %d gets %d requests in %v and can serve %.0f", server, before, span/2, perSecond*(span/2).Seconds())
				}
			}
		})
	}
}

// TestEachProcessMaySendToSomeServers guards against a process that is allowed at none of many cold
// servers. With 500 servers each of 300 processes is selected at 15 on average.
func TestEachProcessMaySendToSomeServers(t *testing.T) {
	processes := processNames(300)
	for _, process := range processes {
		selected := 0
		for server := range 500 {
			if _, allowed := coldstart.Spacing(fmt.Sprint("server-", server), process, processes, perSecond); allowed {
				selected++
			}
		}
		if selected == 0 {
			t.Errorf("%s may send to none of 500 servers", process)
		}
	}
}

func TestServerWithoutRateGetsNoRequests(t *testing.T) {
	if _, allowed := coldstart.Spacing("server", "process", processNames(3), 0); allowed {
		t.Error("a server with a rate of 0 gets requests")
	}
}
