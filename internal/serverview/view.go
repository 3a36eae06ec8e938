package serverview

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/upstream"
)

// Extra time of a round trip to another zone.
const otherZoneCost = 2 * time.Millisecond

// Model of a step that estimates start from, before anything was measured.
const (
	stepBase         = 10 * time.Millisecond
	stepPerSequence  = 100 * time.Microsecond
	stepPerPrompt    = 25 * time.Microsecond
	meanPromptTokens = 256
)

// Options of a view.
type Options struct {
	// Gateway is the name under which peers know this gateway.
	Gateway string
	// Zone is the gateway's own zone.
	Zone string
	// Client carries polls and probes.
	Client *upstream.Client
	// PlatformURL is the platform's list of machines; empty when there is none.
	PlatformURL string
	// Random draws choices and jitter.
	Random *rand.Rand
}

// View is what one gateway knows of the back ends.
type View struct {
	options Options
	epoch   time.Time

	// outcomes carries evidence to the owner goroutine.
	outcomes chan evidence
	// online holds a token while the online load of an own server changed.
	online chan struct{}
	// news tells the exchange that something must be passed on at once.
	news chan struct{}

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	random  *rand.Rand
	routing routing.View
	names   *routing.Names
	entries []*entry
	// owned lists the entries that this gateway polls and feeds batch.
	owned  []*entry
	byName map[string]*entry
	models map[string]loadable
	zones  []string
	peers  []string
	// startedAt is when the view was made.
	startedAt time.Duration
	// exchangedAt is when digests were last exchanged; zero before the first.
	exchangedAt time.Duration
	// prefixes knows which server, by slot, caches which prefixes, and hints is
	// reused by every choice.
	prefixes    *routing.PrefixIndex
	hints       []routing.Hint
	bySlot      map[int]*entry
	cacheBudget byteBudget
	tracker     *health.Tracker
	slots       slotTable
	// tail estimates the tail of online alone.
	tail sharing.TailEstimator
	// ownedFirst chooses back ends of models.
	ownedFirst routing.OwnedFirst
	// tickets numbers the attempts of online requests.
	tickets uint64
	// step is the target of steps that hold online requests.
	stepTarget time.Duration
}

// entry is one back end. Its routing state is routing.Servers[index].
type entry struct {
	name    string
	address string
	zone    string
	kind    rockwindpb.BackEndKind
	serves  []string
	index   int
	// slot is the entry's number in the health tracker.
	slot int
	// loaded lists loadable names by the newest report; nil before any report.
	loaded  []string
	history history
	leaving leavingState
	// digestHealth is what the server's owner said of it.
	digestHealth rockwindpb.HealthState
	// report is the newest load report.
	report loadReport
	// reportedAt is when report was taken; zero before any report.
	reportedAt time.Duration
	// nextPoll is when the server is polled next, and polling is set meanwhile.
	nextPoll time.Duration
	// refused is set once the server refused a request, until it was asked
	// whether it takes any.
	refused bool
	// questionAt is when it was asked last after a refusal.
	questionAt time.Duration
	// lagging tells that the server's load reports are old when they arrive.
	lagging bool
	polling bool
	// nextCacheRead is when the server's cache events may be read next.
	nextCacheRead time.Duration
	// snapshotAt is when a snapshot of the cache was read last; zero before any.
	snapshotAt time.Duration
	batch      *batchState
	// own is set where this gateway polls the server and feeds it batch.
	own bool
	// sentLoaded and sentCount tell what the last digests held.
	sentLoaded   []string
	sentCount    int
	accelerators uint32
}

// loadable is a model or service with the versions that answer for it.
type loadable struct {
	versions []routing.WeightedVersion
	adapters map[string]routing.NameID
}

// Config is the part of a configuration that the view needs.
type Config struct {
	// Models, Services and BackEnds are the objects of the configuration.
	Models   []*rockwindpb.Model
	Services []*rockwindpb.Service
	BackEnds []*rockwindpb.BackEnd
	// StepTarget bounds a step that holds online requests.
	StepTarget time.Duration
}

// New returns an empty view.
func New(options Options) *View {
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	v := &View{
		options:  options,
		epoch:    time.Now().Add(-time.Hour),
		outcomes: make(chan evidence, evidenceBuffer),
		online:   make(chan struct{}, 1),
		news:     make(chan struct{}, 1),
		random:   options.Random,
		byName:   make(map[string]*entry),
		prefixes: routing.NewPrefixIndex(),
		tracker:  health.NewTracker(health.DefaultPolicy, 0),
	}
	v.startedAt = v.now()
	v.Configure(Config{})
	return v
}

