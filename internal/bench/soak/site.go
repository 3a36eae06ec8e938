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

const (
	// replicas is the number of processes of each role, one per zone.
	replicas = 3
	// memoryMb is the memory limit of each process.
	memoryMb = 256
	// heartbeat is the report interval of backends.
	heartbeat = 400 * time.Millisecond
	// graceS is the grace period of a graceful stop in seconds.
	graceS = 6
	// retentionS is the retention of results in seconds, longer than any soak.
	retentionS = 3600
)

// allowedZone is the zone whose region is allowed for requests of backend.PathRestricted.
const allowedZone = 0

// regionOf returns the region of a zone.
func regionOf(zone int) string { return fmt.Sprintf("region-%d", zone) }

var roles = []rockwindpb.SiteRole{
	rockwindpb.SiteRole_SITE_ROLE_COORDINATOR,
	rockwindpb.SiteRole_SITE_ROLE_STORE,
	rockwindpb.SiteRole_SITE_ROLE_ROUTER,
}

// roleNames are the prefixes of process names.
var roleNames = map[rockwindpb.SiteRole]string{
	rockwindpb.SiteRole_SITE_ROLE_COORDINATOR: "coordinator",
	rockwindpb.SiteRole_SITE_ROLE_STORE:       "store",
	rockwindpb.SiteRole_SITE_ROLE_ROUTER:      "router",
}

// member is one process of the site and the fault proxy in front of it.
type member struct {
	*fleet.Process
	settings *rockwindpb.SiteSettings
	proxy    *faultproxy.Proxy
	// starts counts the starts of the process.
	starts atomic.Int64
	// faultMutex is held during a fault, so that faults of one process don't overlap.
	faultMutex sync.Mutex
	// isSeed reports whether the settings of all processes name this one.
	isSeed bool
	// state is whether the process is in use, is kept in reserve or is lost for good.
	state atomic.Int32
}

// States of a member.
const (
	memberInUse int32 = iota
	memberInReserve
	memberGone
)

// keepsDisk returns whether the process has a data folder.
func (m *member) keepsDisk() bool { return m.settings.GetDataFolder() != "" }

// start starts the process and counts the start.
func (m *member) start() error {
	m.starts.Add(1)
	return m.Start()
}

// site is the set of processes of a soak.
type site struct{ members []*member }

// withRole lists the members in use with a role.
func (s *site) withRole(role rockwindpb.SiteRole) []*member {
	var found []*member
	for _, each := range s.members {
		if each.settings.GetRole() == role && each.state.Load() == memberInUse {
			found = append(found, each)
		}
	}
	return found
}

// reserve returns a member with a role that is kept in reserve, or nil if there is none.
func (s *site) reserve(role rockwindpb.SiteRole) *member {
	for _, each := range s.members {
		if each.settings.GetRole() == role && each.state.Load() == memberInReserve {
			return each
		}
	}
	return nil
}

func (s *site) coordinators() []*member {
	return s.withRole(rockwindpb.SiteRole_SITE_ROLE_COORDINATOR)
}

func (s *site) routers() []*member { return s.withRole(rockwindpb.SiteRole_SITE_ROLE_ROUTER) }

func (s *site) randomRouter(random *rand.Rand) *member {
	routers := s.routers()
	return routers[random.IntN(len(routers))]
}

// siteSize is how many processes of each role a site starts with, and how many with a disk are kept in reserve.
type siteSize struct {
	used     map[rockwindpb.SiteRole]int
	reserves int
	// oneRegion has all zones in one region. A region of its own has one store, whose disk can't be lost without the
	// jobs that are restricted to it.
	oneRegion bool
}

// usualSize has one process of each role per zone.
func usualSize() siteSize {
	size := siteSize{used: make(map[rockwindpb.SiteRole]int)}
	for _, role := range roles {
		size.used[role] = replicas
	}
	return size
}

