package store_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/metrics"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/dial"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/traffic"
	"rockwind.example/rockwind/internal/wal"
)

// The load of a store: each of five stores holds a replica of each of five shards, and a site of nine shards
// runs 2,500 items in 50 s.
const (
	memoryStores  = 5
	memoryGroups  = 5
	memoryMB      = 314
	itemsOfGroup  = 2500 / 9
	itemsOfJob    = 10
	itemBodyBytes = 1 << 10
	resultBytes   = 7 << 10
	// loadSteps is how often progress is recorded during the load, and stepsOfItem during the run of an item.
	loadSteps   = 100
	stepsOfItem = 10

	storeProcessVariable = "ROCKWIND_TEST_STORE_PROCESS"
)

var (
	loadDuration  = flag.Duration("memory.load", 10*time.Second, "duration of the batch load; the deployments have 50 s")
	profileFolder = flag.String("memory.profiles", "", "folder for the heap profile of the first store")
)

// processOrder is what the test tells a process of a store at its start.
type processOrder struct {
	Name    string
	Listen  string
	Folder  string
	Peers   []string
	Load    time.Duration
	Profile string
	// LargeItems is the number of items of one more job of the first shard, with bodies of LargeBytes.
	LargeItems, LargeBytes int
	MemoryMB               uint32
}

// processReport is a line from a process of a store.
type processReport struct {
	Disk    uint64 `json:",omitempty"`
	Address string `json:",omitempty"`
	// Results is the number of results that this process recorded.
	Results int
	// The memory of the process in MB, and its processor time.
	PeakResident, PeakMapped, PeakObjects, PeakLive, PeakStacks float64
	Processor, Collector                                        float64
	Collections                                                 uint64
}

// TestStoreProcess is the process of a store for the tests of memory. It does nothing on its own.
func TestStoreProcess(t *testing.T) {
	encoded := os.Getenv(storeProcessVariable)
	if encoded == "" {
		t.Skip("started by the tests of memory")
	}
	var order processOrder
	if err := json.Unmarshal([]byte(encoded), &order); err != nil {
		t.Fatal(err)
	}
	if err := runStoreProcess(t.Context(), order); err != nil {
		t.Fatal(err)
	}
}

// Properties of the disk of a store: a sync of a deployment takes 5 ms. On the disk that the stores of a test share,
// 20 MB from five of them at once took 0.6 to 1.6 s at a load of 25, which is longer than an election timeout.
const (
	syncDuration = 5 * time.Millisecond
	// syncDurationOfKilobyte is that of 400 MB/s, so that 20 MB take 55 ms.
	syncDurationOfKilobyte = time.Second / (400 << 10)
)

// ownDisk is the file system of the operating system, with syncs that take as long as on a disk of the store's own.
// The tests don't crash the machine, so nothing has to be on the disk.
type ownDisk struct{ wal.OSFileSystem }

// Create implements wal.FileSystem.
func (d ownDisk) Create(path string) (wal.File, error) { return timedFile(d.OSFileSystem.Create(path)) }

// Append implements wal.FileSystem.
func (d ownDisk) Append(path string) (wal.File, error) { return timedFile(d.OSFileSystem.Append(path)) }

// SyncFolder implements wal.FileSystem.
func (ownDisk) SyncFolder(string) error {
	time.Sleep(syncDuration)
	return nil
}

// ownDiskFile is a file of ownDisk.
type ownDiskFile struct {
	wal.File
	unsynced int
}

func timedFile(file wal.File, err error) (wal.File, error) {
	if err != nil {
		return nil, err
	}
	return &ownDiskFile{File: file}, nil
}

// Write implements wal.File.
func (f *ownDiskFile) Write(content []byte) (int, error) {
	n, err := f.File.Write(content)
	f.unsynced += n
	return n, err
}

// Sync implements wal.File.
func (f *ownDiskFile) Sync() error {
	time.Sleep(syncDuration + time.Duration(f.unsynced>>10)*syncDurationOfKilobyte)
	f.unsynced = 0
	return nil
}

// sampler holds the peaks of the runtime's memory.
type sampler struct {
	mutex  sync.Mutex
	report processReport
}

