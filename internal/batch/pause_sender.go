package batch

import "sync"

// pauseSender sends the commands that pause and resume one item at its engine.
// Commands are sent one at a time and in order; one that is superseded before it
// is sent is skipped. It is safe for concurrent use.
type pauseSender struct {
	mutex sync.Mutex
	// wanted is whether the item should be paused, sent the last command that was sent.
	wanted, sent bool
	// sending is set while a goroutine sends commands.
	sending bool
}

// setPaused sets whether the item should be paused. It calls send on another
// goroutine, for one command at a time.
func (p *pauseSender) setPaused(paused bool, send func(paused bool)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wanted = paused
	if p.sending {
		return
	}
	p.sending = true
	go p.run(send)
}

// resendResume sends the resume command again. The engine may have received the
// earlier pause command after it, over another connection or after a stall.
func (p *pauseSender) resendResume(send func(paused bool)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.sending || p.wanted {
		return
	}
	p.sending = true
	go func() {
		send(false)
		p.run(send)
	}()
}

// run sends commands until the last one matches the wanted state.
func (p *pauseSender) run(send func(paused bool)) {
	for {
		paused, due := p.next()
		if !due {
			return
		}
		send(paused)
	}
}

// next returns the command to send, or clears sending if there is none.
func (p *pauseSender) next() (paused, due bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.wanted == p.sent {
		p.sending = false
		return false, false
	}
	p.sent = p.wanted
	return p.sent, true
}
