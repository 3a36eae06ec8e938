package router

import (
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
)

// brokenContents remembers which contents broke off here lately, and which answers were told.
// It is safe for concurrent use.
type brokenContents struct {
	mutex sync.Mutex
	// until is until when a content is remembered, and told when an answer to it was.
	until map[fingerprint.Fingerprint]time.Time
	told  map[fingerprint.Fingerprint]time.Time
}

func newBrokenContents() *brokenContents {
	return &brokenContents{until: make(map[fingerprint.Fingerprint]time.Time), told: make(map[fingerprint.Fingerprint]time.Time)}
}

// add remembers a content whose connection broke off. Beyond what is remembered none is added:
// so many break off together only where a server was not to blame.
func (b *brokenContents) add(content fingerprint.Fingerprint, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expire(now)
	if _, known := b.until[content]; known || len(b.until) < mostBroken {
		b.until[content] = now.Add(brokenFor)
	}
}

// empty tells whether no content is remembered.
func (b *brokenContents) empty(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expire(now)
	return len(b.until) == 0
}

// tell decides whether an answer to a content is to be told: one that broke off here lately or
// is suspected, unless another answer to it has just been told.
func (b *brokenContents) tell(content fingerprint.Fingerprint, suspected bool, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if _, broke := b.until[content]; !broke && !suspected {
		return false
	}
	if told, known := b.told[content]; known && now.Sub(told) < answeredInterval {
		return false
	}
	b.told[content] = now
	return true
}

// expire forgets what is old. The mutex is held.
func (b *brokenContents) expire(now time.Time) {
	for content, until := range b.until {
		if now.After(until) {
			delete(b.until, content)
		}
	}
	for content, told := range b.told {
		if now.Sub(told) > brokenFor {
			delete(b.told, content)
		}
	}
}
