package balance

import (
	"slices"
	"time"
)

const (
	// roundTripSamples is the number of newest round-trip times of a zone that are kept, and
	// minRoundTripSamples the number required for an estimate: the first connections of a busy process
	// may take several times the round trip.
	roundTripSamples    = 16
	minRoundTripSamples = 3
	// roundTripTTL is how long an estimate is used without a new sample. A zone with a high estimate gets
	// few new connections, so an estimate that is too high would otherwise persist.
	roundTripTTL = 5 * time.Minute
	// maxPlausibleRoundTrip is the longest round-trip time that is accepted. Longer connection setups
	// include a retransmission.
	maxPlausibleRoundTrip = 500 * time.Millisecond
	// defaultRoundTrip is assumed for zones of other regions without an estimate. maxRoundTripCost
	// bounds the effect of an estimate on choices.
	defaultRoundTrip = 16 * time.Millisecond
	maxRoundTripCost = 60 * time.Millisecond
)

// RoundTrips estimates the round-trip times to the zones of a site from the time it takes to connect
// to servers there. Delays of the processes at both ends only lengthen a sample, so the lowest of the
// newest samples is the estimate. It is not safe for concurrent use.
type RoundTrips struct {
	zones map[string]*zoneRoundTrips
}

// zoneRoundTrips holds the newest samples of one zone.
type zoneRoundTrips struct {
	// newest holds up to roundTripSamples samples; next is the place of the oldest one.
	newest   []time.Duration
	next     int
	estimate time.Duration
	at       time.Duration
}

// NewRoundTrips returns an estimator without samples.
func NewRoundTrips() *RoundTrips { return &RoundTrips{zones: make(map[string]*zoneRoundTrips)} }

// Record records how long it took to connect to a server in a zone. Implausible times are ignored.
func (r *RoundTrips) Record(zone string, took, now time.Duration) {
	if took <= 0 || took > maxPlausibleRoundTrip {
		return
	}
	samples := r.zones[zone]
	if samples == nil {
		samples = &zoneRoundTrips{}
		r.zones[zone] = samples
	}
	if len(samples.newest) < roundTripSamples {
		samples.newest = append(samples.newest, took)
	} else {
		samples.newest[samples.next] = took
		samples.next = (samples.next + 1) % roundTripSamples
	}
	samples.estimate, samples.at = slices.Min(samples.newest), now
}

// Estimate returns the round-trip time to a zone, or false if there are too few or only old samples.
func (r *RoundTrips) Estimate(zone string, now time.Duration) (time.Duration, bool) {
	samples := r.zones[zone]
	if samples == nil || len(samples.newest) < minRoundTripSamples || now-samples.at > roundTripTTL {
		return 0, false
	}
	return samples.estimate, true
}

// cost returns the cost of the round trip to a zone of another region, in milliseconds. It is never
// lower than that of another zone of the own region.
func (r *RoundTrips) cost(zone string, now time.Duration) float64 {
	estimate, found := r.Estimate(zone, now)
	if !found {
		estimate = defaultRoundTrip
	}
	return max(otherZoneCost, float64(min(estimate, maxRoundTripCost))/float64(time.Millisecond))
}
