package replica_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal/faultfs"
)

const (
	tick = 100 * time.Millisecond
	// eventuallyTimeout limits the virtual time that a condition may take.
	eventuallyTimeout = 2 * time.Minute
)

// registers is a state machine that holds an integer for each key.
type registers struct {
	mutex  sync.Mutex
	values map[string]int
}

// command sets or increments a register.
type command struct {
	Key   string
	Set   bool
	Value int
	// Note is text that is added to the digest of the key's notes.
	Note string `json:",omitempty"`
}

// digestKey names the register that holds the digest of all notes of a key, in order.
func digestKey(key string) string { return "digest of " + key }

func newRegisters(uint32) replica.StateMachine {
	return &registers{values: map[string]int{}}
}

// Apply returns the register's new value.
func (r *registers) Apply(_ uint64, encoded []byte) any {
	var c command
	if err := json.Unmarshal(encoded, &c); err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if c.Set {
		r.values[c.Key] = c.Value
	} else {
		r.values[c.Key] += c.Value
	}
	if c.Note != "" {
		digest := fnv.New64a()
		_, _ = fmt.Fprint(digest, r.values[digestKey(c.Key)], c.Note)
		r.values[digestKey(c.Key)] = int(digest.Sum64() >> 12)
	}
	return r.values[c.Key]
}

func (r *registers) Snapshot() ([]byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return json.Marshal(r.values)
}

func (r *registers) Restore(snapshot []byte) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.values = map[string]int{}
	return json.Unmarshal(snapshot, &r.values)
}

func (r *registers) get(key string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.values[key]
}

// network carries the calls between the machines of a test, in memory.
type network struct {
	mutex    sync.Mutex
	handlers map[string]http.Handler
	// rewrite changes the messages of a call between two machines; nil leaves them as they are.
	rewrite rewriteFunc
	// joins counts the join calls, and joinBytes the bytes of their responses.
	joins, joinBytes int
}

// rewriteFunc returns the messages of a call as they are to be delivered.
type rewriteFunc func(from, to string, messages []*rockwindpb.GroupMessage) []*rockwindpb.GroupMessage

// setRewrite makes rewrite change the messages of later calls.
func (n *network) setRewrite(rewrite rewriteFunc) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.rewrite = rewrite
}

// RoundTrip implements http.RoundTripper.
func (n *network) RoundTrip(request *http.Request) (*http.Response, error) {
	n.mutex.Lock()
	handler, rewrite := n.handlers[request.URL.Host], n.rewrite
	n.mutex.Unlock()
	if handler == nil {
		return nil, errors.Newf("no process at %s", request.URL.Host)
	}
	if rewrite != nil && strings.HasSuffix(request.URL.Path, "/Send") {
		if err := rewriteRequest(request, rewrite); err != nil {
			return nil, err
		}
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	if strings.HasSuffix(request.URL.Path, "/Join") {
		n.countJoin(recorder.Body.Len())
	}
	return recorder.Result(), nil
}

// rewriteRequest applies rewrite to the messages of a call.
func rewriteRequest(request *http.Request, rewrite rewriteFunc) error {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return err
	}
	sent := &rockwindpb.SendRequest{}
	if err := proto.Unmarshal(body, sent); err != nil {
		return err
	}
	sent.Messages = rewrite(sent.GetMachine(), request.URL.Host, sent.GetMessages())
	if body, err = proto.Marshal(sent); err != nil {
		return err
	}
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	return nil
}

func (n *network) countJoin(answered int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.joins++
	n.joinBytes += answered
}

// resetJoins returns the number of join calls and the bytes of their responses, and resets
// both counters.
func (n *network) resetJoins() (calls, bytes int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	calls, bytes = n.joins, n.joinBytes
	n.joins, n.joinBytes = 0, 0
	return calls, bytes
}

func (n *network) mount(address string, handler http.Handler) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.handlers[address] = handler
}

// machine is a control machine of a test.
type machine struct {
	name string
	// address is that of the name if it is empty.
	address string
	disk    *faultfs.Disk
	cancel  context.CancelFunc
	ended   chan error

	mutex    sync.Mutex
	host     *replica.Host
	machines map[uint32]*registers
}

// at returns the address of the machine.
func (m *machine) at() string { return cmp.Or(m.address, m.name) }

// state returns the machine's copy of a group's registers.
func (m *machine) state(group uint32) *registers {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.machines[group]
}

func (m *machine) running() *replica.Host {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.host
}

func (m *machine) set(host *replica.Host) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.host = host
}

// testCluster is the set of control machines of a test.
type testCluster struct {
	t        *testing.T
	network  *network
	links    *replica.Links
	client   *http.Client
	machines []*machine
	peers    []*rockwindpb.ControlMachine
	random   *rand.Rand
	adjust   func(*replica.Options)
}

// runCluster runs a test on a new cluster with virtual time, and stops its machines at the end.
func runCluster(t *testing.T, size int, adjust func(*replica.Options), run func(f *testCluster)) {
	runClusterWithShards(t, size, 2, adjust, run)
}

