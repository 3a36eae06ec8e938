package serverview

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/upstream"
)

// otherZoneCost is the additional round-trip time to another zone.
const otherZoneCost = 2 * time.Millisecond

// Default cost model.
const (
	stepBase         = 10 * time.Millisecond
	stepPerSequence  = 100 * time.Microsecond
	stepPerPrompt    = 25 * time.Microsecond
	meanPromptTokens = 256
)

type Options struct {
	// Gateway is this gateway's name among its peers.
	Gateway string
	// Zone is the gateway's own zone.
	Zone string
	// Client sends polls and probes.
	Client *upstream.Client
	// PlatformURL is the base URL of the platform's machine list; empty if
	// there is none.
	PlatformURL string
	// Random is the source of randomness for routing and poll jitter; nil for a
	// randomly seeded one.
	Random *rand.Rand
}

// View is one gateway's knowledge of the back-end servers.
type View struct {
	options Options
	epoch   time.Time
	// polls numbers the polls, whose identifiers must differ.
	polls atomic.Uint64

	// outcomes passes request outcomes to the owner goroutine.
	outcomes chan serverOutcome
	// onlineChanged holds a token after the online load of an owned server
	// changed.
	onlineChanged chan struct{}
	// exchangeRequested holds a token if an immediate exchange is requested.
	exchangeRequested chan struct{}

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	random  *rand.Rand
	routing routing.View
	names   *routing.Names
	entries []*entry
	// owned lists the servers that this gateway polls and assigns batch work
	// to.
	owned  []*entry
	byName map[string]*entry
	models map[string]loadable
	zones  []string
	peers  []string
	// startedAt is when the view was created.
	startedAt time.Duration
	// exchangedAt is the time of the last exchange; zero before the first.
	exchangedAt time.Duration
	// prefixes records which servers, by slot, cache which prefixes. hints is
	// the buffer of hintsFor.
	prefixes    *routing.PrefixIndex
	hints       []routing.Hint
	bySlot      map[int]*entry
	cacheBudget byteBudget
	tracker     *health.Tracker
	slots       slotTable
	// tail estimates the tail latency of online requests without batch work.
	tail sharing.TailEstimator
	// ownedFirst is the routing policy for models.
	ownedFirst routing.OwnedFirst
	// lastAttemptID is the ID of the newest attempt of an online request.
	lastAttemptID uint64
	// stepTarget is the target duration of steps with online requests.
	stepTarget time.Duration
}

// entry is one server. Its routing state is routing.Servers[index].
type entry struct {
	name    string
	address string
	zone    string
	kind    rockwindpb.BackEndKind
	serves  []string
	index   int
	// slot is the server's number in the health tracker and prefix index.
	slot int
	// loaded lists the loaded names of the newest report; nil before any
	// report.
	loaded  []string
	history requestHistory
	leaving leavingState
	// digestHealth is the health reported by the server's owner.
	digestHealth rockwindpb.HealthState
	// report is the newest load report.
	report loadReport
	// reportedAt is when report was taken; zero before any report.
	reportedAt time.Duration
	// nextPoll is when the next poll is due. polling is set while one is in
	// progress.
	nextPoll time.Duration
	// refused is set after the server refused a request, until its readiness is
	// checked.
	refused bool
	// readinessCheckedAt is the time of the last readiness check after a
	// refusal.
	readinessCheckedAt time.Duration
	// lagging is set if the server's load reports are old when they arrive.
	lagging bool
	polling bool
	// nextCacheRead is when the server's cache events may be read again.
	nextCacheRead time.Duration
	// snapshotAt is when a snapshot of the cache was last read; zero before
	// any.
	snapshotAt time.Duration
	batch      *batchState
	// owned is set if this gateway polls the server and assigns batch work to
	// it.
	owned bool
	// sentLoaded is the list of loaded names last sent in a digest, sentCount
	// the number of digests sent.
	sentLoaded   []string
	sentCount    int
	accelerators uint32
}

