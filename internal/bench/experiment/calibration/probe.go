package calibration

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/simulator"
)

// probeInterval is the time between two probes.
const probeInterval = 50 * time.Millisecond

// probeRoundTrips sends health checks to a process until the context ends, and returns
// the sorted round-trip times. They show the cost of a hop between processes under the
// load of the run.
func probeRoundTrips(ctx context.Context, address string) []time.Duration {
	var trips []time.Duration
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			slices.Sort(trips)
			return trips
		case <-ticker.C:
			if trip, ok := probe(ctx, client, address); ok {
				trips = append(trips, trip)
			}
		}
	}
}

func probe(ctx context.Context, client *http.Client, address string) (time.Duration, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return 0, false
	}
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return time.Since(started), err == nil
}

// hopNoise returns the excess of each hop over the median. It attributes the excess of
// a round trip to one of its two hops.
func hopNoise(trips []time.Duration) []time.Duration {
	median := simulator.Quantile(trips, 0.5)
	noise := make([]time.Duration, 0, 2*len(trips))
	for _, trip := range trips {
		noise = append(noise, max(0, trip-median), 0)
	}
	return noise
}

// hopTimesOf derives hop times from sorted round-trip times, half a round trip each.
func hopTimesOf(trips []time.Duration) hopTimes {
	return hopTimes{
		median: simulator.Quantile(trips, 0.5) / 2,
		p99:    simulator.Quantile(trips, 0.99) / 2,
		noise:  hopNoise(trips),
	}
}
