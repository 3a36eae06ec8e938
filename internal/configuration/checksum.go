package configuration

import (
	"crypto/sha256"
	"encoding/binary"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// computeChecksum returns the checksum of a configuration: the SHA-256 of its number
// and the hashes of its objects in key order. After a change, only the hashes of the
// changed objects have to be computed again.
func computeChecksum(number uint64, entries []entry) Hash {
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

// Checksum returns the checksum of a configuration. It does not depend on the order
// of objects within a kind.
func Checksum(configuration *rockwindpb.Configuration) ([]byte, error) {
	entries, err := newEntries(Objects(configuration))
	if err != nil {
		return nil, err
	}
	sum := computeChecksum(configuration.GetNumber(), entries)
	return sum[:], nil
}

func corruptError(format string, arguments ...any) error {
	return fault.Newf(fault.Corrupt, "ask for the whole configuration again; if it repeats, compare the versions of the processes", format, arguments...)
}
