package configuration

import (
	"crypto/sha256"
	"strings"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// adapterSeparator stands between model and adapter in the names of requests.
const adapterSeparator = ":"

// Index is one configuration in an immutable form for lookups. All its methods
// may be called by any goroutine. The messages and slices that it returns are
// shared and must not be changed.
type Index struct {
	number   uint64
	checksum Hash
	entries  []entry

	groups   lookup[*rockwindpb.Group]
	tenants  tenantLookup
	models   lookup[*rockwindpb.Model]
	services lookup[*rockwindpb.Service]
	classes  lookup[*rockwindpb.BatchClass]
	backEnds backEndLookup
	policy   *rockwindpb.Policy
	routes   *routeLookup
	limits   *rockwindpb.ClientLimits
}

// lookup finds objects of one kind by name; list is in the order of names.
type lookup[T named] struct {
	list   []T
	byName map[string]T
}

func newLookup[T named](list []T) lookup[T] {
	byName := make(map[string]T, len(list))
	for _, object := range list {
		byName[object.GetName()] = object
	}
	return lookup[T]{list: list, byName: byName}
}

func (l lookup[T]) get(name string) (T, bool) {
	object, found := l.byName[name]
	return object, found
}

type backEndLookup struct {
	lookup[*rockwindpb.BackEnd]
	engines   map[string][]*rockwindpb.BackEnd
	instances map[string][]*rockwindpb.BackEnd
	byAddress map[string]*rockwindpb.BackEnd
}

// Empty returns the index in force before any configuration was accepted: it
// has number zero and no objects.
func Empty() *Index {
	empty := newIndex(0, nil)
	empty.shareLookups(nil, nil, nil)
	return empty
}

// NewIndex builds the index of a configuration; nil stands for the empty one.
// It fails with fault.Corrupt where two objects have the same key.
func NewIndex(configuration *rockwindpb.Configuration) (*Index, error) {
	entries, err := newEntries(Objects(configuration))
	if err != nil {
		return nil, err
	}
	built := newIndex(configuration.GetNumber(), entries)
	built.shareLookups(nil, nil, nil)
	return built, nil
}

// newIndex returns an index without its lookups.
func newIndex(number uint64, entries []entry) *Index {
	return &Index{number: number, checksum: checksumOf(number, entries), entries: entries}
}

// kindSet is a set of object kinds.
type kindSet map[rockwindpb.ObjectKind]bool

func touchedKinds(changed []entry, removed []Key) kindSet {
	touched := make(kindSet)
	for i := range changed {
		touched[changed[i].key.Kind] = true
	}
	for _, key := range removed {
		touched[key.Kind] = true
	}
	return touched
}

// shareLookups builds the lookups of the kinds that a change touched and takes the
// others from the index before. It builds all where there is none before.
func (x *Index) shareLookups(before *Index, changed []entry, removed []Key) {
	touched := touchedKinds(changed, removed)
	whole := x.Configuration()
	fresh := func(kind rockwindpb.ObjectKind) bool { return before == nil || touched[kind] }
	if before != nil {
		x.groups, x.tenants, x.models = before.groups, before.tenants, before.models
		x.services, x.classes, x.backEnds = before.services, before.classes, before.backEnds
		x.routes = before.routes
	}
	x.limits = whole.GetClientLimits()
	x.policy = whole.GetPolicy()
	if x.policy == nil {
		x.policy = defaultPolicy()
	}
	if fresh(rockwindpb.ObjectKind_OBJECT_KIND_GROUP) {
		x.groups = newLookup(whole.GetGroups())
	}
	switch {
	case before == nil:
		x.tenants = newTenantLookup(whole.GetTenants())
	case touched[rockwindpb.ObjectKind_OBJECT_KIND_TENANT]:
		x.tenants = before.tenants.after(whole.GetTenants(), changed, removed)
	}
	if fresh(rockwindpb.ObjectKind_OBJECT_KIND_MODEL) {
		x.models = newLookup(whole.GetModels())
	}
	if fresh(rockwindpb.ObjectKind_OBJECT_KIND_SERVICE) {
		x.services = newLookup(whole.GetServices())
	}
	if fresh(rockwindpb.ObjectKind_OBJECT_KIND_BATCH_CLASS) {
		x.classes = newLookup(whole.GetBatchClasses())
	}
	if fresh(rockwindpb.ObjectKind_OBJECT_KIND_BACK_END) {
		x.backEnds = newBackEndLookup(whole.GetBackEnds())
	}
	if fresh(rockwindpb.ObjectKind_OBJECT_KIND_ROUTE) {
		x.routes = newRouteLookup(whole.GetRoutes())
	}
}

func newBackEndLookup(backEnds []*rockwindpb.BackEnd) backEndLookup {
	result := backEndLookup{
		lookup:    newLookup(backEnds),
		engines:   make(map[string][]*rockwindpb.BackEnd),
		instances: make(map[string][]*rockwindpb.BackEnd),
		byAddress: make(map[string]*rockwindpb.BackEnd, len(backEnds)),
	}
	for _, backEnd := range backEnds {
		result.byAddress[backEnd.GetAddress()] = backEnd
		byName := result.engines
		if backEnd.GetKind() == rockwindpb.BackEndKind_BACK_END_KIND_SERVICE {
			byName = result.instances
		}
		for _, name := range backEnd.GetServes() {
			byName[name] = append(byName[name], backEnd)
		}
	}
	return result
}

// Configuration returns the configuration in canonical order. The message is
// new, the objects in it are shared.
func (x *Index) Configuration() *rockwindpb.Configuration {
	whole := &rockwindpb.Configuration{Number: x.number}
	for i := range x.entries {
		addObject(whole, x.entries[i].object)
	}
	return whole
}

// FullChange returns the change that transfers the whole configuration.
func (x *Index) FullChange() *rockwindpb.ConfigurationChange {
	change := &rockwindpb.ConfigurationChange{Number: x.number, Full: true, Checksum: x.Checksum()}
	for i := range x.entries {
		change.Upserts = append(change.Upserts, x.entries[i].object)
	}
	return change
}

// Number is the number of the configuration; zero before the first.
func (x *Index) Number() uint64 { return x.number }

// Checksum is the SHA-256 checksum of the whole configuration.
func (x *Index) Checksum() []byte { return append([]byte(nil), x.checksum[:]...) }

// Len is the number of objects.
func (x *Index) Len() int { return len(x.entries) }

// Policy is the fleet-wide policy; before the first configuration it holds the
// defaults.
func (x *Index) Policy() *rockwindpb.Policy { return x.policy }

// Group finds a group by name.
func (x *Index) Group(name string) (*rockwindpb.Group, bool) { return x.groups.get(name) }

// Groups lists the groups by name.
func (x *Index) Groups() []*rockwindpb.Group { return x.groups.list }

// Tenant finds a tenant by name.
func (x *Index) Tenant(name string) (*rockwindpb.Tenant, bool) { return x.tenants.byName.get(name) }

// Tenants lists the tenants by name.
func (x *Index) Tenants() []*rockwindpb.Tenant { return x.tenants.list }

// TenantByAPIKey finds the tenant that an API key belongs to.
func (x *Index) TenantByAPIKey(apiKey string) (*rockwindpb.Tenant, bool) {
	return x.TenantByKeyHash(sha256.Sum256([]byte(apiKey)))
}

// TenantByKeyHash finds a tenant by the SHA-256 of one of its API keys.
func (x *Index) TenantByKeyHash(hash Hash) (*rockwindpb.Tenant, bool) {
	return x.tenants.byKey.get(hash)
}

// Model finds a model by name, without an adapter.
func (x *Index) Model(name string) (*rockwindpb.Model, bool) { return x.models.get(name) }

// ResolveModel finds the model that a request names as "model" or as
// "model:adapter". It finds nothing where the model lacks the adapter.
func (x *Index) ResolveModel(requested string) (model *rockwindpb.Model, adapter string, found bool) {
	name, adapter, named := strings.Cut(requested, adapterSeparator)
	model, found = x.models.get(name)
	if !found {
		return nil, "", false
	}
	if !named {
		return model, "", true
	}
	for _, each := range model.GetAdapters() {
		if each == adapter {
			return model, adapter, true
		}
	}
	return nil, "", false
}

// Models lists the models by name.
func (x *Index) Models() []*rockwindpb.Model { return x.models.list }

// Service finds a service by name.
func (x *Index) Service(name string) (*rockwindpb.Service, bool) { return x.services.get(name) }

// Services lists the services by name.
func (x *Index) Services() []*rockwindpb.Service { return x.services.list }

// BatchClass finds a batch class by name.
func (x *Index) BatchClass(name string) (*rockwindpb.BatchClass, bool) { return x.classes.get(name) }

// BatchClasses lists the batch classes by name.
func (x *Index) BatchClasses() []*rockwindpb.BatchClass { return x.classes.list }

// BackEnd finds a back end by name.
func (x *Index) BackEnd(name string) (*rockwindpb.BackEnd, bool) { return x.backEnds.get(name) }

// BackEndByAddress finds a back end by its address as the file gives it.
func (x *Index) BackEndByAddress(address string) (*rockwindpb.BackEnd, bool) {
	backEnd, found := x.backEnds.byAddress[address]
	return backEnd, found
}

// BackEnds lists the back ends by name.
func (x *Index) BackEnds() []*rockwindpb.BackEnd { return x.backEnds.list }

// Engines lists the engines that may hold a model.
func (x *Index) Engines(model string) []*rockwindpb.BackEnd { return x.backEnds.engines[model] }

// Instances lists the instances of a service.
func (x *Index) Instances(service string) []*rockwindpb.BackEnd { return x.backEnds.instances[service] }
