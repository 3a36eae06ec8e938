package jobstore

import "slices"

// Sizes are the sizes of the contents of a shard's state, in bytes, without overhead.
type Sizes struct {
	// Bodies is the size of the bodies of items without a result, Results that of the texts of results, and
	// PartialOutputs that of the recorded outputs of items without a result.
	Bodies, Results, PartialOutputs int64
}

// Sizes returns the sizes of the contents of the state. It visits each item.
func (m *Machine) Sizes() Sizes {
	var sizes Sizes
	for _, j := range m.jobs {
		for _, item := range j.stored.GetItems() {
			sizes.Bodies += int64(len(item.GetBody()))
		}
		for _, result := range j.stored.GetResults() {
			sizes.Results += int64(len(result.GetText()))
		}
		for _, progress := range j.stored.GetProgress() {
			sizes.PartialOutputs += int64(cap(progress.GetText()))
		}
	}
	return sizes
}

// sharedBytes is the size from which bodies and results share memory with their command, which is in the log anyway
// when it is applied. Smaller ones are copied, so that few of them don't keep a whole command in memory.
const sharedBytes = 4 << 10

// countSharedBodies initializes the counters of a job whose bodies share memory with a command.
func (j *job) countSharedBodies() {
	for _, item := range j.stored.GetItems() {
		if size := len(item.GetBody()); size >= sharedBytes {
			j.sharedBytes += size
			j.openBytes += size
		}
	}
}

// dropBody removes the body of an item that has a result. Once less than half of the shared bodies is needed, the
// rest of them is copied, which releases the command: a job of 200 items would otherwise be in memory as a
// whole until its last item is done. Readers of the bodies keep the old copies.
func (j *job) dropBody(item uint32) {
	body := j.stored.GetItems()[item].GetBody()
	j.stored.Items[item].Body = nil
	if j.sharedBytes == 0 || len(body) < sharedBytes {
		return
	}
	j.openBytes -= len(body)
	if 2*j.openBytes > j.sharedBytes {
		return
	}
	j.sharedBytes, j.openBytes = 0, 0
	for _, open := range j.stored.GetItems() {
		if len(open.GetBody()) >= sharedBytes {
			open.Body = slices.Clone(open.GetBody())
		}
	}
}
