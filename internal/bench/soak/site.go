package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/loopback"
	"rockwind.example/rockwind/internal/bench/soak/faultproxy"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Shape of the site.
const (
	// replicas is how many processes of each role there are, one in each zone.
	replicas = 3
	// memoryMb bounds each process.
	memoryMb = 256
	// heartbeat is how often back ends report.
	heartbeat = 400 * time.Millisecond
	// graceS is how many seconds a planned stop may take.
	graceS = 6
	// retentionS is longer than any soak, in seconds.
	retentionS = 3600
)

// roles lists the roles of a site's processes.
var roles = []rockwindpb.SiteRole{
	rockwindpb.SiteRole_SITE_ROLE_COORDINATOR,
	rockwindpb.SiteRole_SITE_ROLE_STORE,
	rockwindpb.SiteRole_SITE_ROLE_ROUTER,
}

// roleNames are the names that machines get.
var roleNames = map[rockwindpb.SiteRole]string{
	rockwindpb.SiteRole_SITE_ROLE_COORDINATOR: "coordinator",
	rockwindpb.SiteRole_SITE_ROLE_STORE:       "store",
	rockwindpb.SiteRole_SITE_ROLE_ROUTER:      "router",
}

// member is one process of the site with the proxy before it.
type member struct {
	*fleet.Process
	settings *rockwindpb.SiteSettings
	proxy    *faultproxy.Proxy
	// life counts its starts.
	life atomic.Int64
	// busy keeps two faults from handling the process at once.
	busy sync.Mutex
}

// keepsDisk tells whether the process has a disk.
func (m *member) keepsDisk() bool { return m.settings.GetDataFolder() != "" }

// start runs the process.
func (m *member) start() error {
	m.life.Add(1)
	return m.Start()
}

// site is all processes of a soak.
type site struct{ members []*member }

// of lists the members of a role.
func (s *site) of(role rockwindpb.SiteRole) []*member {
	var found []*member
	for _, each := range s.members {
		if each.settings.GetRole() == role {
			found = append(found, each)
		}
	}
	return found
}

func (s *site) coordinators() []*member {
	return s.of(rockwindpb.SiteRole_SITE_ROLE_COORDINATOR)
}

func (s *site) routers() []*member { return s.of(rockwindpb.SiteRole_SITE_ROLE_ROUTER) }

// someRouter draws a router by lot.
func (s *site) someRouter(random *rand.Rand) *member {
	routers := s.routers()
	return routers[random.IntN(len(routers))]
}

// newSite prepares the processes in a folder. Nothing runs yet but the proxies.
func newSite(ctx context.Context, folder, program string) (*site, error) {
	made := &site{}
	var seeds []string
	for _, role := range roles {
		for number := range replicas {
			added, err := newMember(ctx, folder, program, role, number)
			if err != nil {
				return nil, err
			}
			made.members = append(made.members, added)
			if role == rockwindpb.SiteRole_SITE_ROLE_COORDINATOR {
				seeds = append(seeds, added.settings.GetAdvertise())
			}
		}
	}
	for _, each := range made.members {
		each.settings.Seeds = seeds
		if err := each.writeSettings(); err != nil {
			return nil, err
		}
	}
	return made, nil
}

func newMember(ctx context.Context, folder, program string, role rockwindpb.SiteRole, number int) (*member, error) {
	given := make([]string, 4)
	for i := range given {
		address, err := loopback.Next()
		if err != nil {
			return nil, err
		}
		given[i] = address
	}
	proxy, err := faultproxy.Open(given[1], given[0])
	if err != nil {
		return nil, err
	}
	go proxy.Run(ctx)
	name := fmt.Sprintf("%s-%d", roleNames[role], number)
	settings := &rockwindpb.SiteSettings{
		Name: name, Role: role, Zone: fmt.Sprintf("zone-%d", number),
		InternalListen: given[0], Advertise: given[1], Bootstrap: true, MemoryMb: memoryMb, ToleratedLosses: 1,
		HeartbeatMs: uint32(heartbeat.Milliseconds()), GraceS: graceS, ResultRetentionS: retentionS,
	}
	own := filepath.Join(folder, name)
	if role == rockwindpb.SiteRole_SITE_ROLE_ROUTER {
		settings.Listen, settings.ReadyListen = given[2], given[3]
	} else {
		settings.DataFolder = filepath.Join(own, dataFolder)
	}
	process := fleet.NewProcess(fleet.Standalone{
		Name: name, Role: roleNames[role], Zone: settings.GetZone(), Address: given[0], Folder: own, Program: program,
		Arguments: []string{"site", "--settings", filepath.Join(own, settingsFile)}, LogFile: filepath.Join(folder, name+".log"),
	})
	return &member{Process: process, settings: settings, proxy: proxy}, nil
}

// Names in a process's folder.
const (
	dataFolder   = "data"
	settingsFile = "settings.yaml"
)

func (m *member) writeSettings() error {
	_, err := fleet.WriteSettings(m.Folder, m.settings)
	return err
}

// begin starts all processes at once. Later starts are not the first of the site.
func (s *site) begin() error {
	for _, each := range s.members {
		if err := each.start(); err != nil {
			return err
		}
	}
	return nil
}

// founded notes in the settings that the site has started for the first time.
func (s *site) founded() error {
	for _, each := range s.members {
		each.settings.Bootstrap = false
		if err := each.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}

// end kills what still runs.
func (s *site) end() {
	for _, each := range s.members {
		each.Thaw()
		each.Kill()
	}
}

// newClient returns a client for calls that must not share connections with others.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}
