package standin

import (
	"math/rand"
	"sync/atomic"
	"time"

	"rockwind.example/rockwind/internal/engine"
)

// streamState is the final state of a stream; zero while it is in progress.
type streamState int32

const (
	// streamFinished: all tokens were produced.
	streamFinished streamState = iota + 1
	// streamCancelled: the request was cancelled or has expired.
	streamCancelled
	// streamAborted: the connection must be closed without completing the response.
	streamAborted
)

// stream passes the progress of a request from the driver to the HTTP handler that
// reads it.
type stream struct {
	produced atomic.Int64
	state    atomic.Int32
	// changed signals that the stream was updated since the last receive.
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

// command is a function that runs on the driver's goroutine.
type command func(model *engine.Engine, now time.Duration)

// driver runs an engine model in real time. Its goroutine owns the model and the
// streams; handlers access them through commands.
type driver struct {
	model     *engine.Engine
	startedAt time.Time
	commands  chan command
	streams   map[string]*stream
	events    []engine.Event
	// dead and hung are copies of the model's state for handlers.
	dead, hung atomic.Bool
	stop       chan struct{}
	stopped    chan struct{}
}

func newDriver(config engine.Config, seed int64) *driver {
	result := &driver{
		model:     engine.New(config, rand.New(rand.NewSource(seed))),
		startedAt: time.Now(),
		commands:  make(chan command, 256),
		streams:   map[string]*stream{},
		stop:      make(chan struct{}),
		stopped:   make(chan struct{}),
	}
	go result.run()
	return result
}

// do runs a command on the driver's goroutine and waits for it. It returns false
// if the driver has stopped.
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

// close stops the driver and waits until it has stopped.
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
			d.advance(time.Since(d.startedAt))
		case run := <-d.commands:
			now := time.Since(d.startedAt)
			d.advance(now)
			run(d.model, now)
			d.advance(now)
		}
	}
}

// schedule sets the timer to the time of the model's next event.
func (d *driver) schedule(timer *time.Timer) {
	at, ok := d.model.NextEvent()
	if !ok {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(max(at-time.Since(d.startedAt), 0))
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
		reader.end(streamAborted)
	}
	if event.Kind.IsTerminal() || event.Kind == engine.EventTruncated {
		delete(d.streams, event.ID)
	}
}

// submit submits a request to the model; the stream is nil if it was refused.
func (d *driver) submit(request engine.Request) (*stream, engine.Refusal) {
	reader := newStream()
	refusal := engine.RefusalDead
	d.do(func(model *engine.Engine, now time.Duration) {
		// Registers the stream first, because an idle engine may produce the first
		// events immediately.
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

// resume makes the caller the reader of a request and returns its stream.
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

// detach removes a reader of a request, unless another one has replaced it.
func (d *driver) detach(id string, reader *stream) {
	d.do(func(model *engine.Engine, now time.Duration) {
		if d.streams[id] != reader {
			return
		}
		delete(d.streams, id)
		model.Detach(now, id)
	})
}
