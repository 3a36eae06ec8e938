package configuration

import (
	"encoding/hex"
	"maps"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// tenantLookup finds tenants by name and by key. There are many of them and a
// change touches few, so that the lookup after a change shares most of the one
// before.
type tenantLookup struct {
	list   []*rockwindpb.Tenant
	byName layered[string]
	byKey  layered[Hash]
	// sharedKeys tells that two tenants have one key. A checked configuration has
	// none.
	sharedKeys bool
}

func newTenantLookup(tenants []*rockwindpb.Tenant) tenantLookup {
	built := tenantLookup{
		list:   tenants,
		byName: layered[string]{base: make(map[string]*rockwindpb.Tenant, len(tenants))},
		byKey:  layered[Hash]{base: make(map[Hash]*rockwindpb.Tenant, len(tenants))},
	}
	for _, tenant := range tenants {
		built.byName.base[tenant.GetName()] = tenant
		for _, hash := range keysOf(tenant) {
			other := built.byKey.base[hash]
			built.sharedKeys = built.sharedKeys || (other != nil && other != tenant)
			built.byKey.base[hash] = tenant
		}
	}
	return built
}

// tenantChanges are the entries of a lookup that a change touches; nil marks a
// removal.
type tenantChanges struct {
	names map[string]*rockwindpb.Tenant
	keys  map[Hash]*rockwindpb.Tenant
}

// after returns the lookup of the tenants in list, which differ from those before by
// a change.
func (t tenantLookup) after(list []*rockwindpb.Tenant, changed []entry, removed []Key) tenantLookup {
	if t.sharedKeys || len(changed)+len(removed) > len(list)/layerPart {
		return newTenantLookup(list)
	}
	changes := tenantChanges{names: map[string]*rockwindpb.Tenant{}, keys: map[Hash]*rockwindpb.Tenant{}}
	for _, key := range removed {
		if key.Kind == rockwindpb.ObjectKind_OBJECT_KIND_TENANT {
			t.forget(key.Name, changes)
		}
	}
	for i := range changed {
		if tenant := changed[i].object.GetTenant(); tenant != nil {
			t.forget(tenant.GetName(), changes)
		}
	}
	for i := range changed {
		if tenant := changed[i].object.GetTenant(); tenant != nil && !t.add(tenant, changes) {
			return newTenantLookup(list)
		}
	}
	return tenantLookup{list: list, byName: t.byName.with(changes.names), byKey: t.byKey.with(changes.keys)}
}

// forget removes a tenant and its keys.
func (t tenantLookup) forget(name string, from tenantChanges) {
	from.names[name] = nil
	if old, found := t.byName.get(name); found {
		for _, hash := range keysOf(old) {
			from.keys[hash] = nil
		}
	}
}

// add adds a tenant and its keys, and tells whether none of these is taken.
func (t tenantLookup) add(tenant *rockwindpb.Tenant, to tenantChanges) bool {
	to.names[tenant.GetName()] = tenant
	for _, hash := range keysOf(tenant) {
		owner, changed := to.keys[hash]
		if !changed {
			owner, _ = t.byKey.get(hash)
		}
		if owner != nil && owner != tenant {
			return false
		}
		to.keys[hash] = tenant
	}
	return true
}

// keysOf returns the hashes of a tenant's keys, without those that are none.
func keysOf(tenant *rockwindpb.Tenant) []Hash {
	hashes := make([]Hash, 0, len(tenant.GetApiKeySha256()))
	for _, text := range tenant.GetApiKeySha256() {
		var hash Hash
		if length, err := hex.Decode(hash[:], []byte(text)); err == nil && length == len(hash) {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// layerPart bounds the changes that stand above the base of a layered map, as a
// part of the base.
const layerPart = 16

// layered is an immutable map to tenants: a base that many versions share, and the
// few entries that differ from it, in which nil marks a removal.
type layered[K comparable] struct {
	base   map[K]*rockwindpb.Tenant
	recent map[K]*rockwindpb.Tenant
}

func (l layered[K]) get(key K) (*rockwindpb.Tenant, bool) {
	if found, changed := l.recent[key]; changed {
		return found, found != nil
	}
	found, known := l.base[key]
	return found, known
}

// with returns the map after changes, in which nil marks a removal.
func (l layered[K]) with(changes map[K]*rockwindpb.Tenant) layered[K] {
	recent := make(map[K]*rockwindpb.Tenant, len(l.recent)+len(changes))
	maps.Copy(recent, l.recent)
	maps.Copy(recent, changes)
	if len(recent) <= len(l.base)/layerPart {
		return layered[K]{base: l.base, recent: recent}
	}
	base := maps.Clone(l.base)
	for key, tenant := range recent {
		if tenant == nil {
			delete(base, key)
			continue
		}
		base[key] = tenant
	}
	return layered[K]{base: base}
}
