package ledger

import (
	"slices"
	"sort"
	"strings"
)

// waitingJobs is the index of jobs with waiting items: for each group, the jobs in the
// order in which they are served.
type waitingJobs map[string][]*job

// update adds a job to the index if it has waiting items, and removes it otherwise.
func (w waitingJobs) update(changed *job) {
	wanted := changed.waiting > 0
	if wanted == changed.queued {
		return
	}
	changed.queued = wanted
	group := changed.definition.Group
	queue := w[group]
	position := sort.Search(len(queue), func(i int) bool { return !before(queue[i], changed) })
	if wanted {
		w[group] = slices.Insert(queue, position, changed)
		return
	}
	w[group] = slices.Delete(queue, position, position+1)
	if len(w[group]) == 0 {
		delete(w, group)
	}
}

// before defines the total order of jobs: by earlierDeadline, then by identifier.
func before(left, right *job) bool {
	if earlierDeadline(left.definition, right.definition) {
		return true
	}
	if earlierDeadline(right.definition, left.definition) {
		return false
	}
	return left.definition.Id < right.definition.Id
}

// groups returns the names of the allowed groups with waiting items; an empty filter
// allows all. The names are sorted and rotated to start after last, for round-robin.
func (w waitingJobs) groups(allowed []string, last string) []string {
	names := make([]string, 0, len(w))
	for name := range w {
		if len(allowed) == 0 || slices.Contains(allowed, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	start := sort.Search(len(names), func(i int) bool { return names[i] > last })
	return append(names[start:len(names):len(names)], names[:start]...)
}

// first returns the first job of a group that one of the models can serve, or nil.
func (w waitingJobs) first(group string, models []string) *job {
	for _, candidate := range w[group] {
		if serves(models, candidate.definition.Model) {
			return candidate
		}
	}
	return nil
}

// serves reports whether backends with the given models can run a job for model, which
// may have the form "model:adapter".
func serves(models []string, model string) bool {
	base, _, _ := strings.Cut(model, ":")
	return slices.Contains(models, model) || slices.Contains(models, base)
}
