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
		spacing, allowed := coldstart.Spacing(server, process, processes, len(processes), perSecond)
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

// TestShareOfLostProcessesPassesOn guards against a cold server that is sent half of what it can serve for
// as long as the lost half of the processes is listed. The others notice at different times, up to two seconds
// after the loss. No second may hold more than the server may be sent, even if a partition separates the processes from
// almost all others and all of them go on.
func TestShareOfLostProcessesPassesOn(t *testing.T) {
	const noticed, span = 2 * time.Second, 12 * time.Second
	for _, rate := range []float64{0.5, 1, 1.9, 2.9, 9.2, 15} {
		for _, size := range []int{2, 3, 9, 12, 30, 58, 300} {
			for _, heard := range []int{size - size/2, 1} {
				random := rand.New(rand.NewPCG(uint64(size), uint64(rate*10)))
				partitioned := heard == 1 && size > 2
				processes, lost := processNames(size), make(map[string]bool)
				if !partitioned {
					for _, place := range random.Perm(size)[:size/2] {
						lost[processes[place]] = true
					}
				}
				total, wanted := 0, 0.0
				for server := range 20 {
					name := fmt.Sprint("server-", server)
					var sent []time.Duration
					for _, process := range processes {
						if lost[process] {
							continue
						}
						before, allowedBefore := coldstart.Spacing(name, process, processes, size, rate)
						later, allowedLater := coldstart.Spacing(name, process, processes, heard, rate)
						notices := time.Duration(random.Int64N(int64(noticed)))
						last, began := time.Duration(0), false
						for at := time.Duration(random.Int64N(int64(time.Second))); at < span; at += 5 * time.Millisecond {
							spacing, allowed := before, allowedBefore
							if at > notices {
								spacing, allowed = later, allowedLater
							}
							if allowed && (!began || at-last >= spacing) {
								last, began, sent = at, true, append(sent, at)
							}
						}
					}
					slices.Sort(sent)
					if got := maxPerSecond(sent); float64(got) > rate*1.5+5 {
						t.Errorf("%d processes, %d heard, %v a second: server %d is sent %d in a second", size, heard, rate, server, got)
					}
					after, _ := slices.BinarySearch(sent, noticed)
					total += len(sent) - after
					wanted += 0.7 * rate * (span - noticed).Seconds()
				}
				if !partitioned && float64(total) < wanted {
					t.Errorf("%d processes, %d heard, %v a second: the servers are sent %d, want %.0f", size, heard, rate, total, wanted)
				}
			}
		}
	}
}

// TestEachProcessMaySendToSomeServers guards against a process that is allowed at none of many cold
// servers. With 500 servers each of 300 processes is selected at 15 on average.
func TestEachProcessMaySendToSomeServers(t *testing.T) {
	processes := processNames(300)
	for _, process := range processes {
		selected := 0
		for server := range 500 {
			if _, allowed := coldstart.Spacing(fmt.Sprint("server-", server), process, processes, len(processes), perSecond); allowed {
				selected++
			}
		}
		if selected == 0 {
			t.Errorf("%s may send to none of 500 servers", process)
		}
	}
}

func TestServerWithoutRateGetsNoRequests(t *testing.T) {
	if _, allowed := coldstart.Spacing("server", "process", processNames(3), 3, 0); allowed {
		t.Error("a server with a rate of 0 gets requests")
	}
}
