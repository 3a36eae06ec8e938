package site

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// Coordinators lists the internal addresses of the coordinators in the order in which they are
// tried: the one that answered last, the others by distance, then the seeds. Those that recently
// failed to answer come last, in the order of their failures.
func (w *Watcher) Coordinators() []string {
	w.mutex.Lock()
	preferred := w.preferred
	w.mutex.Unlock()
	var addresses []string
	if preferred != "" {
		addresses = append(addresses, preferred)
	}
	for _, address := range slices.Concat(w.byDistance(), w.seeds()) {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	avoidedUntil := func(address string) int64 {
		if until := w.avoidedUntil[address]; until.After(now) {
			return until.UnixNano()
		}
		return 0
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(avoidedUntil(a), avoidedUntil(b)) })
	return addresses
}

// byDistance lists the coordinators of the directory: those of this zone, then those of this region,
// then the others. The order within each part depends on the process, so that the watchers of a failed
// coordinator are spread over the others.
func (w *Watcher) byDistance() []string {
	view := w.Directory()
	if view == nil {
		return nil
	}
	coordinators := make(map[topology.Distance][]string)
	for _, machine := range view.Machines() {
		if machine.GetRole() == rockwindpb.SiteRole_SITE_ROLE_COORDINATOR {
			distance := w.topology.Distance(w.settings.GetZone(), machine.GetZone())
			coordinators[distance] = append(coordinators[distance], machine.GetAddress())
		}
	}
	var addresses []string
	for _, distance := range topology.Distances() {
		w.sortByRank(coordinators[distance])
		addresses = append(addresses, coordinators[distance]...)
	}
	return addresses
}

// seeds lists the seed coordinators of the settings in an order that depends on the process,
// because all processes of a site have the same seeds.
func (w *Watcher) seeds() []string {
	seeds := slices.Clone(w.settings.GetSeeds())
	w.sortByRank(seeds)
	return seeds
}

// sortByRank sorts addresses in a stable order that depends on the process.
func (w *Watcher) sortByRank(addresses []string) {
	rank := func(address string) uint64 { return xxhash.Sum64String(w.settings.GetName() + " " + address) }
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
}

// setPreferred records the coordinator that answered last, and reports whether it changed.
func (w *Watcher) setPreferred(address string) (changed bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	changed = w.preferred != address
	w.preferred = address
	delete(w.avoidedUntil, address)
	return changed
}

// clearPreferred clears the coordinator that answered last, so that the nearest one comes first.
func (w *Watcher) clearPreferred() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.preferred = ""
}

// avoidDuration is how long a coordinator that did not answer is tried after the others.
const avoidDuration = 10 * time.Second

// avoid records that a coordinator did not answer.
func (w *Watcher) avoid(address string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.avoidedUntil[address] = time.Now().Add(avoidDuration)
	if w.preferred == address {
		w.preferred = ""
	}
}

// clearAvoided records that a coordinator answers again.
func (w *Watcher) clearAvoided(address string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.avoidedUntil, address)
}
