package settings

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Limits of the placement settings.
const (
	minimumPlacementInterval = 100 * time.Millisecond
	maximumPlacementTime     = 24 * time.Hour
)

// checkPlacement checks the placement settings, all of which are optional.
func (l *loader) checkPlacement(settings *rockwindpb.PlacementSettings) {
	l.checkGivenDuration("interval", settings.GetInterval(), minimumPlacementInterval)
	l.checkGivenDuration("dwell", settings.GetDwell(), 0)
	l.checkGivenDuration("sustain", settings.GetSustain(), 0)
	l.checkGivenDuration("warm_up", settings.GetWarmUp(), 0)
	l.checkNotNegative("margin", settings.GetMargin())
	l.checkNotNegative("minimum_pressure", settings.GetMinimumPressure())
	l.checkNotNegative("weight_store_bytes_per_second", settings.GetWeightStoreBytesPerSecond())
	l.checkNotNegative("weights_bytes", settings.GetWeightsBytes())
	hasRate, hasSize := settings.GetWeightStoreBytesPerSecond() > 0, settings.GetWeightsBytes() > 0
	if hasRate != hasSize {
		l.add(fieldPath{"placement", "weights_bytes"},
			"only one of weight_store_bytes_per_second and weights_bytes is given", "give both or none")
	}
}

func (l *loader) checkGivenDuration(name string, value *durationpb.Duration, lowest time.Duration) {
	if value != nil {
		l.checkDuration(fieldPath{"placement", name}, value, lowest, maximumPlacementTime)
	}
}

func (l *loader) checkNotNegative(name string, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		path := fieldPath{"placement", name}
		l.add(path, fmt.Sprintf("the setting %s is %v", path, value), "write a number of at least 0")
	}
}
