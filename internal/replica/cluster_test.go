package replica_test

import (
	"bytes"
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
	// patience is how long, in virtual time, a condition may take.
	patience = 2 * time.Minute
)

// registers is the replicated state of the tests: an integer for each key.
type registers struct {
	mutex  sync.Mutex
	values map[string]int
}

// command sets or increments a register.
type command struct {
	Key   string
	Set   bool
	Value int
	// Note is text that goes into the digest of the key's notes.
	Note string `json:",omitempty"`
}

// digestOf names the register that holds the digest of all notes of a key, in their order.
func digestOf(key string) string { return "digest of " + key }

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
		_, _ = fmt.Fprint(digest, r.values[digestOf(c.Key)], c.Note)
		r.values[digestOf(c.Key)] = int(digest.Sum64() >> 12)
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

// network carries calls between the machines of a test in memory.
type network struct {
	mutex    sync.Mutex
	handlers map[string]http.Handler
	// pass changes the messages of a call that go from one machine to another; nil leaves them.
	pass passing
	// joins counts the calls to join, and joinBytes what was answered.
	joins, joinBytes int
}

// passing changes messages of a call.
type passing func(from, to string, messages []*rockwindpb.GroupMessage) []*rockwindpb.GroupMessage

// usePass has pass change the messages from here on.
func (n *network) usePass(pass passing) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.pass = pass
}

// RoundTrip implements http.RoundTripper.
func (n *network) RoundTrip(request *http.Request) (*http.Response, error) {
	n.mutex.Lock()
	handler, pass := n.handlers[request.URL.Host], n.pass
	n.mutex.Unlock()
	if handler == nil {
		return nil, errors.Newf("no process at %s", request.URL.Host)
	}
	if pass != nil && strings.HasSuffix(request.URL.Path, "/Send") {
		if err := change(request, pass); err != nil {
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

// change has pass change the messages of a call.
func change(request *http.Request, pass passing) error {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return err
	}
	sent := &rockwindpb.SendRequest{}
	if err := proto.Unmarshal(body, sent); err != nil {
		return err
	}
	sent.Messages = pass(sent.GetMachine(), request.URL.Host, sent.GetMessages())
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

// takeJoins returns how many calls to join there were and what was answered, and begins
// to count anew.
func (n *network) takeJoins() (calls, bytes int) {
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

// machine is one control machine of a test.
type machine struct {
	name   string
	disk   *faultfs.Disk
	cancel context.CancelFunc
	ended  chan error

	mutex    sync.Mutex
	host     *replica.Host
	machines map[uint32]*registers
}

// state is the machine's copy of a group's registers.
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

// fleet is the control machines of a test.
type fleet struct {
	t        *testing.T
	network  *network
	links    *replica.Links
	client   *http.Client
	machines []*machine
	peers    []*rockwindpb.ControlMachine
	random   *rand.Rand
	adjust   func(*replica.Options)
}

// inBubble runs a test with virtual time and stops its fleet at the end.
func inBubble(t *testing.T, size int, adjust func(*replica.Options), run func(f *fleet)) {
	inBubbleWith(t, size, 2, adjust, run)
}

// inBubbleWith is inBubble with a number of job shards.
func inBubbleWith(t *testing.T, size, shards int, adjust func(*replica.Options), run func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, links: &replica.Links{}, random: rand.New(rand.NewPCG(1, 2)), adjust: adjust}
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
		f.found(shards)
		run(f)
	})
}

func (f *fleet) start(m *machine) {
	f.t.Helper()
	m.mutex.Lock()
	m.machines = map[uint32]*registers{}
	m.mutex.Unlock()
	options := replica.Options{
		Machine:    m.name,
		Address:    m.name,
		Folder:     "data",
		FileSystem: m.disk,
		Client:     f.client,
		Tick:       tick,
		Peers:      f.peers,
		Allow:      f.links.Allow,
		Random:     f.random.Uint64(),
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
	f.network.mount(m.name, rockwindpb.NewReplicaServiceServer(host.Service()))
	ended := m.ended
	go func() { ended <- host.Run(ctx) }()
	synctest.Wait()
}

// kill ends a process: what it had written but not synced stays readable.
func (f *fleet) kill(m *machine) {
	if m.running() == nil {
		return
	}
	f.network.mount(m.name, nil)
	m.disk.KillProcess()
	m.cancel()
	<-m.ended
	m.set(nil)
}

// crash ends a machine: what was not synced is lost.
func (f *fleet) crash(m *machine) {
	f.kill(m)
	m.disk.Crash(f.random)
}

// lose ends a machine and its disk.
func (f *fleet) lose(m *machine) {
	f.kill(m)
	m.disk.Wipe()
}

func (f *fleet) found(shards int) {
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
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(tick / 2) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("not reached: %s", what)
}

// leader waits for a machine that leads the group with a lease.
func (f *fleet) leader(group uint32) *machine {
	f.t.Helper()
	var found *machine
	f.eventually(fmt.Sprintf("group %d has a leader", group), func() bool {
		found = f.leaderNow(group)
		return found != nil
	})
	return found
}

func (f *fleet) leaderNow(group uint32) *machine {
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

// add increments a register at the leader until that is known to have worked
// once; it returns the new value. It is used where no fault is under way.
func (f *fleet) add(group uint32, key string) int {
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
func (f *fleet) read(group uint32, key string) int {
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
