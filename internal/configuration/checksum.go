package configuration

import (
	"crypto/sha256"
	"encoding/binary"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// checksumOf is the checksum of a whole configuration: SHA-256 over its number
// and the hashes of its objects in the order of their keys. Only the hashes of
// changed objects have to be computed again after a change.
func checksumOf(number uint64, entries []entry) Hash {
	hasher := sha256.New()
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], number)
	hasher.Write(encoded[:])
	for i := range entries {
		hasher.Write(entries[i].hash[:])
	}
	var sum Hash
	hasher.Sum(sum[:0])
	return sum
}

// Checksum is the checksum of a whole configuration. It does not depend on the
// order of objects within a kind.
func Checksum(configuration *rockwindpb.Configuration) ([]byte, error) {
	entries, err := newEntries(Objects(configuration))
	if err != nil {
		return nil, err
	}
	sum := checksumOf(configuration.GetNumber(), entries)
	return sum[:], nil
}

func corrupt(format string, arguments ...any) error {
	return fault.Newf(fault.Corrupt, "ask for the whole configuration again; if it repeats, compare the versions of the processes", format, arguments...)
}
