// Package controlclient calls the control machines: it finds the leader of the
// shard that owns a job, a file or a key, follows hints to a new leader, and
// repeats what may be repeated within a budget.
//
// Every call of rockwind's internal services may be repeated: Submit, Put and
// Begin are matched by key, Finish by key and owner, completions by fence, Apply
// by number and checksum, bodies are stored under fresh references. So a call
// whose outcome is unknown is sent again until the context ends. What is left
// unanswered then is reported as a fault whose Ran field tells "not_run" (no
// attempt can have been executed) from "outcome_unknown".
package controlclient

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
)

// Defaults of Options.
const (
	// retryRatio is the part of a retry that each call earns.
	retryRatio = 0.2
	// retryReserve is how many retries may be spent in a burst.
	retryReserve = 50

	defaultAttemptTimeout = 2 * time.Second
	defaultCallTimeout    = 15 * time.Second
	defaultBodyTimeout    = 10 * time.Second
	dialTimeout           = 500 * time.Millisecond
	idleConnectionTimeout = 90 * time.Second
	idleConnections       = 64
)

// Options of a client.
type Options struct {
	// Machines lists the control machines.
	Machines []*rockwindpb.ControlMachine
	// Zone is the caller's zone; machines of the same zone are preferred where
	// any machine may answer.
	Zone string
	// HTTPClient carries the calls; nil makes one that keeps connections open.
	HTTPClient *http.Client
	// Secure makes the client speak TLS; the HTTPClient must be set up for it.
	Secure bool
	// AttemptTimeout bounds one attempt at one machine; zero means 2 s. Time that
	// the call asks the machine to wait comes on top.
	AttemptTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline; zero means 15 s.
	CallTimeout time.Duration
	// Random returns a number in [0, 1) for jitter; nil uses math/rand.
	Random func() float64
}

// Client calls the control machines. It is safe for concurrent use.
type Client struct {
	options  Options
	machines []*machine
	budget   *retry.Budget

	// idle is set while the last wait for work at all shards ended without any.
	idle atomic.Bool

	mutex   sync.Mutex
	shards  uint32
	leaders map[uint32]*machine
	// members holds the names of the machines that replicate each group.
	members map[uint32][]string
	rotate  int
}

// machine holds the connections to one control machine.
type machine struct {
	name          string
	zone          string
	address       string
	replica       rockwindpb.ReplicaService
	configuration rockwindpb.ConfigurationService
	jobs          rockwindpb.JobService
	records       rockwindpb.RecordService
	files         rockwindpb.FileService
	bodies        rockwindpb.BodyService
	fleet         rockwindpb.FleetService

	// pausedUntil is when a machine that did not answer is preferred again, in
	// Unix nanoseconds.
	pausedUntil atomic.Int64
}

// machinePause is how long a machine that did not answer is asked last.
const machinePause = 3 * time.Second

func (m *machine) pause() {
	m.pausedUntil.Store(time.Now().Add(machinePause).UnixNano())
}

func (m *machine) paused() bool {
	return time.Now().UnixNano() < m.pausedUntil.Load()
}

// New returns a client of the given control machines. It makes no call.
func New(options Options) *Client {
	options = withDefaults(options)
	client := &Client{
		options: options,
		budget:  retry.NewBudget(retryReserve),
		leaders: make(map[uint32]*machine),
		members: make(map[uint32][]string),
	}
	for _, settings := range options.Machines {
		client.machines = append(client.machines, newMachine(options, settings))
	}
	client.rotate = int(options.Random() * float64(len(client.machines)))
	return client
}

func withDefaults(options Options) Options {
	if options.HTTPClient == nil {
		options.HTTPClient = &http.Client{Transport: NewTransport()}
	}
	if options.AttemptTimeout <= 0 {
		options.AttemptTimeout = defaultAttemptTimeout
	}
	if options.CallTimeout <= 0 {
		options.CallTimeout = defaultCallTimeout
	}
	if options.Random == nil {
		options.Random = rand.Float64
	}
	return options
}

// NewTransport returns an HTTP transport that keeps connections to the control
// machines open and gives up dialling early.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	}
}

func newMachine(options Options, settings *rockwindpb.ControlMachine) *machine {
	scheme := "http://"
	if options.Secure {
		scheme = "https://"
	}
	base := scheme + settings.GetAddress()
	carrier := twirphttp.Client{HTTPClient: options.HTTPClient}
	return &machine{
		name:          settings.GetMachine(),
		zone:          settings.GetZone(),
		address:       settings.GetAddress(),
		replica:       rockwindpb.NewReplicaServiceProtobufClient(base, carrier),
		configuration: rockwindpb.NewConfigurationServiceProtobufClient(base, carrier),
		jobs:          rockwindpb.NewJobServiceProtobufClient(base, carrier),
		records:       rockwindpb.NewRecordServiceProtobufClient(base, carrier),
		files:         rockwindpb.NewFileServiceProtobufClient(base, carrier),
		bodies:        rockwindpb.NewBodyServiceProtobufClient(base, carrier),
		fleet:         rockwindpb.NewFleetServiceProtobufClient(base, compressedClient{carrier}),
	}
}

// Shards returns the number of job shards, asking a control machine the first
// time.
func (c *Client) Shards(ctx context.Context) (uint32, error) {
	c.mutex.Lock()
	known := c.shards
	c.mutex.Unlock()
	if known > 0 {
		return known, nil
	}
	identity, err := call(ctx, c, c.anywhere(), reading, identify, &rockwindpb.IdentityRequest{})
	if err != nil {
		return 0, err
	}
	c.learn(identity)
	return shardCount(identity), nil
}

// identify asks one machine which groups there are; a machine that belongs to no
// cluster, because it is new or its disk is, does not know.
func identify(ctx context.Context, at *machine, request *rockwindpb.IdentityRequest) (*rockwindpb.IdentityResponse, error) {
	identity, err := at.replica.Identity(ctx, request)
	if err == nil && shardCount(identity) == 0 {
		return nil, fault.Newf(fault.Unavailable, "found the cluster, or wait until the machine has joined it",
			"control machine %s belongs to no cluster", at.name).WithRan(fault.NotRun)
	}
	return identity, err
}

// learn keeps what an identity tells: the number of shards, the leaders and the
// machines that replicate each group. A group never moves to another machine
// name.
func (c *Client) learn(identity *rockwindpb.IdentityResponse) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.shards = shardCount(identity)
	for _, group := range identity.GetGroups() {
		leader := c.byAddress(group.GetLeaderAddress())
		if leader != nil {
			c.leaders[group.GetGroup()] = leader
		}
		var names []string
		for _, member := range group.GetMembership().GetMembers() {
			names = append(names, member.GetMachine())
		}
		c.members[group.GetGroup()] = names
	}
}

func shardCount(identity *rockwindpb.IdentityResponse) uint32 {
	highest := uint32(0)
	for _, group := range identity.GetGroups() {
		highest = max(highest, group.GetGroup())
	}
	return highest
}

func (c *Client) byAddress(address string) *machine {
	for _, candidate := range c.machines {
		if candidate.address == address {
			return candidate
		}
	}
	return nil
}