func (s *sampler) run(ctx context.Context) {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}, {Name: "/gc/cycles/total:gc-cycles"}, {Name: "/cpu/classes/gc/total:cpu-seconds"},
	}
	for ctx.Err() == nil {
		metrics.Read(samples)
		value := func(index int) float64 { return float64(samples[index].Value.Uint64()) / (1 << 20) }
		s.mutex.Lock()
		s.report.PeakMapped = max(s.report.PeakMapped, value(0)-value(1))
		s.report.PeakObjects = max(s.report.PeakObjects, value(2))
		s.report.PeakLive = max(s.report.PeakLive, value(3))
		s.report.PeakStacks = max(s.report.PeakStacks, value(4))
		s.report.Collections = samples[5].Value.Uint64()
		s.report.Collector = samples[6].Value.Float64()
		s.mutex.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *sampler) now() processReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	report := s.report
	if status, err := os.ReadFile("/proc/self/status"); err == nil {
		for line := range strings.Lines(string(status)) {
			if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
				kilobytes, _ := strconv.Atoi(fields[1])
				report.PeakResident = float64(kilobytes) / 1024
			}
		}
	}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		report.Processor = time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
	}
	return report
}

// runStoreProcess runs the replicas of a store and the load of the shards that it leads.
func runStoreProcess(ctx context.Context, order processOrder) error {
	listener, err := site.Listen("internal_listen", order.Listen)
	if err != nil {
		return err
	}
	settings := &rockwindpb.SiteSettings{
		Name: order.Name, Role: rockwindpb.SiteRole_SITE_ROLE_STORE, InternalListen: listener.Addr().String(),
		DataFolder: order.Folder, MemoryMb: order.MemoryMB,
	}
	site.SetMemoryLimit(settings)
	machines := make(map[uint32]*jobstore.Machine)
	host, release, err := site.OpenHost(settings, dial.NewClient(traffic.NewCounter("a", site.Topology(settings)).Dial), site.HostOptions{
		FileSystem: ownDisk{},
		Discover: func() []*rockwindpb.ControlMachine {
			var peers []*rockwindpb.ControlMachine
			for _, address := range order.Peers {
				peers = append(peers, &rockwindpb.ControlMachine{Address: address})
			}
			return peers
		},
		StateMachines: func(group uint32) replica.StateMachine {
			machines[group] = jobstore.New()
			return machines[group]
		},
	})
	if err != nil {
		return err
	}
	defer release()
	mux := http.NewServeMux()
	service := replica.NewServer(host)
	mux.Handle(service.PathPrefix(), service)
	mux.HandleFunc("POST /propose/{group}", func(w http.ResponseWriter, r *http.Request) {
		if err := proposeBody(r, host); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	peaks := &sampler{}
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return site.Serve(ctx, site.NewServer(mux), listener, time.Second) })
	tasks.Go(func() error { return host.Run(ctx) })
	tasks.Go(func() error { peaks.run(ctx); return nil })
	tasks.Go(func() error {
		defer stop()
		return followOrders(ctx, order, host, machines, peaks, processReport{Disk: host.DiskID(), Address: settings.GetInternalListen()})
	})
	return tasks.Wait()
}

// followOrders reads lines from the test: "found" with a founding, and "check" with the number of results.
func followOrders(ctx context.Context, order processOrder, host *replica.Host, machines map[uint32]*jobstore.Machine, peaks *sampler, self processReport) error {
	answer := func(report processReport) error { return json.NewEncoder(os.Stdout).Encode(report) }
	if err := answer(self); err != nil {
		return err
	}
	lines := bufio.NewReaderSize(os.Stdin, 1<<16)
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch verb {
		case "found":
			founding := &rockwindpb.FoundRequest{}
			if err := protojson.Unmarshal([]byte(rest), founding); err != nil {
				return err
			}
			if err := host.AcceptFounding(ctx, founding); err != nil {
				return err
			}
		case "check":
			wanted, err := strconv.Atoi(rest)
			if err != nil {
				return err
			}
			if err := awaitResults(ctx, host, machines, wanted); err != nil {
				return err
			}
			report := peaks.now()
			report.Results = wanted
			if order.Profile != "" {
				if err := writeHeapProfile(order.Profile); err != nil {
					return err
				}
			}
			if err := answer(report); err != nil {
				return err
			}
		}
	}
}

func writeHeapProfile(path string) error {
	runtime.GC()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return pprof.WriteHeapProfile(file)
}