// loadable is a model or service with its versions and adapters.
type loadable struct {
	versions []routing.WeightedVersion
	adapters map[string]routing.NameID
}

// Config is the part of the configuration that the view needs.
type Config struct {
	// Models, Services and BackEnds are the objects of the configuration.
	Models   []*rockwindpb.Model
	Services []*rockwindpb.Service
	BackEnds []*rockwindpb.BackEnd
	// StepTarget is the maximum duration of a step with online requests.
	StepTarget time.Duration
}

// New returns an empty view.
func New(options Options) *View {
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	v := &View{
		options:           options,
		epoch:             time.Now().Add(-time.Hour),
		outcomes:          make(chan serverOutcome, outcomeBuffer),
		onlineChanged:     make(chan struct{}, 1),
		exchangeRequested: make(chan struct{}, 1),
		random:            options.Random,
		byName:            make(map[string]*entry),
		prefixes:          routing.NewPrefixIndex(),
		tracker:           health.NewTracker(health.DefaultPolicy, 0),
	}
	v.startedAt = v.now()
	v.Configure(Config{})
	return v
}

// now is the time since the view's epoch, which lies before its creation so
// that zero always means "never".
func (v *View) now() time.Duration {
	return time.Since(v.epoch)
}

// Configure applies a configuration. The state of servers that remain is kept.
func (v *View) Configure(config Config) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.names = routing.NewNames()
	v.models = make(map[string]loadable)
	for _, model := range config.Models {
		v.models[modelKey(model.GetName())] = v.loadable(model.GetName(), model.GetVersions(), model.GetAdapters())
	}
	for _, service := range config.Services {
		v.models[serviceKey(service.GetName())] = v.loadable(service.GetName(), service.GetVersions(), nil)
	}
	v.stepTarget = config.StepTarget
	v.rebuild(config.BackEnds)
}

// The prefixes keep models and services of the same name apart.
func modelKey(name string) string   { return "model/" + name }
func serviceKey(name string) string { return "service/" + name }

func (v *View) loadable(name string, versions []*rockwindpb.Version, adapters []string) loadable {
	result := loadable{adapters: make(map[string]routing.NameID, len(adapters))}
	for _, version := range versions {
		if id, ok := v.names.ID(name + "@" + version.GetName()); ok && version.GetWeight() > 0 {
			result.versions = append(result.versions, routing.WeightedVersion{Name: id, Weight: version.GetWeight()})
		}
	}
	for _, adapter := range adapters {
		if id, ok := v.names.ID(name + ":" + adapter); ok {
			result.adapters[adapter] = id
		}
	}
	return result
}

// rebuild lays out the servers by zone, the local zone first. The caller holds
// the lock.
func (v *View) rebuild(backEnds []*rockwindpb.BackEnd) {
	v.zones = zoneOrder(v.options.Zone, backEnds)
	old, oldServers := v.byName, v.routing.Servers
	v.byName = make(map[string]*entry, len(backEnds))
	v.bySlot = make(map[int]*entry, len(backEnds))
	v.entries = nil
	fresh := routing.View{Cost: costModel()}
	for number, zone := range v.zones {
		first := len(fresh.Servers)
		for _, backEnd := range backEnds {
			if backEnd.GetZone() != zone {
				continue
			}
			v.addServer(backEnd, uint16(number), old[backEnd.GetName()], oldServers, &fresh)
		}
		cost := otherZoneCost
		if zone == v.options.Zone {
			cost = 0
		}
		fresh.Zones = append(fresh.Zones, routing.Zone{First: int32(first), Count: int32(len(fresh.Servers) - first), ExtraRTT: cost})
	}
	v.releaseRemoved(old)
	v.routing = fresh
	v.assignOwners()
	for _, e := range v.entries {
		v.publish(e)
	}
}

