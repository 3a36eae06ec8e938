// Command review2 plays the cases of the second review: it starts a small site of the project's own
// processes on loopback, and is the platform, the servers and the clients around it.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of a small deployment, as the settings of its processes give them.
const (
	heartbeat = 1200 * time.Millisecond
	graceS    = 8
	drainMs   = 2000
)

// process is one process of the site.
type process struct {
	name, role, zone string
	settings         string
	internal         string
	listen, ready    string
	command          *exec.Cmd
	exited           chan struct{}
}

// site is a running site: three coordinators, three stores and some routers, one of each in each of three zones.
type site struct {
	program, folder string
	record          *record
	seeds           []string
	coordinators    []*process
	stores          []*process
	routers         []*process
	// founded is set once further processes belong to a site that exists.
	founded bool
}

// record writes the lines of record.txt.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startSite starts the processes. Their settings are those of deploy/settings.yaml for a deployment that bears the
// loss of one machine.
func startSite(program, folder string, routers int, r *record) (*site, error) {
	s := &site{program: program, folder: folder, record: r}
	for range 3 {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		s.seeds = append(s.seeds, address)
	}
	for index, seed := range s.seeds {
		p, err := s.start("coordinator", index, seed)
		if err != nil {
			return s, err
		}
		s.coordinators = append(s.coordinators, p)
	}
	for index := range 3 {
		p, err := s.start("store", index, "")
		if err != nil {
			return s, err
		}
		s.stores = append(s.stores, p)
	}
	for index := range routers {
		p, err := s.start("router", index, "")
		if err != nil {
			return s, err
		}
		s.routers = append(s.routers, p)
	}
	return s, nil
}

// addStore starts a further store with an empty disk, which does not found the site.
func (s *site) addStore() (*process, error) {
	s.founded = true
	p, err := s.start("store", len(s.stores), "")
	if err == nil {
		s.stores = append(s.stores, p)
	}
	return p, err
}

// kill ends a process as a loss of its machine does.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

func (s *site) start(role string, index int, internal string) (*process, error) {
	p := &process{name: fmt.Sprintf("%s-%d", role, index+1), role: role, zone: fmt.Sprintf("zone-%d", index%3+1), internal: internal}
	var err error
	if p.internal == "" {
		if p.internal, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	metrics, err := freeAddress()
	if err != nil {
		return nil, err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "name: %q\nrole: %q\nzone: %q\n", p.name, p.role, p.zone)
	fmt.Fprintf(&text, "internal_listen: %q\n", p.internal)
	memory := 280
	if role == "router" {
		memory = 244
		if p.listen, err = freeAddress(); err != nil {
			return nil, err
		}
		if p.ready, err = freeAddress(); err != nil {
			return nil, err
		}
		fmt.Fprintf(&text, "listen: %q\nready_listen: %q\n", p.listen, p.ready)
	} else {
		data := filepath.Join(s.folder, p.name)
		if err := os.MkdirAll(data, 0o750); err != nil {
			return nil, err
		}
		fmt.Fprintf(&text, "data_folder: %q\n", data)
	}
	text.WriteString("seeds:\n")
	for _, seed := range s.seeds {
		fmt.Fprintf(&text, "- %q\n", seed)
	}
	fmt.Fprintf(&text, "bootstrap: %t\nmemory_mb: %d\nmax_descriptors: 4096\ntolerated_losses: 1\nmetrics_listen: %q\n", !s.founded, memory, metrics)
	fmt.Fprintf(&text, "heartbeat_ms: %d\ndrain_ms: %d\ngrace_s: %d\nresult_retention_s: 120\n", heartbeat.Milliseconds(), drainMs, graceS)
	p.settings = filepath.Join(s.folder, p.name+".yaml")
	if err := os.WriteFile(p.settings, []byte(text.String()), 0o600); err != nil {
		return nil, err
	}
	return p, s.run(p)
}

// run starts the process of given settings, as the deploy file does.
func (s *site) run(p *process) error {
	output, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	p.command = exec.Command(s.program, "run")
	p.command.Env = []string{"ROCKWIND_BOOT=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + s.folder}
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		return err
	}
	command, exited := p.command, make(chan struct{})
	p.exited = exited
	go func() { _ = command.Wait(); close(exited) }()
	return nil
}

// stop ends all processes.
func (s *site) stop() {
	var all []*process
	all = append(append(append(all, s.routers...), s.stores...), s.coordinators...)
	for _, p := range all {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
}

// answer is a complete answer. It is incomplete if err is not nil.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// call sends one request on a connection of its own.
func call(method, address, path, host string, header map[string]string, body []byte, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: content, err: err}
}

// errNotReady means that the site did not become ready in time, so that a case can't run.
var errNotReady = errors.New("the site did not become ready in time")

// until repeats a check until it succeeds.
func until(limit time.Duration, check func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if check() {
			return nil
		}
	}
	return errNotReady
}

// configure sends a configuration until a coordinator acknowledges it.
func (s *site) configure(body string) error {
	next := 0
	return until(20*time.Second, func() bool {
		next++
		got := call(http.MethodPost, s.coordinators[next%3].internal, "/rockwind/Config.Put", "control", nil, []byte(body), 2*time.Second)
		return got.err == nil && got.status == http.StatusOK
	})
}

// awaitReady waits until all routers say that they are ready.
func (s *site) awaitReady() error {
	return until(20*time.Second, func() bool {
		for _, p := range s.routers {
			if got := call(http.MethodGet, p.ready, "/rockwind/readyz", "ready", nil, nil, time.Second); got.err != nil || got.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}
