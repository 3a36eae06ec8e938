package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every process. Each process has a loopback address of its own, as each machine of a
// deployment has.
const (
	portInternal = 7660
	portControl  = 8146
	portFront    = 8144
	portReady    = 8140
	portProxy    = 7900
	portServer   = 8080
)

// record is the log of a case: what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot create the record:", err)
		os.Exit(exitNotRun)
	}
	return &record{file: file, began: time.Now()}
}

func (r *record) add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// process is a daemon of the site under test.
type process struct {
	name, role, zone string
	ip               string
	// proxy is in front of the internal address, nil if there is none.
	proxy     *proxy
	folder    string
	settings  string
	command   *exec.Cmd
	exited    chan struct{}
	bootstrap bool
}

// site is the system under test.
type site struct {
	record    *record
	folder    string
	program   string
	network   string
	processes []*process
	seeds     []string
	withProxy bool
	tolerated int
	zones     []string
	// regionOf names the region of each zone; all are in one if it is nil.
	regionOf map[string]string
	logs     *os.File
}

// newSite prepares a site below a temporary folder, on loopback addresses that are not in use.
func newSite(r *record, program string, tolerated int, withProxy bool) *site {
	folder, err := os.MkdirTemp("", "rockwind-review-")
	if err != nil {
		notRun(r, "no temporary folder: %v", err)
	}
	s := &site{record: r, folder: folder, program: program, withProxy: withProxy, tolerated: tolerated, zones: []string{"zone-a", "zone-b", "zone-c"}}
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", s.network+".1:9464")
		if err == nil {
			listener.Close()
			break
		}
	}
	s.logs, _ = os.Create(filepath.Join(folder, "daemons.log"))
	return s
}

// add adds a process. Its zone rotates.
func (s *site) add(name, role string, number int) *process {
	p := &process{
		name: name, role: role, zone: s.zones[(number-1)%len(s.zones)], ip: fmt.Sprintf("%s.%d", s.network, len(s.processes)+1),
		folder: filepath.Join(s.folder, name), settings: filepath.Join(s.folder, name+".yaml"), bootstrap: true,
	}
	s.processes = append(s.processes, p)
	return p
}

// internal is the address on which a process serves the others.
func (p *process) internal() string {
	if p.role == "coordinator" {
		return fmt.Sprintf("%s:%d", p.ip, portControl)
	}
	return fmt.Sprintf("%s:%d", p.ip, portInternal)
}

func (p *process) front() string { return fmt.Sprintf("%s:%d", p.ip, portFront) }
func (p *process) ready() string { return fmt.Sprintf("%s:%d", p.ip, portReady) }

// advertised is the address that the others use.
func (p *process) advertised() string {
	if p.proxy != nil {
		return p.proxy.address
	}
	return p.internal()
}

// control lists the addresses of the coordinators for operators and servers.
func (s *site) control() []string {
	var addresses []string
	for _, p := range s.processes {
		if p.role == "coordinator" {
			addresses = append(addresses, p.internal())
		}
	}
	return addresses
}

func (s *site) byName(name string) *process {
	for _, p := range s.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// start opens the proxies and starts all processes.
func (s *site) start() {
	for _, p := range s.processes {
		if s.withProxy {
			p.proxy = openProxy(s, p)
		}
	}
	for _, p := range s.processes {
		if p.role == "coordinator" && len(s.seeds) < 3 {
			s.seeds = append(s.seeds, p.advertised())
		}
	}
	for _, p := range s.processes {
		s.startProcess(p)
	}
}

// writeSettings writes what deploy/settings.yaml renders for a small deployment, and the address of
// the proxy if there is one.
func (s *site) writeSettings(p *process) {
	lines := []string{"name: " + quote(p.name), "role: " + p.role, "zone: " + quote(p.zone), "zone_regions:"}
	for _, zone := range s.zones {
		region := "region-1"
		if s.regionOf != nil {
			region = s.regionOf[zone]
		}
		lines = append(lines, "- zone: "+zone, "  region: "+quote(region))
	}
	lines = append(lines, "internal_listen: "+quote(p.internal()))
	if p.proxy != nil {
		lines = append(lines, "advertise: "+quote(p.proxy.address))
	}
	memory, descriptors := 280, 4096
	switch p.role {
	case "router":
		lines = append(lines, "listen: "+quote(p.front()), "ready_listen: "+quote(p.ready()))
		memory, descriptors = 244, 4200
	case "store":
		memory, descriptors = 274, 8200
	}
	if p.role != "router" {
		lines = append(lines, "data_folder: "+quote(p.folder))
	}
	seeds, _ := json.Marshal(s.seeds)
	lines = append(lines, "seeds: "+string(seeds), fmt.Sprintf("bootstrap: %v", p.bootstrap), fmt.Sprintf("memory_mb: %d", memory),
		fmt.Sprintf("max_descriptors: %d", descriptors), fmt.Sprintf("tolerated_losses: %d", s.tolerated), fmt.Sprintf("metrics_listen: \"%s:9464\"", p.ip),
		"heartbeat_ms: 1200", "drain_ms: 2000", "grace_s: 8", "result_retention_s: 120")
	if err := os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		notRun(s.record, "cannot write settings: %v", err)
	}
}

func quote(text string) string {
	encoded, _ := json.Marshal(text)
	return string(encoded)
}

// startProcess starts a process with the command of the deploy file.
func (s *site) startProcess(p *process) {
	s.writeSettings(p)
	p.command = exec.Command(s.program, "run")
	p.command.Env = []string{"ROCKWIND_BOOT=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "TMPDIR=" + s.folder}
	p.command.Stdout, p.command.Stderr = s.logs, s.logs
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		notRun(s.record, "cannot start %s: %v", p.name, err)
	}
	s.record.add("start      %s (%s, %s) at %s", p.name, p.role, p.zone, p.advertised())
	exited := make(chan struct{})
	p.exited = exited
	command := p.command
	go func() { _ = command.Wait(); close(exited) }()
	// Later starts find a disk that was used, unless the caller sets it again.
	p.bootstrap = false
}

// kill ends a process with SIGKILL and waits for its end.
func (s *site) kill(p *process) {
	_ = p.command.Process.Kill()
	<-p.exited
	s.record.add("SIGKILL    %s", p.name)
}

func (s *site) signal(p *process, signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
	s.record.add("%v  %s", signal, p.name)
}

// stop ends all processes and removes the folder.
func (s *site) stop() {
	for _, p := range s.processes {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
	s.logs.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}

// ledGroups asks a process how many of the replicated groups below a number it leads.
func (s *site) ledGroups(p *process, below int) int {
	status, answer := call("POST", "http://"+p.internal()+"/twirp/rockwind.v1.ReplicaService/Identity", []byte("{}"), nil, time.Second)
	identity := struct {
		DiskID string `json:"disk_id"`
		Groups []struct {
			Group  int
			Leader string
		}
	}{}
	if status != 200 || json.Unmarshal([]byte(answer), &identity) != nil {
		return 0
	}
	led := 0
	for _, group := range identity.Groups {
		if group.Leader == identity.DiskID && group.Group < below {
			led++
		}
	}
	return led
}