// runClusterWithShards is runCluster with a given number of job shards.
func runClusterWithShards(t *testing.T, size, shards int, adjust func(*replica.Options), run func(f *testCluster)) {
	runUnfoundedCluster(t, size, adjust, func(f *testCluster) {
		f.found(shards)
		run(f)
	})
}

// runUnfoundedCluster runs a test on machines that belong to no cluster yet.
func runUnfoundedCluster(t *testing.T, size int, adjust func(*replica.Options), run func(f *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		f := &testCluster{t: t, links: &replica.Links{}, random: rand.New(rand.NewPCG(1, 2)), adjust: adjust}
		f.network = &network{handlers: map[string]http.Handler{}}
		f.client = &http.Client{Transport: f.network}
		for position := range size {
			name := fmt.Sprintf("control-%d", position)
			f.machines = append(f.machines, &machine{name: name, disk: faultfs.New()})
			f.peers = append(f.peers, &rockwindpb.ControlMachine{Machine: name, Address: name})
		}
		for _, m := range f.machines {
			f.start(m)
		}
		defer func() {
			for _, m := range f.machines {
				f.kill(m)
			}
		}()
		run(f)
	})
}

func (f *testCluster) start(m *machine) {
	f.t.Helper()
	m.mutex.Lock()
	m.machines = map[uint32]*registers{}
	m.mutex.Unlock()
	options := replica.Options{
		Machine:    m.name,
		Address:    m.at(),
		Folder:     "data",
		FileSystem: m.disk,
		Client:     f.client,
		Tick:       tick,
		Peers:      f.peers,
		Allow:      f.links.Allow,
		RandomSeed: f.random.Uint64(),
		StateMachines: func(group uint32) replica.StateMachine {
			created := newRegisters(group).(*registers)
			m.mutex.Lock()
			defer m.mutex.Unlock()
			m.machines[group] = created
			return created
		},
	}
	if f.adjust != nil {
		f.adjust(&options)
	}
	host, err := replica.NewHost(options)
	if err != nil {
		f.t.Fatalf("start %s: %v", m.name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.ended = cancel, make(chan error, 1)
	m.set(host)
	f.network.mount(m.at(), replica.NewServer(host))
	ended := m.ended
	go func() { ended <- host.Run(ctx) }()
	synctest.Wait()
}

// kill ends a process. Data that was written but not synced can still be read.
func (f *testCluster) kill(m *machine) {
	if m.running() == nil {
		return
	}
	f.network.mount(m.at(), nil)
	m.disk.KillProcess()
	m.cancel()
	<-m.ended
	m.set(nil)
}

// crash ends a machine. Data that was not synced is lost.
func (f *testCluster) crash(m *machine) {
	f.kill(m)
	m.disk.Crash(f.random)
}

// loseDisk ends a machine and erases its disk.
func (f *testCluster) loseDisk(m *machine) {
	f.kill(m)
	m.disk.Wipe()
}

func (f *testCluster) found(shards int) {
	f.t.Helper()
	var addresses []string
	for _, peer := range f.peers {
		addresses = append(addresses, peer.GetAddress())
	}
	if err := replica.Found(context.Background(), f.client, addresses, shards); err != nil {
		f.t.Fatalf("found: %v", err)
	}
}

// eventually waits, in virtual time, until a condition holds.
func (f *testCluster) eventually(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); time.Now().Before(deadline); time.Sleep(tick / 2) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("not reached: %s", what)
}

// leader waits until a machine leads the group with a valid lease.
func (f *testCluster) leader(group uint32) *machine {
	f.t.Helper()
	var found *machine
	f.eventually(fmt.Sprintf("group %d has a leader", group), func() bool {
		found = f.leaderNow(group)
		return found != nil
	})
	return found
}

func (f *testCluster) leaderNow(group uint32) *machine {
	for _, m := range f.machines {
		if g := m.group(group); g != nil {
			if _, leading := g.Leading(); leading {
				return m
			}
		}
	}
	return nil
}

func (m *machine) group(id uint32) replica.Group {
	host := m.running()
	if host == nil {
		return nil
	}
	group, found := host.Group(id)
	if !found {
		return nil
	}
	return group
}

func encode(c command) []byte {
	encoded, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return encoded
}

// add increments a register at the leader and returns the new value. It repeats the proposal
// until one succeeds, so it must not be used while faults are injected.
func (f *testCluster) add(group uint32, key string) int {
	f.t.Helper()
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		result, err := f.leader(group).group(group).Propose(ctx, encode(command{Key: key, Value: 1}))
		cancel()
		if err == nil {
			return result.(int)
		}
		time.Sleep(tick)
	}
	f.t.Fatalf("no proposal of group %d was accepted", group)
	return 0
}

// read reads a register at the leader.
func (f *testCluster) read(group uint32, key string) int {
	f.t.Helper()
	value := 0
	f.eventually("a read is served", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		leader := f.leader(group)
		return leader.group(group).Read(ctx, func() { value = leader.state(group).get(key) }) == nil
	})
	return value
}
