package configuration

import (
	"net/netip"

	"rockwind.example/rockwind/internal/rockwindpb"
)

func (c *checker) checkModels() {
	names := c.newNameChecker("model")
	for i, model := range c.configuration.GetModels() {
		path := []Step{element("models", i)}
		names.check(model.GetName(), c.at(path, field("name")))
		if len(model.GetVersions()) == 0 {
			c.problems.addf(c.at(path, field("versions")), "add at least one version with a weight",
				"model %q has no version", abbreviate(model.GetName()))
		}
		c.checkVersions(model.GetVersions(), path)
		adapters := c.newNameChecker("adapter")
		for j, adapter := range model.GetAdapters() {
			adapters.check(adapter, c.at(path, element("adapters", j)))
		}
	}
}

func (c *checker) checkServices() {
	names := c.newNameChecker("service")
	for i, service := range c.configuration.GetServices() {
		path := []Step{element("services", i)}
		names.check(service.GetName(), c.at(path, field("name")))
		if service.GetGroup() != "" {
			c.checkGroupName("the service", service.GetGroup(), c.at(path, field("group")))
		}
		c.checkVersions(service.GetVersions(), path)
		c.checkDuration(service.GetTimeout(), c.at(path, field("timeout")), "the timeout")
	}
}

func (c *checker) checkVersions(versions []*rockwindpb.Version, path []Step) {
	names := c.newNameChecker("version")
	total := uint64(0)
	for i, version := range versions {
		below := append(path[:len(path):len(path)], element("versions", i))
		names.check(version.GetName(), c.at(below, field("name")))
		if version.GetWeight() > maximumWeight {
			c.problems.addf(c.at(below, field("weight")), "write a weight of at most 1000000", "the weight is %d", version.GetWeight())
		}
		total += uint64(version.GetWeight())
	}
	if len(versions) > 0 && total == 0 {
		c.problems.add(c.at(path, field("versions")), "all versions have weight 0, so that none would get traffic",
			"give at least one version a weight above 0")
	}
}

func (c *checker) checkBackEnds() {
	names := c.newNameChecker("back end")
	owners := make(map[netip.AddrPort]string)
	for i, backEnd := range c.configuration.GetBackEnds() {
		path := []Step{element("back_ends", i)}
		names.check(backEnd.GetName(), c.at(path, field("name")))
		c.checkAddress(backEnd, c.at(path, field("address")), owners)
		if problem := nameProblem(backEnd.GetZone()); problem != "" {
			c.problems.addf(c.at(path, field("zone")), "name the zone that the machine stands in",
				"the zone of back end %q %s", abbreviate(backEnd.GetName()), problem)
		}
		c.checkServes(backEnd, path)
	}
}

func (c *checker) checkAddress(backEnd *rockwindpb.BackEnd, at Position, owners map[netip.AddrPort]string) {
	address, err := netip.ParseAddrPort(backEnd.GetAddress())
	unusable := err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast()
	if unusable {
		c.problems.addf(at, "write an IP number and a port, for example 10.0.0.1:8000 or [fd00::1]:8000",
			"the address %q of back end %q cannot be used", abbreviate(backEnd.GetAddress()), abbreviate(backEnd.GetName()))
		return
	}
	canonical := netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	if owner, taken := owners[canonical]; taken {
		c.problems.addf(at, "give each back end an address of its own", "back end %q has this address already", abbreviate(owner))
		return
	}
	owners[canonical] = backEnd.GetName()
}

func (c *checker) checkServes(backEnd *rockwindpb.BackEnd, path []Step) {
	switch backEnd.GetKind() {
	case rockwindpb.BackEndKind_BACK_END_KIND_ENGINE:
		c.checkEngine(backEnd, path)
	case rockwindpb.BackEndKind_BACK_END_KIND_SERVICE:
		c.checkInstance(backEnd, path)
	default:
		c.problems.addf(c.at(path, field("kind")), "set 'kind' to engine or service",
			"back end %q has no known kind", abbreviate(backEnd.GetName()))
	}
}

func (c *checker) checkEngine(backEnd *rockwindpb.BackEnd, path []Step) {
	if len(backEnd.GetServes()) == 0 {
		c.problems.addf(c.at(path, field("serves")), "list the models that it may hold",
			"engine %q serves nothing", abbreviate(backEnd.GetName()))
	}
	if backEnd.GetVersion() != "" {
		c.problems.addf(c.at(path, field("version")), "remove it; versions of models are given by the model",
			"engine %q has a service version", abbreviate(backEnd.GetName()))
	}
	seen := make(map[string]bool)
	for i, name := range backEnd.GetServes() {
		at := c.at(path, element("serves", i))
		switch {
		case c.models[name] == nil:
			c.problems.addf(at, "add the model, or name one that the file has", "the engine serves model %q, which does not exist", abbreviate(name))
		case seen[name]:
			c.problems.addf(at, "remove it", "model %q is listed twice", abbreviate(name))
		}
		seen[name] = true
	}
}

func (c *checker) checkInstance(backEnd *rockwindpb.BackEnd, path []Step) {
	if len(backEnd.GetServes()) != 1 {
		c.problems.addf(c.at(path, field("serves")), "list the one service that runs there",
			"the service instance %q serves %d services", abbreviate(backEnd.GetName()), len(backEnd.GetServes()))
		return
	}
	name := backEnd.GetServes()[0]
	service := c.services[name]
	if service == nil {
		c.problems.addf(c.at(path, element("serves", 0)), "add the service, or name one that the file has",
			"the back end serves service %q, which does not exist", abbreviate(name))
		return
	}
	if !hasVersion(service, backEnd.GetVersion()) {
		c.problems.addf(c.at(path, field("version")), "name one of the service's versions",
			"service %q has no version %q", abbreviate(name), abbreviate(backEnd.GetVersion()))
	}
}

// hasVersion reports whether an instance may have the version. The instances of a
// service without versions have none.
func hasVersion(service *rockwindpb.Service, name string) bool {
	if len(service.GetVersions()) == 0 {
		return name == ""
	}
	for _, version := range service.GetVersions() {
		if version.GetName() == name {
			return true
		}
	}
	return false
}
