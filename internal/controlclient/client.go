// Package controlclient is the client of the control machines. It sends each call
// to the leader of the shard that owns the job, file or key, follows redirects to a
// new leader and retries within a budget.
//
// All calls of the internal services may be retried: Submit, Put and Begin are
// deduplicated by key, Finish by key and owner, completions by fence, Apply by
// number and checksum; stored bodies get new references, and a lease whose response
// is lost expires. A call with an unknown outcome is therefore retried until its
// timeout. If it remains unanswered, the Ran field of the returned fault is
// "not_run" if no attempt can have been executed, and "outcome_unknown" otherwise.
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

const (
	// retryRatio is the number of retries that each call adds to the budget.
	retryRatio = 0.2
	// retryReserve is the maximum retry budget, which bounds bursts of retries.
	retryReserve = 50

	defaultAttemptTimeout = 2 * time.Second
	defaultCallTimeout    = 15 * time.Second
	// extraBodyTimeout is the extra timeout of calls that transfer bodies or a
	// configuration.
	extraBodyTimeout      = 10 * time.Second
	dialTimeout           = 500 * time.Millisecond
	idleConnectionTimeout = 90 * time.Second
	idleConnections       = 64
)

// Options of a client.
type Options struct {
	// Machines lists the control machines.
	Machines []*rockwindpb.ControlMachine
	// Zone is the caller's zone. Calls that any machine can answer prefer machines
	// of this zone.
	Zone string
	// HTTPClient sends the requests. The default uses NewTransport.
	HTTPClient *http.Client
	// Secure enables TLS. HTTPClient must be configured for it.
	Secure bool
	// AttemptTimeout is the timeout of one attempt, 2 s by default. The wait time
	// of long polls is added to it.
	AttemptTimeout time.Duration
	// CallTimeout is the timeout of calls whose context has no deadline, 15 s by
	// default. The wait time of long polls is added to it.
	CallTimeout time.Duration
	// Random returns a number in [0, 1) for jitter. The default is math/rand.
	Random func() float64
}

// Client is a client of all control machines. It is safe for concurrent use.
type Client struct {
	options  Options
	machines []*machine
	budget   *retry.Budget

	// idle is set if the last long poll of all shards found no work.
	idle atomic.Bool

	mutex   sync.Mutex
	shards  uint32
	leaders map[uint32]*machine
	// members holds the names of the machines that replicate each group.
	members map[uint32][]string
	// rotation is the start position of the next round-robin order of machines.
	rotation int
}

// machine holds the service clients of one control machine.
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

	// unresponsiveUntil is the time until which the machine is ordered last, in Unix
	// nanoseconds.
	unresponsiveUntil atomic.Int64
}

// unresponsivePeriod is how long a machine is ordered last after it did not answer.
const unresponsivePeriod = 3 * time.Second

func (m *machine) markUnresponsive() {
	m.unresponsiveUntil.Store(time.Now().Add(unresponsivePeriod).UnixNano())
}

func (m *machine) unresponsive() bool {
	return time.Now().UnixNano() < m.unresponsiveUntil.Load()
}

// New returns a client of the given control machines. It does not connect yet.
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
	client.rotation = int(options.Random() * float64(len(client.machines)))
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

// NewTransport returns an HTTP transport that keeps idle connections to the control
// machines open and has a short dial timeout.
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
	baseURL := scheme + settings.GetAddress()
	httpClient := twirphttp.Client{HTTPClient: options.HTTPClient}
	return &machine{
		name:          settings.GetMachine(),
		zone:          settings.GetZone(),
		address:       settings.GetAddress(),
		replica:       rockwindpb.NewReplicaServiceProtobufClient(baseURL, httpClient),
		configuration: rockwindpb.NewConfigurationServiceProtobufClient(baseURL, httpClient),
		jobs:          rockwindpb.NewJobServiceProtobufClient(baseURL, httpClient),
		records:       rockwindpb.NewRecordServiceProtobufClient(baseURL, httpClient),
		files:         rockwindpb.NewFileServiceProtobufClient(baseURL, httpClient),
		bodies:        rockwindpb.NewBodyServiceProtobufClient(baseURL, httpClient),
		fleet:         rockwindpb.NewFleetServiceProtobufClient(baseURL, gzipClient{httpClient}),
	}
}

// Shards returns the number of job shards. The first call asks a control machine
// and caches the answer.
func (c *Client) Shards(ctx context.Context) (uint32, error) {
	c.mutex.Lock()
	known := c.shards
	c.mutex.Unlock()
	if known > 0 {
		return known, nil
	}
	identity, err := call(ctx, c, c.toAny(), readCall, identify, &rockwindpb.IdentityRequest{})
	if err != nil {
		return 0, err
	}
	c.updateGroups(identity)
	return shardCount(identity), nil
}

// identify returns the groups that one machine knows. It fails with Unavailable if
// the machine has not joined a cluster, for example because its disk was replaced.
func identify(ctx context.Context, target *machine, request *rockwindpb.IdentityRequest) (*rockwindpb.IdentityResponse, error) {
	identity, err := target.replica.Identity(ctx, request)
	if err == nil && shardCount(identity) == 0 {
		return nil, fault.Newf(fault.Unavailable, "found the cluster, or wait until the machine has joined it",
			"control machine %s belongs to no cluster", target.name).WithRan(fault.NotRun)
	}
	return identity, err
}

// updateGroups caches the number of shards and the leader and members of each
// group. The machine names of a group's members never change.
func (c *Client) updateGroups(identity *rockwindpb.IdentityResponse) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.shards = shardCount(identity)
	for _, group := range identity.GetGroups() {
		leader := c.machineByAddress(group.GetLeaderAddress())
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

// shardCount returns the highest group number. Group 0 is the root group, the
// others are job shards.
func shardCount(identity *rockwindpb.IdentityResponse) uint32 {
	highest := uint32(0)
	for _, group := range identity.GetGroups() {
		highest = max(highest, group.GetGroup())
	}
	return highest
}

func (c *Client) machineByAddress(address string) *machine {
	for _, candidate := range c.machines {
		if candidate.address == address {
			return candidate
		}
	}
	return nil
}
