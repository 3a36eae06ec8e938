package calibration

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/simulator"
)

// probeGap is the time between two probes.
const probeGap = 50 * time.Millisecond

// probeRoundTrips measures small calls of a process until the context ends, and
// returns their sorted round trips. They tell what a hop between processes costs
// on the machine as it is during the run.
func probeRoundTrips(ctx context.Context, address string) []time.Duration {
	var trips []time.Duration
	ticker := time.NewTicker(probeGap)
	defer ticker.Stop()
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			slices.Sort(trips)
			return trips
		case <-ticker.C:
			if trip, answered := probe(ctx, client, address); answered {
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
	begin := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return time.Since(begin), err == nil
}

// noiseOf lists what each hop took longer than the median one. Of the two hops of a
// round trip, one is taken to have been delayed.
func noiseOf(trips []time.Duration) []time.Duration {
	median := simulator.Quantile(trips, 0.5)
	noise := make([]time.Duration, 0, 2*len(trips))
	for _, trip := range trips {
		noise = append(noise, max(0, trip-median), 0)
	}
	return noise
}

// hopsOf turns the sorted round trips of probes into hops, half a trip each.
func hopsOf(trips []time.Duration) hops {
	return hops{
		median: simulator.Quantile(trips, 0.5) / 2,
		slow:   simulator.Quantile(trips, 0.99) / 2,
		noise:  noiseOf(trips),
	}
}
