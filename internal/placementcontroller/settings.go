package placementcontroller

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/placement"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	defaultInterval = 10 * time.Second
	defaultWarmUp   = 15 * time.Second
)

// FromSettings returns the options for the settings. Missing settings get their defaults.
func FromSettings(settings *rockwindpb.PlacementSettings) Options {
	policy := placement.DefaultPolicy()
	setDuration(&policy.Dwell, settings.GetDwell())
	setDuration(&policy.Sustain, settings.GetSustain())
	policy.FloorSustain = min(policy.FloorSustain, policy.Sustain)
	setNumber(&policy.FloorReplicas, settings.GetFloorReplicas())
	setNumber(&policy.FloorZones, settings.GetFloorZones())
	setNumber(&policy.ChangesAtOnce, settings.GetChangesAtOnce())
	setNumber(&policy.LoadsAtOnce, settings.GetLoadsAtOnce())
	setFloat(&policy.Margin, settings.GetMargin())
	setFloat(&policy.MinimumPressure, settings.GetMinimumPressure())
	setFloat(&policy.WeightStoreRate, settings.GetWeightStoreBytesPerSecond())
	setFloat(&policy.WeightsBytes, settings.GetWeightsBytes())
	options := Options{
		Policy: policy, Interval: defaultInterval, WarmUp: defaultWarmUp,
		VersionsPerEngine: int(settings.GetVersionsPerEngine()),
	}
	setDuration(&options.Interval, settings.GetInterval())
	options.Policy.LoadAhead = options.Interval
	setDuration(&options.WarmUp, settings.GetWarmUp())
	return options
}

func setDuration(target *time.Duration, value *durationpb.Duration) {
	if value != nil {
		*target = value.AsDuration()
	}
}

func setNumber(target *int, value uint32) {
	if value > 0 {
		*target = int(value)
	}
}

func setFloat(target *float64, value float64) {
	if value > 0 {
		*target = value
	}
}
