package site

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Coordinators lists the internal addresses of the coordinators: the one that
// answered last, then the others from near to far, then the seeds. Those that failed
// to answer lately come last, the one that failed first before the others.
func (w *Watcher) Coordinators() []string {
	w.mutex.Lock()
	preferred := w.preferred
	w.mutex.Unlock()
	var distinct []string
	if preferred != "" {
		distinct = append(distinct, preferred)
	}
	for _, address := range slices.Concat(w.byDistance(), w.seeds()) {
		if !slices.Contains(distinct, address) {
			distinct = append(distinct, address)
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	failedAt := func(address string) int64 {
		if until := w.avoided[address]; until.After(now) {
			return until.UnixNano()
		}
		return 0
	}
	slices.SortStableFunc(distinct, func(a, b string) int { return cmp.Compare(failedAt(a), failedAt(b)) })
	return distinct
}

// byDistance lists the coordinators of the directory: those of this zone, then the
// others. Each process has the others in an order of its own, so that the watchers of
// a coordinator that is lost spread over those that remain.
func (w *Watcher) byDistance() []string {
	view := w.Directory()
	if view == nil {
		return nil
	}
	var near, far []string
	for _, machine := range view.Machines() {
		switch {
		case machine.GetRole() != rockwindpb.SiteRole_SITE_ROLE_COORDINATOR:
		case machine.GetZone() == w.settings.GetZone():
			near = append(near, machine.GetAddress())
		default:
			far = append(far, machine.GetAddress())
		}
	}
	w.sortByRank(near)
	w.sortByRank(far)
	return slices.Concat(near, far)
}

// seeds lists the coordinators of the settings in an order of this process's own: all
// processes of a site start with the same ones, and would all ask the first.
func (w *Watcher) seeds() []string {
	seeds := slices.Clone(w.settings.GetSeeds())
	w.sortByRank(seeds)
	return seeds
}

// sortByRank orders addresses differently in each process, and always alike in one.
func (w *Watcher) sortByRank(addresses []string) {
	rank := func(address string) uint64 { return xxhash.Sum64String(w.settings.GetName() + " " + address) }
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
}

// prefer notes the coordinator that answers, and tells whether it is another one
// than before.
func (w *Watcher) prefer(address string) (changed bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	changed = w.preferred != address
	w.preferred = address
	delete(w.avoided, address)
	return changed
}

// noteAsked notes which coordinator is asked for the configuration.
func (w *Watcher) noteAsked(address string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.asked = address
}

// asks tells whether a coordinator is the one that was asked for the configuration last.
func (w *Watcher) asks(address string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.asked == address
}

// preferNearest forgets which coordinator answered last: the nearest one comes first then.
func (w *Watcher) preferNearest() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.preferred = ""
}

// avoidance is how long a coordinator that did not answer comes after the others.
const avoidance = 10 * time.Second

// avoid notes that a coordinator did not answer.
func (w *Watcher) avoid(failed string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.avoided[failed] = time.Now().Add(avoidance)
	if w.preferred == failed {
		w.preferred = ""
	}
}

// readmit notes that a coordinator answers again.
func (w *Watcher) readmit(answering string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.avoided, answering)
}
