package placement

import (
	"cmp"
	"slices"
)

func sortBy[T any](list []T, compare func(a, b T) int) { slices.SortStableFunc(list, compare) }

// versionTargets divides a number of replicas among versions by weight. Each version gets at least
// one if there are enough; the rest is assigned by the largest remainder.
func versionTargets(versions []Version, replicas int) map[string]int {
	targets := make(map[string]int, len(versions))
	total := 0.0
	for _, version := range versions {
		total += float64(version.Weight)
	}
	type part struct {
		name      string
		remainder float64
	}
	var parts []part
	remaining := replicas
	minimum := 0
	if replicas >= len(versions) {
		minimum = 1
	}
	for _, version := range versions {
		exact := float64(replicas) * float64(version.Weight) / total
		targets[version.Name] = max(int(exact), minimum)
		remaining -= targets[version.Name]
		parts = append(parts, part{name: version.Name, remainder: exact - float64(targets[version.Name])})
	}
	sortBy(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.name, b.name))
	})
	for index := 0; remaining > 0; index = (index + 1) % len(parts) {
		targets[parts[index].name]++
		remaining--
	}
	for remaining < 0 {
		largest := slices.MaxFunc(parts, func(a, b part) int { return cmp.Compare(targets[a.name], targets[b.name]) })
		targets[largest.name]--
		remaining++
	}
	return targets
}

// missingVersion returns the active version that is furthest below its target, assuming one more
// replica of the model.
func (d *draft) missingVersion(model *Model) Version {
	active := model.active()
	counts := d.tallies[model.Name]
	targets := versionTargets(active, d.replicas(model)+1)
	return slices.MaxFunc(active, func(a, b Version) int {
		return cmp.Or(
			cmp.Compare(targets[a.Name]-counts.version(a.Name).servers, targets[b.Name]-counts.version(b.Name).servers),
			cmp.Compare(a.Weight, b.Weight),
			cmp.Compare(b.Name, a.Name),
		)
	})
}

// balanceVersions converts replicas from versions above their target to versions below it.
func (d *draft) balanceVersions() {
	for _, model := range d.models {
		for d.convertReplica(model) {
		}
	}
}

func (d *draft) convertReplica(model *Model) bool {
	active := model.active()
	if len(active) < 2 || !d.mayLoad() {
		return false
	}
	counts := d.tallies[model.Name]
	targets := versionTargets(active, d.replicas(model))
	missing := d.mostMissing(active, counts, targets)
	if missing == nil {
		return false
	}
	server, surplus := d.findConversion(model, missing, targets)
	if server == nil {
		return d.expand(model, missing)
	}
	load := Order{
		Action:  ActionLoadModel,
		Version: VersionName{Model: model.Name, Version: missing.Name}, WeightsID: missing.WeightsID,
	}
	d.order(server, ReasonWeights, Order{Action: ActionUnloadModel, Version: surplus}, load)
	return true
}

// findConversion returns a server with a version that has too many replicas, in the zone where the
// missing version has the fewest.
func (d *draft) findConversion(model *Model, missing *Version, targets map[string]int) (*Server, VersionName) {
	counts := d.tallies[model.Name]
	present := counts.version(missing.Name).zones
	var best *Server
	var victim VersionName
	for _, server := range d.servers {
		surplus, found := surplusOn(model, server, counts, targets)
		if !found || !d.idle(server, false) || holds(server, model.Name, missing.Name) || !d.canRelease(model, server) {
			continue
		}
		if best == nil || present[server.Zone] < present[best.Zone] {
			best, victim = server, surplus
		}
	}
	return best, victim
}

// expand gives a model one more replica if its versions can't be balanced without going below its
// minimum.
func (d *draft) expand(model *Model, missing *Version) bool {
	counts := d.tallies[model.Name]
	atFloor, _ := d.floor(model)
	if d.replicas(model) > atFloor || counts.version(missing.Name).servers > 0 {
		return false
	}
	chosen, found := d.chooseServer(model, false, func(*Server) bool { return true })
	if !found {
		return false
	}
	d.load(model, chosen, ReasonWeights)
	return true
}

func (d *draft) mostMissing(active []Version, counts *tally, targets map[string]int) *Version {
	var found *Version
	for index := range active {
		shortfall := targets[active[index].Name] - counts.version(active[index].Name).servers
		if shortfall > 0 && (found == nil || shortfall > targets[found.Name]-counts.version(found.Name).servers) {
			found = &active[index]
		}
	}
	return found
}

// surplusOn returns a version on the server that has too many replicas.
func surplusOn(model *Model, server *Server, counts *tally, targets map[string]int) (VersionName, bool) {
	for _, version := range server.Versions {
		if model.isActive(version) && counts.version(version.Version).servers > targets[version.Version] {
			return version, true
		}
	}
	return VersionName{}, false
}

func holds(server *Server, model, version string) bool {
	name := VersionName{Model: model, Version: version}
	return slices.Contains(server.Versions, name) || slices.Contains(server.LoadingVersions, name)
}
