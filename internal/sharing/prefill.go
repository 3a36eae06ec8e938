package sharing

import (
	"math"
	"time"
)

// PrefillLoad estimates the part of a server's time that online prompts take: a
// moving mean of the prompt tokens sent to it. The zero value has seen none.
type PrefillLoad struct {
	tokens float64
	at     time.Duration
}

// prefillMemory is the time constant of the moving mean.
const prefillMemory = 700 * time.Millisecond

// Sent records the uncached prompt tokens of a request that is dispatched now.
func (p *PrefillLoad) Sent(tokens float64, now time.Duration) {
	p.tokens = p.decayed(now) + tokens
	p.at = now
}

// Part returns the part of the server's time, which may exceed 1 where prompts
// arrive faster than they are processed.
func (p *PrefillLoad) Part(perToken, now time.Duration) float64 {
	return p.decayed(now) * float64(perToken) / float64(prefillMemory)
}

func (p *PrefillLoad) decayed(now time.Duration) float64 {
	return p.tokens * math.Exp(-float64(now-p.at)/float64(prefillMemory))
}
