package settings

import (
	"fmt"
	"net/netip"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Bounds of gc_percent. Below the lower bound, collections take most of the processor time of a loaded store.
const (
	minGCPercent = 20
	maxGCPercent = 400
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
	l.checkZoneRegions(settings)
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
	if percent := settings.GetGcPercent(); percent != 0 && (percent < minGCPercent || percent > maxGCPercent) {
		l.add(fieldPath{"gc_percent"}, fmt.Sprintf("the percentage %d is not from %d to %d", percent, minGCPercent, maxGCPercent),
			fmt.Sprintf("leave it out, or write a number from %d to %d", minGCPercent, maxGCPercent))
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

// checkZoneRegions reports zones that are listed twice or without a region. If any zone is listed, the zone of
// the machine itself must be listed.
func (l *loader) checkZoneRegions(settings *rockwindpb.SiteSettings) {
	regions := make(map[string]string)
	for _, entry := range settings.GetZoneRegions() {
		if entry.GetZone() == "" || entry.GetRegion() == "" {
			l.add(fieldPath{"zone_regions"}, "an entry has no zone or no region", "give each entry a zone and its region")
			continue
		}
		if _, listed := regions[entry.GetZone()]; listed {
			l.add(fieldPath{"zone_regions"}, "the zone "+entry.GetZone()+" is listed twice", "list each zone once")
		}
		regions[entry.GetZone()] = entry.GetRegion()
	}
	if _, listed := regions[settings.GetZone()]; len(regions) > 0 && !listed {
		l.add(fieldPath{"zone_regions"}, "the zone of this machine is not listed", "list all zones of the site, or none")
	}
}
