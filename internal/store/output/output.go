// Package output keeps what a shard's leader received of the output of an item, over all its
// tries, and how much of it the shard holds. It is pure apart from a lock: tries add events on
// goroutines of their own while the leader asks what is to be recorded.
//
// Invariant: of all writers of an output at most one can add to it, the last one. A try that was
// dropped adds nothing to what the next one goes on with.
package output

import (
	"slices"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// RunCounter numbers what is received in one piece at the leader of a shard. The zero value has
// numbered nothing.
type RunCounter struct{ last atomic.Uint64 }

func (r *RunCounter) next() uint64 { return r.last.Add(1) }

// Output is what was received of an item's output. Its methods may be called by any goroutine.
type Output struct {
	mutex sync.Mutex
	runs  *RunCounter
	// run numbers the events since the output was begun or taken over, or its last try failed.
	run uint64
	// writer is the number of the writer that may add, zero where none may.
	writer uint64
	// writers is how many there were.
	writers  uint64
	failures uint32
	text     []byte
	hasText  bool
	received upstream.Sequence
	// numbered is the place after the last event with a number. What follows it comes again
	// with the next try, since servers go on after a number.
	numbered place
	// held is what the shard is known to hold of the run, and taken the last event of what it
	// held when the output was made.
	held  mark
	taken uint64
}

// place is one in a text; hasText tells whether an event before it had data.
type place struct {
	length  int
	hasText bool
}

// mark is a place in an output, after the event with the number.
type mark struct {
	run    uint64
	last   uint64
	length int
}

// New returns the output of an item of which the shard holds a part already.
func New(runs *RunCounter, part jobstore.PartialOutput) *Output {
	created := &Output{runs: runs, run: runs.next()}
	text, hasText := part.Text()
	created.text, created.hasText = slices.Clone(text), hasText
	created.numbered = place{length: len(text), hasText: hasText}
	if last, known := part.LastEvent(); known {
		created.received.Take(upstream.Event{Sequence: last, HasSequence: true})
		created.taken = last
	}
	return created
}

// LastEvent is the number of the last event that was received, zero where none was.
func (o *Output) LastEvent() uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.received.Last()
}

// Text is the data of all events, separated by line feeds.
func (o *Output) Text() []byte {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.text)
}

// NewWriter returns the writer of the next try, the only one from then on. The item has had the
// given number of failed tries. Where a failure came to be known since the last try began, the
// shard has passed over what was told with the earlier number: all is told again.
func (o *Output) NewWriter(failures int) Writer {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.writers > 0 && uint32(failures) != o.failures {
		o.run, o.taken = o.runs.next(), 0
	}
	o.writers++
	o.writer, o.failures = o.writers, uint32(failures)
	o.text, o.hasText = o.text[:o.numbered.length], o.numbered.hasText
	return Writer{output: o, number: o.writer}
}

// RevokeWriter ends what the current writer may do.
func (o *Output) RevokeWriter() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.writer = 0
}

// Writer adds what one try receives.
type Writer struct {
	output *Output
	number uint64
}

// ResumeAfter is the number after which the server should go on, empty where the output begins.
func (w Writer) ResumeAfter() string {
	w.output.mutex.Lock()
	defer w.output.mutex.Unlock()
	return w.output.received.String()
}

// Add takes whole events. Those that were received before are passed over.
func (w Writer) Add(events []upstream.Event) {
	o := w.output
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.writer != w.number {
		return
	}
	for _, event := range events {
		if o.received.Take(event) {
			o.add(event)
		}
	}
}

func (o *Output) add(event upstream.Event) {
	if event.HasData {
		if o.hasText {
			o.text = append(o.text, '\n')
		}
		o.text = append(o.text, event.Data...)
		o.hasText = true
	}
	if event.HasSequence {
		o.numbered = place{length: len(o.text), hasText: o.hasText}
	}
}

// Discard gives up all that was received: the output of a failed run is not gone on with.
func (w Writer) Discard() {
	o := w.output
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.writer != w.number {
		return
	}
	o.text, o.hasText, o.received, o.numbered = nil, false, upstream.Sequence{}, place{}
	o.run, o.taken = o.runs.next(), 0
}

// Unrecorded is what a shard does not hold yet of an output.
type Unrecorded struct {
	output *Output
	until  mark
	events *rockwindpb.ReceivedEvents
}

// Unrecorded tells the events that the shard is not known to hold; some is false where it holds
// all of them. The first that is told of a run is its whole output, up to the last event with a
// number.
func (o *Output) Unrecorded() (unrecorded Unrecorded, some bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	until := mark{run: o.run, last: o.received.Last(), length: o.numbered.length}
	going := o.held.run == o.run
	told := o.taken
	if going {
		told = o.held.last
	}
	if until.last <= told {
		return Unrecorded{}, false
	}
	progress := &rockwindpb.ItemProgress{Run: o.run, Failures: o.failures, Last: until.last}
	events := &rockwindpb.ReceivedEvents{Progress: progress}
	from := 0
	if going {
		from = o.held.length
		events.After = proto.Uint64(o.held.last)
	}
	if o.numbered.hasText {
		progress.Text = append([]byte{}, o.text[from:until.length]...)
	}
	return Unrecorded{output: o, until: until, events: events}, true
}

// Events are those to record, without the item and the term.
func (u Unrecorded) Events() *rockwindpb.ReceivedEvents { return u.events }

// MarkRecorded notes that the shard holds the events.
func (u Unrecorded) MarkRecorded() { u.output.hold(u.until) }

// MarkLost notes that it is not known what the shard holds: all is told again.
func (u Unrecorded) MarkLost() { u.output.hold(mark{}) }

func (o *Output) hold(until mark) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.held = until
}