// now is the time since the view's epoch. The epoch lies before the start, so
// that zero always means "never".
func (v *View) now() time.Duration {
	return time.Since(v.epoch)
}

// Configure puts a configuration in force. What is known of servers that stay
// is kept.
func (v *View) Configure(declared Config) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.names = routing.NewNames()
	v.models = make(map[string]loadable)
	for _, model := range declared.Models {
		v.models[modelKey(model.GetName())] = v.loadable(model.GetName(), model.GetVersions(), model.GetAdapters())
	}
	for _, service := range declared.Services {
		v.models[serviceKey(service.GetName())] = v.loadable(service.GetName(), service.GetVersions(), nil)
	}
	v.stepTarget = declared.StepTarget
	v.rebuild(declared.BackEnds)
}

// Keys keep models and services of the same name apart.
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

// rebuild lays the servers out by zone, the own zone first.
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
			v.layOut(backEnd, uint16(number), old[backEnd.GetName()], oldServers, &fresh)
		}
		cost := otherZoneCost
		if zone == v.options.Zone {
			cost = 0
		}
		fresh.Zones = append(fresh.Zones, routing.Zone{First: int32(first), Count: int32(len(fresh.Servers) - first), ExtraRTT: cost})
	}
	v.forgetRemoved(old)
	v.routing = fresh
	v.assignOwners()
	for _, e := range v.entries {
		v.publish(e)
	}
}

func (v *View) layOut(backEnd *rockwindpb.BackEnd, zone uint16, known *entry, oldServers []routing.Server, fresh *routing.View) {
	var server routing.Server
	e := &entry{name: backEnd.GetName(), slot: noSlot, batch: &batchState{}}
	switch {
	case known != nil && known.address == backEnd.GetAddress():
		e = known
		server = oldServers[known.index]
	case known != nil:
		// Another process under the same name: only the counts of requests in
		// flight carry over, so that each is counted down where it was counted.
		server.OwnOnline = oldServers[known.index].OwnOnline
		server.OwnBatch = oldServers[known.index].OwnBatch
		e.slot, e.batch = known.slot, known.batch
		v.tracker.Forget(e.slot)
		v.prefixes.RemoveServer(int32(e.slot))
	}
	if e.slot == noSlot {
		e.slot = v.slots.take()
		v.tracker.Resize(v.slots.size())
		v.tracker.Forget(e.slot)
	}
	e.address, e.zone, e.kind = backEnd.GetAddress(), backEnd.GetZone(), backEnd.GetKind()
	e.serves = serves(backEnd)
	e.accelerators = backEnd.GetAccelerators()
	e.index = len(fresh.Servers)
	server.Zone = zone
	server.Key = xxhash.Sum64String(e.name)
	server.Accelerators = uint16(min(backEnd.GetAccelerators(), maximumAccelerators))
	fresh.Servers = append(fresh.Servers, server)
	v.entries = append(v.entries, e)
	v.byName[e.name] = e
	v.bySlot[e.slot] = e
}

const maximumAccelerators = 1 << 15

// forgetRemoved gives the health slots of removed servers back.
func (v *View) forgetRemoved(old map[string]*entry) {
	for name, e := range old {
		if v.byName[name] == nil {
			v.prefixes.RemoveServer(int32(e.slot))
			v.slots.give(e.slot)
		}
	}
}

func costModel() routing.CostModel {
	return routing.CostModel{
		StepBase: stepBase, PerSequence: stepPerSequence,
		PerPromptToken: stepPerPrompt, MeanPromptTokens: meanPromptTokens,
	}
}

// zoneOrder lists the zones, the own one first.
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

// serves lists the loadable prefixes that a back end may hold: a service
// instance holds one version, an engine any version of its models.
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

// publish writes what is known of an entry into the routing view.
func (v *View) publish(e *entry) {
	server := &v.routing.Servers[e.index]
	server.Leaving = e.leaving.out()
	server.Loaded = v.loadedSet(e)
	v.publishHealth(e)
}

// loadedSet is what the server can run now. Before any report it is everything
// that the configuration lets it hold: a server that does not hold it refuses.
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
