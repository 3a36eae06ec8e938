package ledger

import (
	"slices"
	"sort"
	"strings"
)

// waitingJobs indexes the jobs with waiting items by group, each group in the
// order of granting.
type waitingJobs map[string][]*job

// update puts a job into the index or takes it out, as its items demand.
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

// before is the total order of jobs: earlierDeadline, then identifiers.
func before(left, right *job) bool {
	if earlierDeadline(left.definition, right.definition) {
		return true
	}
	if earlierDeadline(right.definition, left.definition) {
		return false
	}
	return left.definition.Id < right.definition.Id
}

// groups returns the groups with waiting items that the filter allows, sorted
// and rotated such that the one after last comes first.
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

// first returns the first job of a group that one of the models serves.
func (w waitingJobs) first(group string, models []string) *job {
	for _, candidate := range w[group] {
		if serves(models, candidate.definition.Model) {
			return candidate
		}
	}
	return nil
}

// serves tells whether back ends for the models can run a job that names model,
// which may be "model:adapter".
func serves(models []string, model string) bool {
	base, _, _ := strings.Cut(model, ":")
	return slices.Contains(models, model) || slices.Contains(models, base)
}
