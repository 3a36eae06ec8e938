package balance

// Has reports whether a server is a member.
func (p *Pool) Has(id string) bool { return p.place(id) >= 0 }

// HasVersion reports whether any member has a software version.
func (p *Pool) HasVersion(version string) bool { return p.versions[version] > 0 }

// Versions returns the number of members of each software version. The caller must not modify it.
func (p *Pool) Versions() map[string]int { return p.versions }

// countVersion adds to the number of members of a version.
func (p *Pool) countVersion(version string, change int) {
	if p.versions[version] += change; p.versions[version] == 0 {
		delete(p.versions, version)
	}
}