// awaitResults waits until the replicas of this process hold the number of results.
func awaitResults(ctx context.Context, host *replica.Host, machines map[uint32]*jobstore.Machine, wanted int) error {
	held := 0
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		held = 0
		for id := uint32(1); id <= memoryGroups; id++ {
			group, runs := host.Group(id)
			if !runs {
				continue
			}
			if err := group.ReadLocal(ctx, func() { held += resultsOf(machines[id]) }); err != nil {
				return err
			}
		}
		if held == wanted {
			return nil
		}
	}
	return fmt.Errorf("%d of %d results are held", held, wanted)
}

// resultsOf counts the complete results of the jobs of the load.
func resultsOf(machine *jobstore.Machine) int {
	count := 0
	for _, id := range machine.Expired(time.Now().Add(time.Hour).UnixMilli()) {
		response, err := machine.Read(id, "", 0, 1<<40)
		if err != nil {
			continue
		}
		for _, result := range response.GetResults() {
			if len(result.GetText()) == resultBytes {
				count++
			}
		}
	}
	return count
}

// proposeBody proposes the command in the body of a request to the group in its path.
func proposeBody(r *http.Request, host *replica.Host) error {
	id, err := strconv.ParseUint(r.PathValue("group"), 10, 32)
	if err != nil {
		return err
	}
	group, runs := host.Group(uint32(id))
	if !runs {
		return errors.New("the group does not run")
	}
	if _, leading := group.Leading(); !leading {
		return errors.New("another store leads")
	}
	command := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, command); err != nil {
		return err
	}
	result, err := group.Propose(r.Context(), command)
	if err != nil {
		return err
	}
	if outcome := result.(jobstore.Outcome); outcome.Fault != nil {
		return outcome.Fault
	}
	return nil
}

// runLoad runs the load of all shards and returns the number of recorded results.
func runLoad(ctx context.Context, stores []*storeProcess) (int, error) {
	var recorded atomic.Int64
	order := stores[0].order
	tasks, ctx := errgroup.WithContext(ctx)
	for id := uint32(1); id <= memoryGroups; id++ {
		tasks.Go(func() error {
			load := &shardLoad{random: rand.NewChaCha8([32]byte{byte(id)}), id: id}
			for _, store := range stores {
				load.addresses = append(load.addresses, store.self.Address)
			}
			if id == 1 && order.LargeItems > 0 {
				if err := load.submit(ctx, order.LargeItems, order.LargeBytes); err != nil {
					return err
				}
			}
			err := load.run(ctx, order.Load/loadSteps)
			recorded.Add(int64(load.recorded))
			return err
		})
	}
	err := tasks.Wait()
	return int(recorded.Load()), err
}

// shardLoad submits jobs to a shard and records the progress and the results of their items.
type shardLoad struct {
	id uint32
	// addresses are those of the stores, and leader is the position of the one that answered last.
	addresses []string
	leader    int
	random    *rand.ChaCha8
	jobs      []*runningJob
	next      int
	recorded  int
}

type runningJob struct {
	id    string
	texts [][]byte
	steps int
}

func (l *shardLoad) text(length int) []byte {
	raw := make([]byte, length/2)
	_, _ = l.random.Read(raw)
	return []byte(hex.EncodeToString(raw))
}

func (l *shardLoad) propose(ctx context.Context, command *rockwindpb.JobStoreCommand) error {
	encoded, err := proto.Marshal(command)
	if err != nil {
		return err
	}
	// Commands have the same effect when they are repeated.
	var failure error
	for deadline := time.Now().Add(proposeTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if failure = l.proposeAt(ctx, l.addresses[l.leader], encoded); failure == nil {
			return nil
		}
		l.leader = (l.leader + 1) % len(l.addresses)
	}
	return failure
}

// proposeTimeout is how long a command is proposed to one store after the other.
const proposeTimeout = 30 * time.Second

func (l *shardLoad) proposeAt(ctx context.Context, address string, command []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/propose/%d", address, l.id), bytes.NewReader(command))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", address, answer)
	}
	return err
}

func (l *shardLoad) submit(ctx context.Context, items, bodyBytes int) error {
	job := &rockwindpb.StoredJob{Id: fmt.Sprintf("job-%d-%d", l.id, l.next), Host: "site", Path: "/jobs", SubmittedUnixMs: time.Now().UnixMilli()}
	l.next++
	for item := range items {
		job.Items = append(job.Items, &rockwindpb.StoredItem{Id: strconv.Itoa(item), Path: "/generate", Body: l.text(bodyBytes), Tokens: 100})
	}
	l.jobs = append(l.jobs, &runningJob{id: job.GetId(), texts: make([][]byte, items)})
	return l.propose(ctx, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: job}})
}

