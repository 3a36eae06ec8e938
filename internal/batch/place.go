package batch

import "sync"

// place sends the orders to pause and unpause one item. Orders go out one at a
// time, in the order in which they are wanted; an order that is not wanted any more
// when its turn comes is left out. It is safe for concurrent use.
type place struct {
	mutex sync.Mutex
	// wanted is whether the item is to be paused, sent what was ordered last.
	wanted, sent bool
	// sending is set while a goroutine sends orders.
	sending bool
}

// want makes the item paused or not. send is called on another goroutine and must
// not be called for two orders at once.
func (p *place) want(paused bool, send func(paused bool)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wanted = paused
	if p.sending {
		return
	}
	p.sending = true
	go p.deliver(send)
}

// confirm sends the order that put the item back once more. The order that paused
// it may have reached the engine after it: over another connection, or when the
// engine stood still for a while.
func (p *place) confirm(send func(paused bool)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.sending || p.wanted {
		return
	}
	p.sending = true
	go func() {
		send(false)
		p.deliver(send)
	}()
}

// deliver sends orders until the last one is what is wanted.
func (p *place) deliver(send func(paused bool)) {
	for {
		paused, due := p.next()
		if !due {
			return
		}
		send(paused)
	}
}

// next takes the order that is due, and ends the sending where none is.
func (p *place) next() (paused, due bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.wanted == p.sent {
		p.sending = false
		return false, false
	}
	p.sent = p.wanted
	return p.sent, true
}
