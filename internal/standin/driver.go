package standin

import (
	"math/rand"
	"sync/atomic"
	"time"

	"rockwind.example/rockwind/internal/engine"
)

// streamState is how far a stream has come; zero while it goes on.
type streamState int32

const (
	// streamFinished: all tokens were produced.
	streamFinished streamState = iota + 1
	// streamCancelled: the request was cancelled or has expired.
	streamCancelled
	// streamCut: the connection is to be broken without an end.
	streamCut
)

// stream is what the driver tells the reader of a request. The driver writes
// it, one HTTP handler reads it.
type stream struct {
	produced atomic.Int64
	state    atomic.Int32
	// changed has a token whenever something was written since the last look.
	changed chan struct{}
}

func newStream() *stream {
	return &stream{changed: make(chan struct{}, 1)}
}

func (s *stream) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *stream) end(state streamState) {
	s.state.Store(int32(state))
	s.notify()
}

// command runs on the driver's goroutine.
type command func(model *engine.Engine, now time.Duration)

// driver runs one engine in real time. Its goroutine owns the model and the
// streams by request; handlers send it commands.
type driver struct {
	model    *engine.Engine
	begin    time.Time
	commands chan command
	streams  map[string]*stream
	events   []engine.Event
	// dead and hung mirror the model for handlers.
	dead, hung atomic.Bool
	stop       chan struct{}
	stopped    chan struct{}
}

func newDriver(config engine.Config, seed int64) *driver {
	result := &driver{
		model:    engine.New(config, rand.New(rand.NewSource(seed))),
		begin:    time.Now(),
		commands: make(chan command, 256),
		streams:  map[string]*stream{},
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	go result.run()
	return result
}

// do runs a command on the driver's goroutine and waits for it. It tells
// whether the driver is still running.
func (d *driver) do(run command) bool {
	done := make(chan struct{})
	wrapped := func(model *engine.Engine, now time.Duration) {
		run(model, now)
		close(done)
	}
	select {
	case d.commands <- wrapped:
	case <-d.stopped:
		return false
	}
	select {
	case <-done:
		return true
	case <-d.stopped:
		return false
	}
}

// close stops the driver.
func (d *driver) close() {
	close(d.stop)
	<-d.stopped
}

func (d *driver) run() {
	defer close(d.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		d.schedule(timer)
		select {
		case <-d.stop:
			return
		case <-timer.C:
			d.advance(time.Since(d.begin))
		case run := <-d.commands:
			now := time.Since(d.begin)
			d.advance(now)
			run(d.model, now)
			d.advance(now)
		}
	}
}

// schedule sets the timer to the model's next event.
func (d *driver) schedule(timer *time.Timer) {
	at, some := d.model.NextEvent()
	if !some {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(max(at-time.Since(d.begin), 0))
}

func (d *driver) advance(now time.Duration) {
	d.events = d.model.Advance(now, d.events[:0])
	for _, event := range d.events {
		d.deliver(event)
	}
	d.dead.Store(d.model.Dead())
	d.hung.Store(d.model.Hung())
}

func (d *driver) deliver(event engine.Event) {
	reader := d.streams[event.ID]
	if reader == nil {
		return
	}
	switch event.Kind {
	case engine.EventTokens:
		reader.produced.Store(int64(event.Sequence))
		reader.notify()
	case engine.EventFinished:
		reader.produced.Store(int64(event.Sequence))
		reader.end(streamFinished)
	case engine.EventCancelled, engine.EventExpired:
		reader.end(streamCancelled)
	case engine.EventLost, engine.EventTruncated:
		reader.end(streamCut)
	}
	if event.Kind.IsTerminal() || event.Kind == engine.EventTruncated {
		delete(d.streams, event.ID)
	}
}

// submit hands a request to the model; the reader is nil when it was refused.
func (d *driver) submit(request engine.Request) (*stream, engine.Refusal) {
	reader := newStream()
	refusal := engine.RefusalDead
	d.do(func(model *engine.Engine, now time.Duration) {
		// The stream is known before the model is asked: a request on an idle
		// engine may produce its first events at once.
		previous := d.streams[request.ID]
		d.streams[request.ID] = reader
		var accepted bool
		if refusal, accepted = model.Submit(now, request); !accepted {
			d.restore(request.ID, previous)
		}
	})
	if refusal != engine.RefusalNone {
		return nil, refusal
	}
	return reader, engine.RefusalNone
}

func (d *driver) restore(id string, previous *stream) {
	if previous == nil {
		delete(d.streams, id)
		return
	}
	d.streams[id] = previous
}

// resume makes the caller the reader of a request.
func (d *driver) resume(id string, offset int) (*stream, engine.ResumeResult, engine.ResumeStatus) {
	reader := newStream()
	var resumed engine.ResumeResult
	status := engine.ResumeUnknown
	d.do(func(model *engine.Engine, now time.Duration) {
		resumed, status = model.Resume(now, id, offset)
		if status != engine.ResumeAccepted {
			return
		}
		reader.produced.Store(int64(resumed.Last))
		if resumed.Finished {
			reader.end(streamFinished)
			return
		}
		reader.notify()
		d.streams[id] = reader
	})
	return reader, resumed, status
}

// detach notes that the given reader left; a later reader is not disturbed.
func (d *driver) detach(id string, reader *stream) {
	d.do(func(model *engine.Engine, now time.Duration) {
		if d.streams[id] != reader {
			return
		}
		delete(d.streams, id)
		model.Detach(now, id)
	})
}
