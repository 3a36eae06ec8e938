package placement

import (
	"cmp"
	"slices"
)

func sortBy[T any](list []T, compare func(a, b T) int) { slices.SortStableFunc(list, compare) }

// versionTargets splits a number of replicas by the weights of the versions:
// each gets at least one while there are enough, the rest by largest remainder.
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
	left := replicas
	least := 0
	if replicas >= len(versions) {
		least = 1
	}
	for _, version := range versions {
		exact := float64(replicas) * float64(version.Weight) / total
		targets[version.Name] = max(int(exact), least)
		left -= targets[version.Name]
		parts = append(parts, part{name: version.Name, remainder: exact - float64(targets[version.Name])})
	}
	sortBy(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.name, b.name))
	})
	for index := 0; left > 0; index = (index + 1) % len(parts) {
		targets[parts[index].name]++
		left--
	}
	for left < 0 {
		largest := slices.MaxFunc(parts, func(a, b part) int { return cmp.Compare(targets[a.name], targets[b.name]) })
		targets[largest.name]--
		left++
	}
	return targets
}

// missingVersion returns the active version that is furthest below its target
// once the model has one more replica.
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

// balanceVersions converts replicas of a model from versions above their target
// to versions below it.
func (d *draft) balanceVersions() {
	for _, model := range d.models {
		for d.convertOne(model) {
		}
	}
}

func (d *draft) convertOne(model *Model) bool {
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
	server, surplus := d.toConvert(model, missing, targets)
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

// toConvert finds a server with a version that the model has too often, in the
// zone where the missing version has the fewest replicas.
func (d *draft) toConvert(model *Model, missing *Version, targets map[string]int) (*Server, VersionName) {
	counts := d.tallies[model.Name]
	present := counts.version(missing.Name).zones
	var best *Server
	var victim VersionName
	for _, server := range d.servers {
		surplus, found := surplusOn(model, server, counts, targets)
		if !found || !d.idle(server, false) || holds(server, model.Name, missing.Name) || !d.canGive(model, server) {
			continue
		}
		if best == nil || present[server.Zone] < present[best.Zone] {
			best, victim = server, surplus
		}
	}
	return best, victim
}

// expand gives a model one more replica where its versions can't be balanced
// within its floor.
func (d *draft) expand(model *Model, missing *Version) bool {
	counts := d.tallies[model.Name]
	atFloor, _ := d.floor(model)
	if d.replicas(model) > atFloor || counts.version(missing.Name).servers > 0 {
		return false
	}
	chosen, found := d.takeServer(model, false, func(*Server) bool { return true })
	if !found {
		return false
	}
	d.load(model, chosen, ReasonWeights)
	return true
}

func (d *draft) mostMissing(active []Version, counts *tally, targets map[string]int) *Version {
	var found *Version
	for index := range active {
		lack := targets[active[index].Name] - counts.version(active[index].Name).servers
		if lack > 0 && (found == nil || lack > targets[found.Name]-counts.version(found.Name).servers) {
			found = &active[index]
		}
	}
	return found
}

// surplusOn returns a version on the server that the model has too often.
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
