package batch

import (
	"math"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/sharing"
)

// Estimates before anything was measured.
const (
	firstPromptTokens    = 256
	firstGeneratedTokens = 128
	// costWeight is the weight of a new cost in the mean.
	costWeight = 0.05
	// rateTime is the time constant of the rate of items.
	rateTime = 2 * time.Second
)

// costMeter keeps the mean cost of an item by group. It is safe for concurrent
// use.
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

// rateMeter measures items per second, with old ones decaying away.
type rateMeter struct {
	count float64
	at    time.Time
}

func (m *rateMeter) decay(now time.Time) {
	if elapsed := now.Sub(m.at); !m.at.IsZero() && elapsed > 0 {
		m.count *= math.Exp(-elapsed.Seconds() / rateTime.Seconds())
	}
	m.at = now
}

func (m *rateMeter) add(now time.Time) {
	m.decay(now)
	m.count++
}

func (m *rateMeter) perSecond(now time.Time) float64 {
	m.decay(now)
	return m.count / rateTime.Seconds()
}