// addServer adds a server to the view that is being built, with the state of a
// known server of the same name and address.
func (v *View) addServer(backEnd *rockwindpb.BackEnd, zone uint16, known *entry, oldServers []routing.Server, fresh *routing.View) {
	var server routing.Server
	e := &entry{name: backEnd.GetName(), slot: noSlot, batch: &batchState{}}
	switch {
	case known != nil && known.address == backEnd.GetAddress():
		e = known
		server = oldServers[known.index]
	case known != nil:
		// A different process under the same name: keep only the counts of
		// in-flight requests, which are decremented when those requests end.
		server.OwnOnline = oldServers[known.index].OwnOnline
		server.OwnBatch = oldServers[known.index].OwnBatch
		e.slot, e.batch = known.slot, known.batch
		v.tracker.Forget(e.slot)
		v.prefixes.RemoveServer(int32(e.slot))
	}
	if e.slot == noSlot {
		e.slot = v.slots.allocate()
		v.tracker.Resize(v.slots.size())
		v.tracker.Forget(e.slot)
	}
	e.address, e.zone, e.kind = backEnd.GetAddress(), backEnd.GetZone(), backEnd.GetKind()
	e.serves = serves(backEnd)
	e.accelerators = backEnd.GetAccelerators()
	e.index = len(fresh.Servers)
	server.Zone = zone
	server.Key = xxhash.Sum64String(e.name)
	server.Accelerators = uint16(min(backEnd.GetAccelerators(), maxAccelerators))
	fresh.Servers = append(fresh.Servers, server)
	v.entries = append(v.entries, e)
	v.byName[e.name] = e
	v.bySlot[e.slot] = e
}

const maxAccelerators = 1 << 15

// releaseRemoved releases the slots of removed servers.
func (v *View) releaseRemoved(old map[string]*entry) {
	for name, e := range old {
		if v.byName[name] == nil {
			v.prefixes.RemoveServer(int32(e.slot))
			v.slots.release(e.slot)
		}
	}
}

func costModel() routing.CostModel {
	return routing.CostModel{
		StepBase: stepBase, PerSequence: stepPerSequence,
		PerPromptToken: stepPerPrompt, MeanPromptTokens: meanPromptTokens,
	}
}

// zoneOrder lists the zones, the local zone first.
func zoneOrder(own string, backEnds []*rockwindpb.BackEnd) []string {
	order := []string{own}
	seen := map[string]bool{own: true}
	for _, backEnd := range backEnds {
		if !seen[backEnd.GetZone()] {
			seen[backEnd.GetZone()] = true
			order = append(order, backEnd.GetZone())
		}
	}
	return order
}

// serves lists what a back end may have loaded: a service instance one version
// of its services, an engine any version of its models.
func serves(backEnd *rockwindpb.BackEnd) []string {
	if backEnd.GetKind() != rockwindpb.BackEndKind_BACK_END_KIND_SERVICE {
		return backEnd.GetServes()
	}
	var names []string
	for _, service := range backEnd.GetServes() {
		names = append(names, service+"@"+backEnd.GetVersion())
	}
	return names
}

// publish writes an entry's state into the routing view. The caller holds the
// lock.
func (v *View) publish(e *entry) {
	server := &v.routing.Servers[e.index]
	server.Leaving = e.leaving.excluded()
	server.Loaded = v.loadedSet(e)
	v.publishHealth(e)
}

// loadedSet returns what the server can serve now. Before any report, it
// assumes everything that the configuration allows; a server that hasn't loaded
// it refuses the request.
func (v *View) loadedSet(e *entry) routing.Set {
	var set routing.Set
	if e.kind == rockwindpb.BackEndKind_BACK_END_KIND_SERVICE {
		v.addNames(&set, e.serves)
		return set
	}
	if e.loaded != nil {
		v.addNames(&set, e.loaded)
		return set
	}
	for _, model := range e.serves {
		known := v.models[modelKey(model)]
		for _, version := range known.versions {
			set.Add(version.Name)
		}
		for _, adapter := range known.adapters {
			set.Add(adapter)
		}
	}
	return set
}

func (v *View) addNames(set *routing.Set, names []string) {
	for _, name := range names {
		if id, ok := v.names.Lookup(name); ok {
			set.Add(id)
		}
	}
}
