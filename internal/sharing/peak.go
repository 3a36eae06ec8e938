package sharing

import (
	"math"
	"time"
)

// Peak estimates how many online requests a burst brings to a server at a time:
// a maximum that decays with a half-life, so that it rises at once and is
// forgotten slowly. The zero value has seen nothing.
type Peak struct {
	value float64
	at    time.Duration
}

// Observe takes the number of online requests on the server now.
func (p *Peak) Observe(online float64, now, halfLife time.Duration) {
	p.value = max(online, p.Value(now, halfLife))
	p.at = now
}

// Value returns the estimate now.
func (p *Peak) Value(now, halfLife time.Duration) float64 {
	if halfLife <= 0 || now <= p.at {
		return p.value
	}
	return p.value * math.Exp2(-float64(now-p.at)/float64(halfLife))
}
