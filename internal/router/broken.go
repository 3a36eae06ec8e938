package router

import (
	"maps"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/fingerprint"
)

const (
	// brokenFor is for how long a content is remembered after its connection broke off here:
	// the coordinators have told of it by then if its server ended.
	brokenFor = 15 * time.Second
	// mostBroken bounds the contents that are remembered.
	mostBroken = 512
	// answeredInterval is the least time between two reports of answers to one content: one
	// that is asked all the time is answered all the time.
	answeredInterval = 50 * time.Millisecond
	// sweepInterval is the time between looks for contents to forget.
	sweepInterval = time.Second
)

// brokenContents remembers which contents broke off here lately, and which answers were told.
// It is safe for concurrent use.
type brokenContents struct {
	mutex sync.Mutex
	// broke is when a content broke off last, and told when an answer to it was told.
	broke map[fingerprint.Fingerprint]time.Time
	told  map[fingerprint.Fingerprint]time.Time
	swept time.Time
}

func newBrokenContents() *brokenContents {
	return &brokenContents{broke: make(map[fingerprint.Fingerprint]time.Time), told: make(map[fingerprint.Fingerprint]time.Time)}
}

// add remembers a content whose connection broke off. Beyond what is remembered none is added:
// so many break off together only where a server was not to blame.
func (b *brokenContents) add(content fingerprint.Fingerprint, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sweep(now)
	if _, known := b.broke[content]; known || len(b.broke) < mostBroken {
		b.broke[content] = now
	}
}

// empty tells whether no content is remembered.
func (b *brokenContents) empty(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sweep(now)
	return len(b.broke) == 0
}

// tell decides whether an answer to a content is to be told: one that broke off here lately or
// is suspected, unless another answer to it has just been told.
func (b *brokenContents) tell(content fingerprint.Fingerprint, suspected bool, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if _, broke := b.broke[content]; !broke && !suspected {
		return false
	}
	if told, known := b.told[content]; known && now.Sub(told) < answeredInterval {
		return false
	}
	b.told[content] = now
	return true
}

// sweep forgets what is old. The mutex is held.
func (b *brokenContents) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepInterval {
		return
	}
	b.swept = now
	old := func(_ fingerprint.Fingerprint, at time.Time) bool { return now.Sub(at) > brokenFor }
	maps.DeleteFunc(b.broke, old)
	maps.DeleteFunc(b.told, old)
}
