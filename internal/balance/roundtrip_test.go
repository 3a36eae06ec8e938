package balance_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
)

// Guards against an estimate that follows the delays of busy processes instead of the network.
func TestRoundTripIsTheLowestOfTheNewestSamples(t *testing.T) {
	trips := balance.NewRoundTrips()
	for _, took := range []time.Duration{90, 17, 40, 200} {
		trips.Record("away", took*time.Millisecond, 0)
	}
	if got, found := trips.Estimate("away", time.Second); !found || got != 17*time.Millisecond {
		t.Errorf("the estimate is %v, %v", got, found)
	}
	for range 16 {
		trips.Record("away", 30*time.Millisecond, time.Second)
	}
	if got, found := trips.Estimate("away", time.Second); !found || got != 30*time.Millisecond {
		t.Errorf("the estimate is %v, %v after the path became longer", got, found)
	}
}

// Guards against choices that rely on missing, implausible or outdated measurements.
func TestRoundTripIsUnknownWithoutPlausibleSamples(t *testing.T) {
	trips := balance.NewRoundTrips()
	for _, took := range []time.Duration{0, -time.Millisecond, time.Hour, 20 * time.Millisecond, 20 * time.Millisecond} {
		trips.Record("away", took, 0)
	}
	if got, found := trips.Estimate("away", 0); found {
		t.Errorf("the estimate is %v after two plausible samples", got)
	}
	trips.Record("away", 20*time.Millisecond, 0)
	if _, found := trips.Estimate("away", time.Second); !found {
		t.Error("there is no estimate after three plausible samples")
	}
	if got, found := trips.Estimate("away", time.Hour); found {
		t.Errorf("the estimate is still %v after an hour without samples", got)
	}
	if got, found := trips.Estimate("elsewhere", 0); found {
		t.Errorf("the estimate of a zone without samples is %v", got)
	}
}
