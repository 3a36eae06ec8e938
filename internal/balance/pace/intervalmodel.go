package pace

const (
	// meanWeight is the weight of one run in the running means. The first unweightedRuns runs have
	// equal weights.
	meanWeight     = 0.02
	unweightedRuns = 1 / meanWeight
	// maximumDeviation bounds the interval of a run to a multiple of the expected one, so that a
	// few very slow servers do not shift the expectation.
	maximumDeviation = 3.0
	// minimumVariance is the variance of the concurrency above which the slope is estimated.
	minimumVariance = 0.5
)

// intervalModel estimates the event interval as a linear function of the concurrency, by least
// squares over weighted means. The zero value has no data.
type intervalModel struct {
	runs float64
	// Means of the concurrency, the interval, the square of the concurrency, and their product.
	meanConcurrency, meanInterval, meanSquare, meanProduct float64
}

// predict returns the expected event interval at a concurrency, or zero without data.
func (m *intervalModel) predict(concurrency int) float64 {
	variance := m.meanSquare - m.meanConcurrency*m.meanConcurrency
	if variance < minimumVariance {
		return m.meanInterval
	}
	slope := max(0, (m.meanProduct-m.meanConcurrency*m.meanInterval)/variance)
	return max(m.meanInterval+slope*(float64(concurrency)-m.meanConcurrency), m.meanInterval/maximumDeviation)
}

// add records the event interval of a run.
func (m *intervalModel) add(concurrency int, interval float64) {
	if expected := m.predict(concurrency); expected > 0 {
		interval = min(interval, maximumDeviation*expected)
	}
	m.runs = min(m.runs+1, unweightedRuns)
	weight, requests := 1/m.runs, float64(concurrency)
	m.meanConcurrency += weight * (requests - m.meanConcurrency)
	m.meanInterval += weight * (interval - m.meanInterval)
	m.meanSquare += weight * (requests*requests - m.meanSquare)
	m.meanProduct += weight * (requests*interval - m.meanProduct)
}
