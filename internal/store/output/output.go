// Package output holds the output of an item that a shard's leader has received over all
// attempts, and tracks how much of it is recorded in the shard. The package does no I/O.
// Attempts add events concurrently with the leader, which collects unrecorded events.
//
// Invariant: at most one writer of an output can add events, the latest one. Canceled attempts
// cannot add to the output that the next attempt continues.
package output

import (
	"slices"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/streamversion"
	"rockwind.example/rockwind/internal/upstream"
)

// RunCounter numbers the runs of a shard's leader: sequences of events that are recorded as one
// continuous output. The zero value is ready for use.
type RunCounter struct{ last atomic.Uint64 }

func (r *RunCounter) next() uint64 { return r.last.Add(1) }

// Output is the received output of an item. Its methods are safe for concurrent use.
type Output struct {
	mutex sync.Mutex
	runs  *RunCounter
	// run is the number of the current run. A new one starts with each leader and after each
	// failed attempt.
	run uint64
	// activeWriter is the number of the writer that may add events, or zero.
	activeWriter uint64
	// writerCount is the number of writers created so far.
	writerCount uint64
	failures    uint32
	// version is the software version of the servers that sent the numbered events, if versionKnown.
	version      string
	versionKnown bool
	text         []byte
	hasText      bool
	received     upstream.EventDeduplicator
	// lastNumbered is the end of the text after the last numbered event. Unnumbered events
	// after it are sent again to the next attempt, since servers resume after a number.
	lastNumbered textEnd
	// recorded is the position up to which the shard holds the run, and inherited the last
	// event that was recorded before the output was created.
	recorded  position
	inherited uint64
}

// textEnd is an offset in a text; hasText reports whether any event before it had data.
type textEnd struct {
	length  int
	hasText bool
}

// position is an offset in the output of a run, after the numbered event last.
type position struct {
	run    uint64
	last   uint64
	length int
}

// New returns the output of an item, given the part that is already recorded.
func New(runs *RunCounter, partial jobstore.PartialOutput) *Output {
	created := &Output{runs: runs, run: runs.next()}
	text, hasText := partial.Text()
	created.text, created.hasText = slices.Clone(text), hasText
	created.lastNumbered = textEnd{length: len(text), hasText: hasText}
	if last, known := partial.LastEvent(); known {
		created.received.Accept(upstream.Event{Sequence: last, HasSequence: true})
		created.inherited = last
		created.version, created.versionKnown = partial.Version()
	}
	return created
}

// Origin returns what is known of the servers that sent the received events; begun is false if no numbered one was
// received, so that the next attempt begins anew.
func (o *Output) Origin() (origin streamversion.Origin, begun bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return streamversion.Origin{Known: o.versionKnown, Version: o.version}, o.received.String() != ""
}

// Restart discards the received output, so that the next attempt begins anew. The current writer can add nothing more.
func (o *Output) Restart() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.activeWriter = 0
	o.discard()
}

// LastEvent returns the number of the last received event, or zero.
func (o *Output) LastEvent() uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.received.Last()
}

// Text returns the data of all events, separated by line feeds.
func (o *Output) Text() []byte {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.text)
}

// NewWriter returns the writer of the next attempt and revokes the previous one. The argument
// is the item's number of failed attempts. If it has changed since the last attempt began, the
// shard has ignored records with the old number, so a new run starts and the whole output is
// recorded again.
func (o *Output) NewWriter(failures int) Writer { return o.NewWriterAt(failures, "") }

// NewWriterAt is NewWriter for an attempt at a server of the given software version.
func (o *Output) NewWriterAt(failures int, version string) Writer {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.writerCount > 0 && uint32(failures) != o.failures {
		o.run, o.inherited = o.runs.next(), 0
	}
	o.writerCount++
	o.activeWriter, o.failures = o.writerCount, uint32(failures)
	o.text, o.hasText = o.text[:o.lastNumbered.length], o.lastNumbered.hasText
	return Writer{output: o, number: o.activeWriter, version: version}
}

// RevokeWriter stops the current writer from adding events.
func (o *Output) RevokeWriter() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.activeWriter = 0
}

// Writer adds the events that one attempt receives.
type Writer struct {
	output  *Output
	number  uint64
	version string
}

// ResumeAfter returns the number of the event after which the server should resume, or an empty
// string.
func (w Writer) ResumeAfter() string {
	w.output.mutex.Lock()
	defer w.output.mutex.Unlock()
	return w.output.received.String()
}

// Add adds complete events. Events that were received before are ignored.
func (w Writer) Add(events []upstream.Event) {
	o := w.output
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.activeWriter != w.number {
		return
	}
	for _, event := range events {
		if o.received.Accept(event) {
			if event.HasSequence && !o.versionKnown {
				o.version, o.versionKnown = w.version, true
			}
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
		o.lastNumbered = textEnd{length: len(o.text), hasText: o.hasText}
	}
}

// Discard deletes the received output after a failed run.
func (w Writer) Discard() {
	o := w.output
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.activeWriter != w.number {
		return
	}
	o.discard()
}

// discard deletes the received output and begins a new run. The mutex must be held.
func (o *Output) discard() {
	o.text, o.hasText, o.received, o.lastNumbered = nil, false, upstream.EventDeduplicator{}, textEnd{}
	o.version, o.versionKnown = "", false
	o.run, o.inherited = o.runs.next(), 0
}

// Unrecorded is a part of an output that is not recorded in the shard.
type Unrecorded struct {
	output *Output
	end    position
	events *rockwindpb.ReceivedEvents
}

// Unrecorded returns the events that are not known to be recorded; found is false if there are
// none. The first record of a run contains the whole output, up to the last numbered event.
func (o *Output) Unrecorded() (unrecorded Unrecorded, found bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	end := position{run: o.run, last: o.received.Last(), length: o.lastNumbered.length}
	sameRun := o.recorded.run == o.run
	recordedLast := o.inherited
	if sameRun {
		recordedLast = o.recorded.last
	}
	if end.last <= recordedLast {
		return Unrecorded{}, false
	}
	progress := &rockwindpb.ItemProgress{Run: o.run, Failures: o.failures, Last: end.last}
	events := &rockwindpb.ReceivedEvents{Progress: progress}
	from := 0
	if sameRun {
		from = o.recorded.length
		events.After = proto.Uint64(o.recorded.last)
	}
	if o.versionKnown {
		progress.Version = proto.String(o.version)
	}
	if o.lastNumbered.hasText {
		progress.Text = append([]byte{}, o.text[from:end.length]...)
	}
	return Unrecorded{output: o, end: end, events: events}, true
}

// Events returns the events to record. The caller sets the item and the term.
func (u Unrecorded) Events() *rockwindpb.ReceivedEvents { return u.events }

// MarkRecorded marks the events as recorded.
func (u Unrecorded) MarkRecorded() { u.output.setRecorded(u.end) }

// MarkLost marks the recorded state as unknown, so the whole output is recorded again.
func (u Unrecorded) MarkLost() { u.output.setRecorded(position{}) }

func (o *Output) setRecorded(end position) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.recorded = end
}
