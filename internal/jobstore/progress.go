package jobstore

import (
	"cmp"
	"slices"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// PartialOutput is the recorded beginning of the output of an item without a result. The zero
// value is empty.
type PartialOutput struct {
	hasEvents bool
	last      uint64
	text      []byte
	hasText   bool
	// version is nil if it is not known.
	version *string
}

// LastEvent returns the number of the last recorded event; found is false if there is none.
func (r PartialOutput) LastEvent() (last uint64, found bool) { return r.last, r.hasEvents }

// Text returns the data of the events, separated by line feeds; found is false if no event had
// data. The caller must not modify it.
func (r PartialOutput) Text() (text []byte, found bool) { return r.text, r.hasText }

// Version returns the software version of the servers that sent the events; known is false if it was
// not recorded.
func (r PartialOutput) Version() (version string, known bool) {
	if r.version == nil {
		return "", false
	}
	return *r.version, true
}

// partialOutput returns the recorded output of an item. The result stays valid while the state
// changes, since recorded text is only appended to.
func (j *job) partialOutput(item uint32) PartialOutput {
	index, found := j.findProgress(item)
	if !found {
		return PartialOutput{}
	}
	current := j.stored.GetProgress()[index]
	return PartialOutput{hasEvents: true, last: current.GetLast(), text: slices.Clip(current.GetText()), hasText: current.Text != nil, version: current.Version}
}

// findProgress returns the index of an item's progress, or the index to insert it at.
func (j *job) findProgress(item uint32) (index int, found bool) {
	return slices.BinarySearchFunc(j.stored.GetProgress(), item, func(p *rockwindpb.ItemProgress, wanted uint32) int {
		return cmp.Compare(p.GetItem(), wanted)
	})
}

func (j *job) dropProgress(item uint32) {
	if index, found := j.findProgress(item); found {
		j.stored.Progress = slices.Delete(j.stored.GetProgress(), index, index+1)
	}
}

// acceptsProgress reports whether progress of an item is still relevant: the item may run, and
// no attempt has failed since the progress was made.
func (j *job) acceptsProgress(progress *rockwindpb.ItemProgress) bool {
	item := progress.GetItem()
	return !j.stored.GetEnded() && int(item) < len(j.resultNumber) && j.resultNumber[item] == 0 &&
		progress.GetFailures() >= j.failuresOf(item).GetCount()
}

// dropStaleProgress removes irrelevant progress after decoding a job. A replica of a version
// without progress records keeps it next to the results that it applies.
func (j *job) dropStaleProgress() {
	j.stored.Progress = slices.DeleteFunc(j.stored.GetProgress(), func(p *rockwindpb.ItemProgress) bool { return !j.acceptsProgress(p) })
}

// addProgress adds received events of items.
func (m *Machine) addProgress(recorded *rockwindpb.RecordProgress) {
	for _, jobProgress := range recorded.GetJobs() {
		j, found := m.jobHere(jobProgress.GetJob())
		if !found {
			continue
		}
		j.changed()
		for _, received := range jobProgress.GetItems() {
			j.addEvents(received)
		}
	}
}

// addEvents adds events of an item's output. The events of one run must follow each other
// without a gap. The complete output of a later run replaces that of an earlier one. Replicas
// whose progress differs, because one runs a version without progress records, agree again
// after that.
func (j *job) addEvents(received *rockwindpb.ReceivedEvents) {
	next := received.GetProgress()
	if next == nil || !j.acceptsProgress(next) {
		return
	}
	complete := received.After == nil
	index, found := j.findProgress(next.GetItem())
	if !found {
		if complete {
			ownText(next)
			j.stored.Progress = slices.Insert(j.stored.GetProgress(), index, next)
		}
		return
	}
	current := j.stored.GetProgress()[index]
	order := compareRuns(next, current)
	newer := next.GetLast() > current.GetLast()
	switch {
	case complete && (order > 0 || order == 0 && newer):
		ownText(next)
		j.stored.Progress[index] = next
	case !complete && order == 0 && newer && received.GetAfter() == current.GetLast():
		appendEvents(current, next)
	}
}

// ownText copies a large text. Text that shares memory with its command would keep the progress of the other
// items of the command in memory.
func ownText(progress *rockwindpb.ItemProgress) {
	if len(progress.GetText()) >= sharedBytes {
		progress.Text = slices.Clone(progress.GetText())
	}
}

func appendEvents(current, next *rockwindpb.ItemProgress) {
	current.Last = next.GetLast()
	if next.Text == nil {
		return
	}
	if current.Text == nil {
		current.Text = []byte{}
	}
	current.Text = append(current.Text, next.GetText()...)
}

// compareRuns orders runs of an item by the time they started.
func compareRuns(a, b *rockwindpb.ItemProgress) int {
	return cmp.Or(cmp.Compare(a.GetTerm(), b.GetTerm()), cmp.Compare(a.GetRun(), b.GetRun()))
}
