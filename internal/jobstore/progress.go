package jobstore

import (
	"cmp"
	"slices"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// PartialOutput is what a shard holds of the output of an item without a result: its first events.
// The zero value is nothing.
type PartialOutput struct {
	known   bool
	last    uint64
	text    []byte
	hasText bool
}

// LastEvent is the number of the last event that is held; known is false where none is.
func (r PartialOutput) LastEvent() (last uint64, known bool) { return r.last, r.known }

// Text is the data of the events, separated by line feeds; found is false where none had any.
// It must not be changed.
func (r PartialOutput) Text() (text []byte, found bool) { return r.text, r.hasText }

// received is what is held of an item. The state may go on while the result is in use: it
// appends to the text and does not change what it has.
func (j *job) received(item uint32) PartialOutput {
	place, found := j.progressOf(item)
	if !found {
		return PartialOutput{}
	}
	held := j.stored.GetProgress()[place]
	return PartialOutput{known: true, last: held.GetLast(), text: slices.Clip(held.GetText()), hasText: held.Text != nil}
}

// progressOf finds the place of an item's progress, or where it would be.
func (j *job) progressOf(item uint32) (place int, found bool) {
	return slices.BinarySearchFunc(j.stored.GetProgress(), item, func(each *rockwindpb.ItemProgress, wanted uint32) int {
		return cmp.Compare(each.GetItem(), wanted)
	})
}

func (j *job) dropProgress(item uint32) {
	if place, found := j.progressOf(item); found {
		j.stored.Progress = slices.Delete(j.stored.GetProgress(), place, place+1)
	}
}

// wants tells whether progress of an item still counts: the item may run, and no try failed
// after the run.
func (j *job) wants(progress *rockwindpb.ItemProgress) bool {
	item := progress.GetItem()
	return !j.stored.GetEnded() && int(item) < len(j.position) && j.position[item] == 0 &&
		progress.GetFailures() >= j.failuresOf(item).GetCount()
}

// cleanProgress drops what does not count in a job that was read. A version that does not know
// progress keeps it beside the results that it records.
func (j *job) cleanProgress() {
	j.stored.Progress = slices.DeleteFunc(j.stored.GetProgress(), func(each *rockwindpb.ItemProgress) bool { return !j.wants(each) })
}

// progress notes what was received of the outputs of items.
func (m *Machine) progress(recorded *rockwindpb.RecordProgress) {
	for _, of := range recorded.GetJobs() {
		known, found := m.jobs[of.GetJob()]
		if !found {
			continue
		}
		for _, received := range of.GetItems() {
			known.receive(received)
		}
	}
}

// receive notes events of an item's output. Those of one run follow each other without a gap.
// A later run replaces what an earlier one left, once it tells its whole output; so replicas
// that hold different progress, since one of them did not know of it, hold the same again.
func (j *job) receive(received *rockwindpb.ReceivedEvents) {
	given := received.GetProgress()
	if given == nil || !j.wants(given) {
		return
	}
	whole := received.After == nil
	place, found := j.progressOf(given.GetItem())
	if !found {
		if whole {
			j.stored.Progress = slices.Insert(j.stored.GetProgress(), place, given)
		}
		return
	}
	held := j.stored.GetProgress()[place]
	order := compareRuns(given, held)
	further := given.GetLast() > held.GetLast()
	switch {
	case whole && (order > 0 || order == 0 && further):
		j.stored.Progress[place] = given
	case !whole && order == 0 && further && received.GetAfter() == held.GetLast():
		extend(held, given)
	}
}

// extend adds the events that follow.
func extend(held, given *rockwindpb.ItemProgress) {
	held.Last = given.GetLast()
	if given.Text == nil {
		return
	}
	if held.Text == nil {
		held.Text = []byte{}
	}
	held.Text = append(held.Text, given.GetText()...)
}

// compareRuns orders runs of an item by the time when they were begun.
func compareRuns(a, b *rockwindpb.ItemProgress) int {
	return cmp.Or(cmp.Compare(a.GetTerm(), b.GetTerm()), cmp.Compare(a.GetRun(), b.GetRun()))
}