func (l *shardLoad) run(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	const jobs = itemsOfGroup / itemsOfJob
	submitted := 0
	for step := 0; step < loadSteps || len(l.jobs) > 0; step++ {
		for ; submitted < jobs && submitted*loadSteps <= step*jobs; submitted++ {
			if err := l.submit(ctx, itemsOfJob, itemBodyBytes); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if err := l.step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// step records the next part of all items, and the results of the jobs that are complete.
func (l *shardLoad) step(ctx context.Context) error {
	progress := &rockwindpb.RecordProgress{}
	var running []*runningJob
	for _, job := range l.jobs {
		if job.steps == stepsOfItem {
			if err := l.finish(ctx, job); err != nil {
				return err
			}
			continue
		}
		running = append(running, job)
		progress.Jobs = append(progress.Jobs, l.advance(job))
	}
	l.jobs = running
	if len(progress.GetJobs()) == 0 {
		return nil
	}
	return l.propose(ctx, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Progress{Progress: progress}})
}

func (l *shardLoad) advance(job *runningJob) *rockwindpb.JobProgress {
	recorded := &rockwindpb.JobProgress{Job: job.id}
	for item := range job.texts {
		part := l.text(resultBytes / stepsOfItem / 2 * 2)
		job.texts[item] = append(job.texts[item], part...)
		events := &rockwindpb.ReceivedEvents{Progress: &rockwindpb.ItemProgress{
			Item: uint32(item), Term: 1, Run: 1, Last: uint64(job.steps + 1), Text: part,
		}}
		if job.steps > 0 {
			events.After = proto.Uint64(uint64(job.steps))
		}
		recorded.Items = append(recorded.Items, events)
	}
	job.steps++
	return recorded
}

func (l *shardLoad) finish(ctx context.Context, job *runningJob) error {
	results := &rockwindpb.RecordResults{Job: job.id}
	for item, text := range job.texts {
		text = append(text, l.text(resultBytes-len(text)+1)...)[:resultBytes]
		results.Results = append(results.Results, &rockwindpb.StoredResult{Item: uint32(item), Outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE, Text: text})
	}
	if err := l.propose(ctx, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Record{Record: results}}); err != nil {
		return err
	}
	l.recorded += len(job.texts)
	return nil
}

// storeProcess is a process of a store, as the test sees it.
type storeProcess struct {
	t       *testing.T
	order   processOrder
	command *exec.Cmd
	input   io.WriteCloser
	output  io.Reader
	reports *json.Decoder
	self    processReport
}

func startStoreProcess(t *testing.T, order processOrder) *storeProcess {
	t.Helper()
	encoded, err := json.Marshal(order)
	if err != nil {
		t.Fatal(err)
	}
	p := &storeProcess{t: t, order: order, command: exec.Command(os.Args[0], "-test.run=^TestStoreProcess$", "-test.timeout=10m")}
	// The runtime uses two processors where a machine has a part of one.
	p.command.Env = append(os.Environ(), "GOMAXPROCS=2", storeProcessVariable+"="+string(encoded))
	var stderr strings.Builder
	p.command.Stderr = &stderr
	if p.input, err = p.command.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	output, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.output, p.reports = output, json.NewDecoder(output)
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s: %s", order.Name, stderr.String()[max(0, stderr.Len()-2000):])
		}
	})
	p.self = p.report()
	return p
}

func (p *storeProcess) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

func (p *storeProcess) report() (report processReport) {
	p.t.Helper()
	if err := p.reports.Decode(&report); err != nil {
		// A process that fails writes the reason to its standard output.
		rest, _ := io.ReadAll(io.MultiReader(p.reports.Buffered(), p.output))
		p.t.Fatalf("%s: %v: %s", p.order.Name, err, rest)
	}
	return report
}

func (p *storeProcess) tell(line string) {
	p.t.Helper()
	if _, err := io.WriteString(p.input, line+"\n"); err != nil {
		p.t.Fatal(err)
	}
}

