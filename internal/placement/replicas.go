package placement

import "slices"

// servedBy tells whether a server answers for a model now: it holds a version that
// gets traffic.
func (m *Model) servedBy(server *Server) bool {
	return slices.ContainsFunc(server.Versions, func(version VersionName) bool { return m.isActive(version) })
}

// replicaOn tells whether a server holds or loads a version that gets traffic.
func (m *Model) replicaOn(server *Server) bool {
	return m.servedBy(server) ||
		slices.ContainsFunc(server.LoadingVersions, func(version VersionName) bool { return m.isActive(version) })
}

func (m *Model) isActive(version VersionName) bool {
	if version.Model != m.Name {
		return false
	}
	_, active := m.version(version.Version)
	return active
}

// tally counts the servers of a model, by zone and in all.
type tally struct {
	// replicas hold or load the model, serving ones answer for it now, and
	// eligible ones may hold it.
	replicas, serving, eligible zoneCount
	// versions counts the replicas of each active version.
	versions map[string]*zoneCount
}

// zoneCount counts servers by zone.
type zoneCount struct {
	servers int
	zones   map[string]int
}

func newTally() *tally {
	created := &tally{versions: make(map[string]*zoneCount)}
	for _, count := range []*zoneCount{&created.replicas, &created.serving, &created.eligible} {
		count.zones = make(map[string]int)
	}
	return created
}

// version returns the counts of a version.
func (t *tally) version(name string) *zoneCount {
	found := t.versions[name]
	if found == nil {
		found = &zoneCount{zones: make(map[string]int)}
		t.versions[name] = found
	}
	return found
}

func (c *zoneCount) add(zone string, by int) {
	c.servers += by
	c.zones[zone] += by
	if c.zones[zone] == 0 {
		delete(c.zones, zone)
	}
}

// without returns the servers and zones that are left without a server of a zone.
func (c *zoneCount) without(zone string) (servers, zones int) {
	zones = len(c.zones)
	if c.zones[zone] == 1 {
		zones--
	}
	return c.servers - 1, zones
}

// count adds a server to the tallies of its models, or takes it out.
func (d *draft) count(server *Server, by int) {
	for _, model := range d.models {
		counted := d.tallies[model.Name]
		if server.mayHold(model.Name) {
			counted.eligible.add(server.Zone, by)
		}
		if model.servedBy(server) {
			counted.serving.add(server.Zone, by)
		}
		if model.replicaOn(server) {
			counted.replicas.add(server.Zone, by)
		}
	}
	for _, version := range slices.Concat(server.Versions, server.LoadingVersions) {
		if counted := d.tallies[version.Model]; counted != nil && d.model(version.Model).isActive(version) {
			counted.version(version.Version).add(server.Zone, by)
		}
	}
}

// replicas returns how many servers hold or load the model.
func (d *draft) replicas(model *Model) int { return d.tallies[model.Name].replicas.servers }

// serving lists the servers that answer for the model now.
func (d *draft) serving(model *Model) []*Server {
	return d.where(model.servedBy)
}

func (d *draft) where(wanted func(*Server) bool) []*Server {
	var found []*Server
	for _, server := range d.servers {
		if wanted(server) {
			found = append(found, server)
		}
	}
	return found
}

// floor returns the replicas and zones that the model keeps, as far as the
// servers that may hold it allow.
func (d *draft) floor(model *Model) (replicas, zones int) {
	eligible := &d.tallies[model.Name].eligible
	replicas = min(d.policy.FloorReplicas, max(eligible.servers-1, 1))
	zones = min(d.policy.FloorZones, replicas, len(eligible.zones))
	return replicas, zones
}

// canGive tells whether a model keeps its floor when a server that answers for it
// no longer does.
func (d *draft) canGive(model *Model, server *Server) bool {
	if !model.servedBy(server) {
		return true
	}
	servers, zones := d.tallies[model.Name].serving.without(server.Zone)
	leastServers, leastZones := d.floor(model)
	return servers >= leastServers && zones >= leastZones
}

// pressure is the demand for each of a number of replicas.
func (m *Model) pressure(replicas int) float64 {
	return m.Demand / float64(max(replicas, 1))
}

func (d *draft) model(name string) *Model { return d.byName[name] }
