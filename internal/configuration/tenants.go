package configuration

import (
	"encoding/hex"
	"maps"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// tenantLookup finds tenants by name and by API key. There are many tenants and a
// change affects few, so a new version shares most of its data with the previous
// one.
type tenantLookup struct {
	list   []*rockwindpb.Tenant
	byName overlayMap[string]
	byKey  overlayMap[Hash]
	// duplicateKeys is set if two tenants have the same key, which a validated
	// configuration does not contain.
	duplicateKeys bool
}

func newTenantLookup(tenants []*rockwindpb.Tenant) tenantLookup {
	built := tenantLookup{
		list:   tenants,
		byName: overlayMap[string]{base: make(map[string]*rockwindpb.Tenant, len(tenants))},
		byKey:  overlayMap[Hash]{base: make(map[Hash]*rockwindpb.Tenant, len(tenants))},
	}
	for _, tenant := range tenants {
		built.byName.base[tenant.GetName()] = tenant
		for _, hash := range keysOf(tenant) {
			other := built.byKey.base[hash]
			built.duplicateKeys = built.duplicateKeys || (other != nil && other != tenant)
			built.byKey.base[hash] = tenant
		}
	}
	return built
}

// tenantChanges holds the changed entries of a lookup; nil marks a removal.
type tenantChanges struct {
	names map[string]*rockwindpb.Tenant
	keys  map[Hash]*rockwindpb.Tenant
}

// apply returns the lookup after a change; list contains all tenants after it.
func (t tenantLookup) apply(list []*rockwindpb.Tenant, changed []entry, removed []Key) tenantLookup {
	if t.duplicateKeys || len(changed)+len(removed) > len(list)/overlayDivisor {
		return newTenantLookup(list)
	}
	changes := tenantChanges{names: map[string]*rockwindpb.Tenant{}, keys: map[Hash]*rockwindpb.Tenant{}}
	for _, key := range removed {
		if key.Kind == rockwindpb.ObjectKind_OBJECT_KIND_TENANT {
			t.remove(key.Name, changes)
		}
	}
	for i := range changed {
		if tenant := changed[i].object.GetTenant(); tenant != nil {
			t.remove(tenant.GetName(), changes)
		}
	}
	for i := range changed {
		if tenant := changed[i].object.GetTenant(); tenant != nil && !t.add(tenant, changes) {
			return newTenantLookup(list)
		}
	}
	return tenantLookup{list: list, byName: t.byName.with(changes.names), byKey: t.byKey.with(changes.keys)}
}

// remove marks a tenant and its keys as removed.
func (t tenantLookup) remove(name string, from tenantChanges) {
	from.names[name] = nil
	if old, found := t.byName.get(name); found {
		for _, hash := range keysOf(old) {
			from.keys[hash] = nil
		}
	}
}

// add adds a tenant and its keys. It returns false if another tenant has one of the
// keys.
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

// keysOf returns the hashes of a tenant's keys, without the invalid ones.
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

// overlayDivisor bounds the size of an overlay: the size of the base divided by it.
const overlayDivisor = 16

// overlayMap is an immutable map to tenants. It consists of a base, which versions
// share, and an overlay of the entries that differ; nil in the overlay marks a
// removal.
type overlayMap[K comparable] struct {
	base    map[K]*rockwindpb.Tenant
	overlay map[K]*rockwindpb.Tenant
}

func (m overlayMap[K]) get(key K) (*rockwindpb.Tenant, bool) {
	if found, changed := m.overlay[key]; changed {
		return found, found != nil
	}
	found, known := m.base[key]
	return found, known
}

// with returns the map after changes; nil marks a removal.
func (m overlayMap[K]) with(changes map[K]*rockwindpb.Tenant) overlayMap[K] {
	overlay := make(map[K]*rockwindpb.Tenant, len(m.overlay)+len(changes))
	maps.Copy(overlay, m.overlay)
	maps.Copy(overlay, changes)
	if len(overlay) <= len(m.base)/overlayDivisor {
		return overlayMap[K]{base: m.base, overlay: overlay}
	}
	base := maps.Clone(m.base)
	for key, tenant := range overlay {
		if tenant == nil {
			delete(base, key)
			continue
		}
		base[key] = tenant
	}
	return overlayMap[K]{base: base}
}