// startStores starts the stores and founds their cluster.
func startStores(t *testing.T, adjust func(*processOrder)) []*storeProcess {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes under load")
	}
	stores := make([]*storeProcess, memoryStores)
	members := &rockwindpb.Membership{}
	for index := range stores {
		order := processOrder{Name: fmt.Sprintf("store-%d", index), Listen: "127.0.0.1:0", Folder: t.TempDir(), Load: *loadDuration, MemoryMB: memoryMB}
		if *profileFolder != "" && index == 0 {
			order.Profile = filepath.Join(*profileFolder, strings.ToLower(t.Name())+".heap")
		}
		if adjust != nil {
			adjust(&order)
		}
		stores[index] = startStoreProcess(t, order)
		members.Members = append(members.Members, &rockwindpb.Member{Id: stores[index].self.Disk, Machine: order.Name, Address: stores[index].self.Address})
	}
	founding := &rockwindpb.FoundRequest{ClusterId: "memory"}
	for id := uint32(0); id <= memoryGroups; id++ {
		founding.Groups = append(founding.Groups, &rockwindpb.FoundingGroup{Group: id, Membership: members})
	}
	encoded, err := protojson.MarshalOptions{Multiline: false}.Marshal(founding)
	if err != nil {
		t.Fatal(err)
	}
	for _, store := range stores {
		store.tell("found " + string(encoded))
	}
	return stores
}

// checkLoad runs the load, compares the results of all replicas and returns the largest report. The function
// meanwhile runs beside the load.
func checkLoad(t *testing.T, stores []*storeProcess, meanwhile func()) processReport {
	t.Helper()
	results := 0
	var failure error
	done := make(chan struct{})
	go func() {
		defer close(done)
		results, failure = runLoad(t.Context(), stores)
	}()
	meanwhile()
	<-done
	if failure != nil {
		t.Fatal(failure)
	}
	if wanted := memoryGroups*(itemsOfGroup/itemsOfJob)*itemsOfJob + stores[0].order.LargeItems; results != wanted {
		t.Fatalf("%d of %d results were recorded", results, wanted)
	}
	var largest processReport
	for _, store := range stores {
		store.tell("check " + strconv.Itoa(results))
		report := store.report()
		t.Logf("%s: resident %.1f MB, mapped %.1f, objects %.1f, live %.1f, stacks %.1f; processor %.2f s, collector %.2f s in %d collections; %d results",
			store.order.Name, report.PeakResident, report.PeakMapped, report.PeakObjects, report.PeakLive, report.PeakStacks,
			report.Processor, report.Collector, report.Collections, report.Results)
		largest.PeakResident = max(largest.PeakResident, report.PeakResident)
		largest.Results = report.Results
	}
	return largest
}

// maximumResidentMB is the required peak of a store under the batch load.
const maximumResidentMB = 60

// TestStoreMemoryUnderBatchLoad guards against holders of memory that grow with the load: five stores with five
// shards each stay below the required peak, and each replica holds all results.
func TestStoreMemoryUnderBatchLoad(t *testing.T) {
	stores := startStores(t, nil)
	if largest := checkLoad(t, stores, func() {}); largest.PeakResident > maximumResidentMB {
		t.Errorf("a store takes %.1f MB", largest.PeakResident)
	}
}

// TestStoreMemoryWhileAStoreRejoinsEmpty guards against memory that grows while snapshots are sent and the log
// grows: a store loses its disk under load, whether it leads or not, and joins again. It then holds all results.
func TestStoreMemoryWhileAStoreRejoinsEmpty(t *testing.T) {
	stores := startStores(t, nil)
	largest := checkLoad(t, stores, func() {
		time.Sleep(*loadDuration / 2)
		stores[0].kill()
		order := stores[0].order
		order.Listen, order.Folder = stores[0].self.Address, t.TempDir()
		for _, store := range stores[1:] {
			order.Peers = append(order.Peers, store.self.Address)
		}
		stores[0] = startStoreProcess(t, order)
	})
	if largest.PeakResident > maximumResidentMB {
		t.Errorf("a store takes %.1f MB", largest.PeakResident)
	}
}

// maximumLargeJobMB is how much a job of 20 MB may add to the peak of a store. Its bodies are there several times
// while it is submitted.
const maximumLargeJobMB = 130

// TestStoreMemoryWithALargeJob guards against copies of the bodies of a job of 20 MB, and against a job that is
// never stored because its entry delays heartbeats.
func TestStoreMemoryWithALargeJob(t *testing.T) {
	stores := startStores(t, func(order *processOrder) { order.LargeItems, order.LargeBytes = 200, 100<<10 })
	if largest := checkLoad(t, stores, func() {}); largest.PeakResident > maximumResidentMB+maximumLargeJobMB {
		t.Errorf("a store takes %.1f MB", largest.PeakResident)
	}
}
