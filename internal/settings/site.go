package settings

import (
	"net/netip"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// LoadSite returns the validated settings of a coordinator, router or store; see
// LoadGateway.
func LoadSite(path string, overrides []string) (*rockwindpb.SiteSettings, error) {
	result := &rockwindpb.SiteSettings{}
	loader, err := load(path, overrides, result)
	if err != nil {
		return nil, err
	}
	loader.checkSite(result)
	if err := loader.problemsError(); err != nil {
		return nil, err
	}
	return result, nil
}

func (l *loader) checkSite(settings *rockwindpb.SiteSettings) {
	l.checkNotEmpty(fieldPath{"name"}, settings.GetName(), "give each machine a name of its own")
	l.checkNotEmpty(fieldPath{"zone"}, settings.GetZone(), "name the zone that the machine stands in")
	if len(settings.GetSeeds()) == 0 {
		l.add(fieldPath{"seeds"}, "no seed is given", "list the internal addresses of some coordinators")
	}
	for _, seed := range settings.GetSeeds() {
		if address, err := netip.ParseAddrPort(seed); err != nil || address.Port() == 0 {
			l.add(fieldPath{"seeds"}, "the seed "+seed+" cannot be used", addressRemedy)
		}
	}
	for _, name := range settings.GetSwitchedOff() {
		if err := featuregate.Check(name); err != nil {
			l.add(fieldPath{"switched_off"}, fault.From(err).Message, fault.From(err).Remedy)
		}
	}
	if settings.GetAdvertise() != "" {
		l.checkAddress(fieldPath{"advertise"}, settings.GetAdvertise())
	}
	switch settings.GetRole() {
	case rockwindpb.SiteRole_SITE_ROLE_COORDINATOR:
		l.checkAddress(fieldPath{"internal_listen"}, settings.GetInternalListen())
		l.checkNotEmpty(fieldPath{"data_folder"}, settings.GetDataFolder(), "name a folder for the daemon's files")
	case rockwindpb.SiteRole_SITE_ROLE_STORE:
		l.checkAddress(fieldPath{"internal_listen"}, settings.GetInternalListen())
		l.checkNotEmpty(fieldPath{"data_folder"}, settings.GetDataFolder(), "name a folder for the daemon's files")
	case rockwindpb.SiteRole_SITE_ROLE_ROUTER:
		l.checkAddress(fieldPath{"listen"}, settings.GetListen())
		l.checkAddress(fieldPath{"ready_listen"}, settings.GetReadyListen())
	default:
		l.add(fieldPath{"role"}, "the role is missing", "write coordinator, router or store")
	}
}
