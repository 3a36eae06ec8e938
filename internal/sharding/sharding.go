// Package sharding maps jobs, files and idempotency keys to job shards. Shards
// are numbered from 1; group 0 is the root group. Identifiers contain the
// number of their shard, so the shard of an identifier is known without a
// lookup. The package is pure.
package sharding

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// RootGroup is the replication group that holds the configuration.
const RootGroup uint32 = 0

const (
	// separator joins the fields of an identifier.
	separator        = "-"
	identifierFields = 3
)

// ForKey returns the shard of a tenant's key, between 1 and shards, or zero if
// there are no shards.
func ForKey(tenant, key string, shards uint32) uint32 {
	if shards == 0 {
		return 0
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(tenant)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return uint32(digest.Sum64()%uint64(shards)) + 1
}

// FormatIdentifier returns "prefix-shard-number", the form that package ledger
// validates. The number has 16 hexadecimal digits.
func FormatIdentifier(prefix string, shard uint32, number uint64) string {
	return fmt.Sprintf("%s%s%d%s%016x", prefix, separator, shard, separator, number)
}

// ShardOf returns the shard in an identifier, and whether that shard exists.
func ShardOf(identifier string, shards uint32) (uint32, bool) {
	fields := strings.SplitN(identifier, separator, identifierFields)
	if len(fields) != identifierFields {
		return 0, false
	}
	shard, err := strconv.ParseUint(fields[1], 10, 32)
	if err != nil {
		return 0, false
	}
	return uint32(shard), shard >= 1 && shard <= uint64(shards)
}