// newSite writes the settings of all processes and starts their proxies only.
func newSite(ctx context.Context, folder, program string, size siteSize) (*site, error) {
	s := &site{}
	var seeds []string
	for _, role := range roles {
		count := size.used[role]
		if role != rockwindpb.SiteRole_SITE_ROLE_ROUTER {
			count += size.reserves
		}
		for number := range count {
			added, err := newMember(ctx, folder, program, role, number, size.oneRegion)
			if err != nil {
				return nil, err
			}
			s.members = append(s.members, added)
			if number >= size.used[role] {
				added.state.Store(memberInReserve)
			}
			if role == rockwindpb.SiteRole_SITE_ROLE_COORDINATOR && number < replicas {
				seeds = append(seeds, added.settings.GetAdvertise())
				added.isSeed = true
			}
		}
	}
	for _, each := range s.members {
		each.settings.Seeds = seeds
		if err := each.writeSettings(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func newMember(ctx context.Context, folder, program string, role rockwindpb.SiteRole, number int, oneRegion bool) (*member, error) {
	addresses := make([]string, 5)
	for i := range addresses {
		address, err := loopback.Next()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	proxy, err := faultproxy.Open(addresses[1], addresses[0])
	if err != nil {
		return nil, err
	}
	go proxy.Run(ctx)
	name := fmt.Sprintf("%s-%d", roleNames[role], number)
	var zoneRegions []*rockwindpb.ZoneRegion
	for zone := range replicas {
		region := regionOf(zone)
		if oneRegion {
			region = regionOf(allowedZone)
		}
		zoneRegions = append(zoneRegions, &rockwindpb.ZoneRegion{Zone: fmt.Sprintf("zone-%d", zone), Region: region})
	}
	settings := &rockwindpb.SiteSettings{
		ZoneRegions: zoneRegions,
		Name:        name, Role: role, Zone: fmt.Sprintf("zone-%d", number%replicas), MetricsListen: addresses[4],
		InternalListen: addresses[0], Advertise: addresses[1], Bootstrap: true, MemoryMb: memoryMb, ToleratedLosses: 1,
		HeartbeatMs: uint32(heartbeat.Milliseconds()), GraceS: graceS, ResultRetentionS: retentionS,
	}
	processFolder := filepath.Join(folder, name)
	if role == rockwindpb.SiteRole_SITE_ROLE_ROUTER {
		settings.Listen, settings.ReadyListen = addresses[2], addresses[3]
	} else {
		settings.DataFolder = filepath.Join(processFolder, dataFolder)
	}
	process := fleet.NewProcess(fleet.ProcessOptions{
		Name: name, Role: roleNames[role], Zone: settings.GetZone(), Address: addresses[0], Folder: processFolder, Program: program,
		Arguments: []string{"site", "--settings", filepath.Join(processFolder, settingsFile)}, LogFile: filepath.Join(folder, name+".log"),
	})
	return &member{Process: process, settings: settings, proxy: proxy}, nil
}

// File names in the folder of a process.
const (
	dataFolder   = "data"
	settingsFile = "settings.yaml"
)

func (m *member) writeSettings() error {
	_, err := fleet.WriteSettings(m.Folder, m.settings)
	return err
}

// start starts all processes in use at once, for the first time.
func (s *site) start() error {
	for _, each := range s.members {
		if each.state.Load() != memberInUse {
			continue
		}
		if err := each.start(); err != nil {
			return err
		}
	}
	return nil
}

// clearBootstrap turns bootstrapping off in all settings, for later starts.
func (s *site) clearBootstrap() error {
	for _, each := range s.members {
		each.settings.Bootstrap = false
		if err := each.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}

// kill resumes suspended processes and kills all of them.
func (s *site) kill() {
	for _, each := range s.members {
		each.Resume()
		each.Kill()
	}
}

// logWriteTime is the time that the processes get to write their log entries.
const logWriteTime = time.Second

// writeLogs resumes suspended processes and has all of them write their log entries, which daemons keep in memory.
func (s *site) writeLogs() {
	for _, each := range s.members {
		each.Resume()
		each.WriteLogs()
	}
	time.Sleep(logWriteTime)
}

// newClient returns a client that opens a connection for each call.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}
