package configuration

import (
	"crypto/sha256"
	"strings"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// adapterSeparator separates model and adapter in the model name of a request.
const adapterSeparator = ":"

// Index is an immutable form of a configuration for lookups. It is safe for
// concurrent use. The returned messages and slices are shared and must not be
// modified.
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

// lookup finds objects of one kind by name; list is sorted by name.
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

// Empty returns the index that is used before a configuration is accepted: it has
// number zero and no objects.
func Empty() *Index {
	empty := newIndex(0, nil)
	empty.setLookups(nil, nil, nil)
	return empty
}

// NewIndex builds the index of a configuration; nil means an empty one. It fails
// with fault.Corrupt if two objects have the same key.
func NewIndex(configuration *rockwindpb.Configuration) (*Index, error) {
	entries, err := newEntries(Objects(configuration))
	if err != nil {
		return nil, err
	}
	built := newIndex(configuration.GetNumber(), entries)
	built.setLookups(nil, nil, nil)
	return built, nil
}

// newIndex returns an index without its lookups.
func newIndex(number uint64, entries []entry) *Index {
	return &Index{number: number, checksum: computeChecksum(number, entries), entries: entries}
}

// kindSet is a set of object kinds.
type kindSet map[rockwindpb.ObjectKind]bool

func changedKinds(changed []entry, removed []Key) kindSet {
	kinds := make(kindSet)
	for i := range changed {
		kinds[changed[i].key.Kind] = true
	}
	for _, key := range removed {
		kinds[key.Kind] = true
	}
	return kinds
}

// setLookups builds the lookups of the kinds that a change affects, and shares the
// others with the previous index. Without a previous index it builds all of them.
func (x *Index) setLookups(before *Index, changed []entry, removed []Key) {
	kinds := changedKinds(changed, removed)
	configuration := x.Configuration()
	rebuild := func(kind rockwindpb.ObjectKind) bool { return before == nil || kinds[kind] }
	if before != nil {
		x.groups, x.tenants, x.models = before.groups, before.tenants, before.models
		x.services, x.classes, x.backEnds = before.services, before.classes, before.backEnds
		x.routes = before.routes
	}
	x.limits = configuration.GetClientLimits()
	x.policy = configuration.GetPolicy()
	if x.policy == nil {
		x.policy = defaultPolicy()
	}
	if rebuild(rockwindpb.ObjectKind_OBJECT_KIND_GROUP) {
		x.groups = newLookup(configuration.GetGroups())
	}
	switch {
	case before == nil:
		x.tenants = newTenantLookup(configuration.GetTenants())
	case kinds[rockwindpb.ObjectKind_OBJECT_KIND_TENANT]:
		x.tenants = before.tenants.apply(configuration.GetTenants(), changed, removed)
	}
	if rebuild(rockwindpb.ObjectKind_OBJECT_KIND_MODEL) {
		x.models = newLookup(configuration.GetModels())
	}
	if rebuild(rockwindpb.ObjectKind_OBJECT_KIND_SERVICE) {
		x.services = newLookup(configuration.GetServices())
	}
	if rebuild(rockwindpb.ObjectKind_OBJECT_KIND_BATCH_CLASS) {
		x.classes = newLookup(configuration.GetBatchClasses())
	}
	if rebuild(rockwindpb.ObjectKind_OBJECT_KIND_BACK_END) {
		x.backEnds = newBackEndLookup(configuration.GetBackEnds())
	}
	if rebuild(rockwindpb.ObjectKind_OBJECT_KIND_ROUTE) {
		x.routes = newRouteLookup(configuration.GetRoutes())
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

// Configuration returns the configuration in canonical order, as a new message that
// shares its objects with the index.
func (x *Index) Configuration() *rockwindpb.Configuration {
	configuration := &rockwindpb.Configuration{Number: x.number}
	for i := range x.entries {
		addObject(configuration, x.entries[i].object)
	}
	return configuration
}

// FullChange returns a change that contains the whole configuration.
func (x *Index) FullChange() *rockwindpb.ConfigurationChange {
	change := &rockwindpb.ConfigurationChange{Number: x.number, Full: true, Checksum: x.Checksum()}
	for i := range x.entries {
		change.Upserts = append(change.Upserts, x.entries[i].object)
	}
	return change
}

// Number returns the number of the configuration; zero before the first.
func (x *Index) Number() uint64 { return x.number }

// Checksum returns the checksum of the configuration.
func (x *Index) Checksum() []byte { return append([]byte(nil), x.checksum[:]...) }

// Len returns the number of objects.
func (x *Index) Len() int { return len(x.entries) }

// Policy returns the policy of the fleet, with defaults if the configuration has
// none.
func (x *Index) Policy() *rockwindpb.Policy { return x.policy }

// Group returns a group by name.
func (x *Index) Group(name string) (*rockwindpb.Group, bool) { return x.groups.get(name) }

// Groups returns the groups, sorted by name.
func (x *Index) Groups() []*rockwindpb.Group { return x.groups.list }

// Tenant returns a tenant by name.
func (x *Index) Tenant(name string) (*rockwindpb.Tenant, bool) { return x.tenants.byName.get(name) }

// Tenants returns the tenants, sorted by name.
func (x *Index) Tenants() []*rockwindpb.Tenant { return x.tenants.list }

// TenantByAPIKey returns the tenant that owns an API key.
func (x *Index) TenantByAPIKey(apiKey string) (*rockwindpb.Tenant, bool) {
	return x.TenantByKeyHash(sha256.Sum256([]byte(apiKey)))
}

// TenantByKeyHash returns the tenant that owns the API key with a SHA-256.
func (x *Index) TenantByKeyHash(hash Hash) (*rockwindpb.Tenant, bool) {
	return x.tenants.byKey.get(hash)
}

// Model returns a model by its name without an adapter.
func (x *Index) Model(name string) (*rockwindpb.Model, bool) { return x.models.get(name) }

// ResolveModel returns the model that a request names as "model" or
// "model:adapter". It finds nothing if the model does not have the adapter.
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

// Models returns the models, sorted by name.
func (x *Index) Models() []*rockwindpb.Model { return x.models.list }

// Service returns a service by name.
func (x *Index) Service(name string) (*rockwindpb.Service, bool) { return x.services.get(name) }

// Services returns the services, sorted by name.
func (x *Index) Services() []*rockwindpb.Service { return x.services.list }

// BatchClass returns a batch class by name.
func (x *Index) BatchClass(name string) (*rockwindpb.BatchClass, bool) { return x.classes.get(name) }

// BatchClasses returns the batch classes, sorted by name.
func (x *Index) BatchClasses() []*rockwindpb.BatchClass { return x.classes.list }

// BackEnd returns a back end by name.
func (x *Index) BackEnd(name string) (*rockwindpb.BackEnd, bool) { return x.backEnds.get(name) }

// BackEndByAddress returns a back end by its address, as written in the
// configuration.
func (x *Index) BackEndByAddress(address string) (*rockwindpb.BackEnd, bool) {
	backEnd, found := x.backEnds.byAddress[address]
	return backEnd, found
}

// BackEnds returns the back ends, sorted by name.
func (x *Index) BackEnds() []*rockwindpb.BackEnd { return x.backEnds.list }

// Engines returns the engines that may load a model.
func (x *Index) Engines(model string) []*rockwindpb.BackEnd { return x.backEnds.engines[model] }

// Instances returns the instances of a service.
func (x *Index) Instances(service string) []*rockwindpb.BackEnd { return x.backEnds.instances[service] }
