package placement

import "slices"

// servedBy reports whether a server has loaded a version of the model with traffic.
func (m *Model) servedBy(server *Server) bool {
	return slices.ContainsFunc(server.Versions, func(version VersionName) bool { return m.isActive(version) })
}

// replicaOn reports whether a server has loaded or is loading a version of the model with traffic.
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

// tally counts the servers of a model.
type tally struct {
	// replicas counts the servers that have loaded or are loading the model, serving those that
	// serve it now, and eligible those that are allowed to hold it.
	replicas, serving, eligible zoneCount
	// versions counts the replicas by active version.
	versions map[string]*zoneCount
}

// zoneCount counts servers in total and by zone.
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

func (t *tally) version(name string) *zoneCount {
	found := t.versions[name]
	if found == nil {
		found = &zoneCount{zones: make(map[string]int)}
		t.versions[name] = found
	}
	return found
}

func (c *zoneCount) add(zone string, delta int) {
	c.servers += delta
	c.zones[zone] += delta
	if c.zones[zone] == 0 {
		delete(c.zones, zone)
	}
}

// without returns the numbers of servers and zones without one server of a zone.
func (c *zoneCount) without(zone string) (servers, zones int) {
	zones = len(c.zones)
	if c.zones[zone] == 1 {
		zones--
	}
	return c.servers - 1, zones
}

// count adds delta to the tallies of the models on a server.
func (d *draft) count(server *Server, delta int) {
	for _, model := range d.models {
		counted := d.tallies[model.Name]
		if server.mayHold(model.Name) {
			counted.eligible.add(server.Zone, delta)
		}
		if model.servedBy(server) {
			counted.serving.add(server.Zone, delta)
		}
		if model.replicaOn(server) {
			counted.replicas.add(server.Zone, delta)
		}
	}
	for _, version := range slices.Concat(server.Versions, server.LoadingVersions) {
		if counted := d.tallies[version.Model]; counted != nil && d.model(version.Model).isActive(version) {
			counted.version(version.Version).add(server.Zone, delta)
		}
	}
}

// replicas returns the number of servers that have loaded or are loading the model.
func (d *draft) replicas(model *Model) int { return d.tallies[model.Name].replicas.servers }

// serving returns the servers that serve the model now.
func (d *draft) serving(model *Model) []*Server {
	return d.filterServers(model.servedBy)
}

func (d *draft) filterServers(accept func(*Server) bool) []*Server {
	var found []*Server
	for _, server := range d.servers {
		if accept(server) {
			found = append(found, server)
		}
	}
	return found
}

// floor returns the minimum numbers of replicas and zones for the model, limited by the servers
// that may hold it.
func (d *draft) floor(model *Model) (replicas, zones int) {
	eligible := &d.tallies[model.Name].eligible
	replicas = min(d.policy.FloorReplicas, max(eligible.servers-1, 1))
	zones = min(d.policy.FloorZones, replicas, len(eligible.zones))
	return replicas, zones
}

// canRelease reports whether the model keeps its minimum if a server stops serving it.
func (d *draft) canRelease(model *Model, server *Server) bool {
	if !model.servedBy(server) {
		return true
	}
	servers, zones := d.tallies[model.Name].serving.without(server.Zone)
	minimumServers, minimumZones := d.floor(model)
	return servers >= minimumServers && zones >= minimumZones
}

// pressure returns the demand per replica for a number of replicas.
func (m *Model) pressure(replicas int) float64 {
	return m.Demand / float64(max(replicas, 1))
}

func (d *draft) model(name string) *Model { return d.byName[name] }
