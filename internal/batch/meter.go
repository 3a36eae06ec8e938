package batch

import (
	"math"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/sharing"
)

// Parameters of the meters; the token counts are the estimate for a group without
// finished items.
const (
	firstPromptTokens    = 256
	firstGeneratedTokens = 128
	// costWeight is the weight of a new cost in the moving average.
	costWeight = 0.05
	// rateTimeConstant is the time constant of the decaying item rate.
	rateTimeConstant = 2 * time.Second
)

// costMeter keeps a moving average of the cost of an item by group. It is safe for
// concurrent use.
type costMeter struct {
	mutex sync.Mutex
	means map[string]float64
}

func newCostMeter() *costMeter {
	return &costMeter{means: make(map[string]float64)}
}

func (m *costMeter) mean(group string) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if mean, known := m.means[group]; known {
		return mean
	}
	return sharing.Cost(firstPromptTokens, 0, firstGeneratedTokens)
}

func (m *costMeter) add(group string, cost float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	mean, known := m.means[group]
	if !known {
		mean = cost
	}
	m.means[group] = mean + costWeight*(cost-mean)
}

// rateMeter measures items per second with exponential decay.
type rateMeter struct {
	count float64
	at    time.Time
}

func (m *rateMeter) decay(now time.Time) {
	if elapsed := now.Sub(m.at); !m.at.IsZero() && elapsed > 0 {
		m.count *= math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
	}
	m.at = now
}

func (m *rateMeter) add(now time.Time) {
	m.decay(now)
	m.count++
}

func (m *rateMeter) perSecond(now time.Time) float64 {
	m.decay(now)
	return m.count / rateTimeConstant.Seconds()
}
