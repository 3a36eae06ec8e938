package configuration_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// manyTenants is large enough for versions to share a base map.
const manyTenants = 120

// TestTenantLookupsFollowChanges checks that lookups after changes of tenants and
// their keys equal those of a new index.
func TestTenantLookupsFollowChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := &rockwindpb.Configuration{Number: 1}
		for number := range manyTenants {
			whole.Tenants = append(whole.Tenants, plainTenant(number, uint64(number)))
		}
		current := mustIndex(t, whole)
		for range rapid.IntRange(1, 15).Draw(t, "changes") {
			whole = proto.CloneOf(whole)
			whole.Number++
			for range rapid.IntRange(1, 3).Draw(t, "tenants") {
				index := rapid.IntRange(0, len(whole.Tenants)-1).Draw(t, "place")
				mutateTenant(t, whole, index)
			}
			next, err := current.Apply(configuration.CompareIndexes(current, mustIndex(t, whole)))
			if err != nil {
				t.Fatal(err)
			}
			current = next
			assertTenants(t, current)
		}
	})
}

func plainTenant(number int, key uint64) *rockwindpb.Tenant {
	return &rockwindpb.Tenant{Name: fmt.Sprintf("t%04d", number), ApiKeySha256: []string{fmt.Sprintf("%064x", key)}}
}

// mutateTenant changes or removes a tenant, or swaps keys with another. Keys come
// from a small set, so that tenants may get the same one.
func mutateTenant(t *rapid.T, whole *rockwindpb.Configuration, index int) {
	changed := whole.Tenants[index]
	key := fmt.Sprintf("%064x", rapid.Uint64Max(2*manyTenants).Draw(t, "key"))
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		changed.ApiKeySha256 = []string{key}
	case 1:
		changed.ApiKeySha256 = append(changed.ApiKeySha256, key)
	case 2:
		changed.Limits = &rockwindpb.Limits{Concurrency: uint32(whole.Number)}
	case 3:
		whole.Tenants = append(whole.Tenants[:index], whole.Tenants[index+1:]...)
	default:
		other := whole.Tenants[rapid.IntRange(0, len(whole.Tenants)-1).Draw(t, "other")]
		changed.ApiKeySha256, other.ApiKeySha256 = other.ApiKeySha256, changed.ApiKeySha256
	}
}

func assertTenants(t *rapid.T, index *configuration.Index) {
	fresh := mustIndex(t, index.Configuration())
	for number := range manyTenants {
		name := fmt.Sprintf("t%04d", number)
		pair := lookupPair(index.Tenant(name))(fresh.Tenant(name))
		if pair[0] != pair[1] {
			t.Fatalf("tenant %s is %v, want %v", name, pair[0], pair[1])
		}
	}
	for key := range 2*manyTenants + 1 {
		var hash configuration.Hash
		hash[len(hash)-1], hash[len(hash)-2] = byte(key), byte(key>>8)
		got, _ := index.TenantByKeyHash(hash)
		want, _ := fresh.TenantByKeyHash(hash)
		if got != want {
			t.Fatalf("key %d belongs to %v, want %v", key, got, want)
		}
	}
}
